/// \file wire_func.h Converts between our types and the messages of peers.
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

/// \return The headers of a server's answer that go on to the caller.
HttpHeaders filterResponseHeaders(const HttpHeaders &Headers);

wire::ForwardReply encodeForwardReply(const CallResult &Reply,
                                      const std::string &RequestId);

/// Checks that the reply is whole and belongs to \p RequestId.
/// \return The reply, or PeerAnswerLost if it is not.
CallResult decodeForwardReply(const wire::ForwardReply &Reply,
                              const std::string &RequestId);

wire::Heartbeat encodeHeartbeat(const HeartbeatBody &Body);
HeartbeatBody decodeHeartbeat(const wire::Heartbeat &Body);

wire::ChangesReply encodeChanges(const ObjectChanges &Changes);
ObjectChanges decodeChanges(const wire::ChangesReply &Reply);

} // namespace cranberry

#endif
