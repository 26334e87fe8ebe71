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

void writeHeaders(const HttpHeaders &Headers, WireHeaders &Out);
HttpHeaders readHeaders(const WireHeaders &Headers);

/// \return Headers of a server's response that are forwarded to the caller.
HttpHeaders keepAnswerHeaders(const HttpHeaders &Headers);

wire::ForwardReply writeForwardReply(const CallReply &Reply,
                                     const std::string &RequestId);

/// Decodes a reply after checking that it is complete and belongs to
/// \p RequestId.
/// \return The result, or PeerAnswerLost if the check fails.
CallReply readForwardReply(const wire::ForwardReply &Reply,
                           const std::string &RequestId);

wire::Heartbeat writeHeartbeat(const HeartbeatBody &Body);
HeartbeatBody readHeartbeat(const wire::Heartbeat &Body);

wire::ChangesReply writeChanges(const ObjectChanges &Changes);
ObjectChanges readChanges(const wire::ChangesReply &Reply);

} // namespace cranberry

#endif
