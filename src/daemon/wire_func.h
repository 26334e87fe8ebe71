/// \file wire_func.h Converts between internal types and peer messages.
#ifndef CRANBERRY_DAEMON_WIRE_FUNC_H
#define CRANBERRY_DAEMON_WIRE_FUNC_H

#include "daemon/call_type.h"
#include "net/generated/peer.pb.h"
#include "process/membership_base.h"
#include "version/object_type.h"

#include <string>

namespace cranberry {

using WireHeaders = google::protobuf::RepeatedPtrField<wire::Header>;

void encodeHeaders(const HttpHeaders &Headers, WireHeaders &Out);
HttpHeaders decodeHeaders(const WireHeaders &Headers);

/// \return Headers of a server's response that are forwarded to the caller.
HttpHeaders filterResponseHeaders(const HttpHeaders &Headers);

wire::ForwardReply encodeForwardReply(const CallResult &Reply,
                                      const std::string &RequestId);

/// Decodes a reply after checking that it is complete and belongs to
/// \p RequestId.
/// \return The result, or PeerAnswerLost if the check fails.
CallResult decodeForwardReply(const wire::ForwardReply &Reply,
                              const std::string &RequestId);

wire::Heartbeat encodeHeartbeat(const HeartbeatBody &Body);
HeartbeatBody decodeHeartbeat(const wire::Heartbeat &Body);

wire::ChangesReply encodeChanges(const ObjectChanges &Changes);
ObjectChanges decodeChanges(const wire::ChangesReply &Reply);

} // namespace cranberry

#endif
