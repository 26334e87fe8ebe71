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

void writeHeaders(const HttpHeaders &Headers, WireHeaders &Out);
HttpHeaders readHeaders(const WireHeaders &Headers);

/// \return The headers of a server's answer that go on to the caller.
HttpHeaders keepAnswerHeaders(const HttpHeaders &Headers);

wire::ForwardReply writeForwardReply(const CallReply &Reply,
                                     const std::string &RequestId);

/// Checks that the reply is whole and belongs to \p RequestId.
/// \return The reply, or PeerAnswerLost if it is not.
CallReply readForwardReply(const wire::ForwardReply &Reply,
                           const std::string &RequestId);

wire::Heartbeat writeHeartbeat(const HeartbeatBody &Body);
HeartbeatBody readHeartbeat(const wire::Heartbeat &Body);

wire::ChangesReply writeChanges(const ObjectChanges &Changes);
ObjectChanges readChanges(const wire::ChangesReply &Reply);

} // namespace cranberry

#endif
