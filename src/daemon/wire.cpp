/// \file wire.cpp Converts between internal types and peer messages.
#include "daemon/wire_func.h"

#include "core/result_func.h"
#include "version/object_func.h"

#include <algorithm>
#include <iterator>

namespace cranberry {

namespace {

/// Response headers that are not forwarded: hop-by-hop headers and those that
/// the daemon handles itself.
constexpr const char *DroppedHeaders[] = {
    "connection", "content-length",    "date",    "keep-alive", "server",
    "te",         "transfer-encoding", "upgrade", "x-not-run",  "x-request-id",
    "x-draining"};

wire::MemberRecord writeMember(const Member &M) {
  wire::MemberRecord Out;
  Out.set_vm(M.Vm_);
  Out.set_region(M.Region_);
  Out.set_zone(M.Zone_);
  Out.set_http_address(M.HttpAddress_);
  Out.set_peer_address(M.PeerAddress_);
  Out.set_incarnation(M.Incarnation_);
  Out.set_sequence(M.Sequence_);
  Out.set_state(static_cast<uint32_t>(M.State_));
  Out.set_key_epoch(M.KeyEpoch_);
  Out.set_revision(M.Revision_);
  return Out;
}

Member readMember(const wire::MemberRecord &In) {
  Member M;
  M.Vm_ = In.vm();
  M.Region_ = In.region();
  M.Zone_ = In.zone();
  M.HttpAddress_ = In.http_address();
  M.PeerAddress_ = In.peer_address();
  M.Incarnation_ = In.incarnation();
  M.Sequence_ = In.sequence();
  M.State_ = static_cast<MemberState>(
      std::min<uint32_t>(In.state(), static_cast<uint32_t>(MemberState::Gone)));
  M.KeyEpoch_ = In.key_epoch();
  M.Revision_ = In.revision();
  return M;
}

} // namespace

void encodeHeaders(const HttpHeaders &Headers, WireHeaders &Out) {
  for (const auto &[Name, Value] : Headers) {
    wire::Header &Header = *Out.Add();
    Header.set_name(Name);
    Header.set_value(Value);
  }
}

HttpHeaders decodeHeaders(const WireHeaders &Headers) {
  HttpHeaders Result;
  for (const wire::Header &Header : Headers)
    Result.emplace_back(Header.name(), Header.value());
  return Result;
}

HttpHeaders filterResponseHeaders(const HttpHeaders &Headers) {
  HttpHeaders Filtered;
  for (const auto &Header : Headers)
    if (std::find(std::begin(DroppedHeaders), std::end(DroppedHeaders),
                  Header.first) == std::end(DroppedHeaders))
      Filtered.push_back(Header);
  return Filtered;
}

wire::ForwardReply encodeForwardReply(const CallResult &Reply,
                                      const std::string &RequestId) {
  wire::ForwardReply Out;
  Out.set_request_id(RequestId);
  Out.set_result(static_cast<uint32_t>(Reply.Code_));
  Out.set_served_by(Reply.ServedBy_);
  if (!Reply.Response_)
    return Out;
  Out.set_status(static_cast<uint32_t>(Reply.Response_->Status_));
  Out.set_body(Reply.Response_->Body_);
  Out.set_body_length(Reply.Response_->Body_.size());
  encodeHeaders(Reply.Response_->Headers_, *Out.mutable_headers());
  return Out;
}

CallResult decodeForwardReply(const wire::ForwardReply &Reply,
                              const std::string &RequestId) {
  std::optional<ResultCode> Code = findResultCode(Reply.result());
  bool IsOurs = Reply.request_id() == RequestId &&
                Reply.body_length() == Reply.body().size();
  if (!IsOurs || !Code)
    return {ResultCode::PeerAnswerLost, nullptr, ""};
  if (*Code != ResultCode::Ok)
    return {*Code, nullptr, Reply.served_by()};
  auto Response = std::make_shared<RecordedResponse>();
  Response->Status_ = static_cast<int>(Reply.status());
  Response->Headers_ = decodeHeaders(Reply.headers());
  Response->Body_ = Reply.body();
  return {ResultCode::Ok, std::move(Response), Reply.served_by()};
}

wire::Heartbeat encodeHeartbeat(const HeartbeatBody &Body) {
  wire::Heartbeat Out;
  *Out.mutable_sender() = writeMember(Body.Sender_);
  for (const Member &Update : Body.Updates_)
    *Out.add_updates() = writeMember(Update);
  Out.set_wants_all(Body.IsFullListRequested_);
  return Out;
}

HeartbeatBody decodeHeartbeat(const wire::Heartbeat &Body) {
  HeartbeatBody Result;
  Result.Sender_ = readMember(Body.sender());
  for (const wire::MemberRecord &Update : Body.updates())
    Result.Updates_.push_back(readMember(Update));
  Result.IsFullListRequested_ = Body.wants_all();
  return Result;
}

wire::ChangesReply encodeChanges(const ObjectChanges &Changes) {
  wire::ChangesReply Out;
  Out.set_revision(Changes.EndRevision_);
  for (const Object &Change : Changes.Objects_) {
    wire::ObjectRecord &Record = *Out.add_objects();
    Record.set_kind(getName(Change.Id_.Kind_));
    Record.set_name(Change.Id_.Name_);
    Record.set_revision(Change.Revision_);
    Record.set_deleted(Change.IsDeleted_);
    Record.set_body(Change.Body_);
  }
  return Out;
}

ObjectChanges decodeChanges(const wire::ChangesReply &Reply) {
  ObjectChanges Changes;
  Changes.EndRevision_ = Reply.revision();
  for (const wire::ObjectRecord &Record : Reply.objects())
    if (std::optional<ObjectKind> Kind = findObjectKind(Record.kind()))
      Changes.Objects_.push_back({{*Kind, Record.name()},
                                  Record.revision(),
                                  Record.deleted(),
                                  Record.body()});
  return Changes;
}

} // namespace cranberry
