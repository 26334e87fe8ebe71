/// \file platform_client.cpp Client of the platform's object API.
#include "daemon/platform_client_base.h"

#include "version/object_func.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

using nlohmann::json;

namespace cranberry {

namespace {

constexpr Duration ReadTimeout = seconds(2);
constexpr Duration WriteTimeout = seconds(2);
constexpr unsigned MaxWriteAttempts = 3;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 412; ///< "Precondition Failed".
constexpr int StatusOk = 200;

/// \return Revision in the ETag, which the platform sends in quotes; 0 if the
/// ETag is malformed.
Revision readEtag(const HttpResult &Result) {
  std::string Tag = Result.getHeader("etag");
  Revision Value = 0;
  if (Tag.size() > 2 &&
      !absl::SimpleAtoi(Tag.substr(1, Tag.size() - 2), &Value))
    return 0;
  return Value;
}

std::optional<ObjectChanges> parseChanges(const HttpResult &Result) {
  json Body = json::parse(Result.Body_, nullptr, false);
  if (Result.Code_ != ResultCode::Ok || Result.Status_ != StatusOk ||
      !Body.is_object() || !Body.contains("revision") ||
      !Body.contains("objects"))
    return std::nullopt;
  ObjectChanges Changes;
  Changes.EndRevision_ = Body["revision"];
  for (const json &Item : Body["objects"]) {
    std::optional<ObjectKind> Kind = findObjectKind(Item.value("kind", ""));
    if (!Kind)
      continue;
    Object Change{{*Kind, Item.value("name", "")},
                  Item.value("revision", Revision{0}),
                  Item.value("deleted", false),
                  ""};
    if (!Change.IsDeleted_ && Item.contains("body") && Item["body"].is_object())
      Change.Body_ = Item["body"].value("spec", json::object()).dump();
    Changes.Objects_.push_back(std::move(Change));
  }
  return Changes;
}

ResultCode getReadCode(const HttpResult &Result) {
  if (Result.Code_ != ResultCode::Ok)
    return ResultCode::PlatformUnreachable;
  return Result.Status_ == StatusOk ? ResultCode::Ok
                                    : ResultCode::PlatformRefused;
}

} // namespace

PlatformClient::PlatformClient(EventLoop &Loop, Metrics &Counters,
                               std::string Address, std::string Origin)
    : Loop_(Loop), Metrics_(Counters), Address_(std::move(Address)),
      Origin_(std::move(Origin)) {}

std::string PlatformClient::getUrl(const ObjectId &Id) const {
  return "http://" + Address_ + "/v1/objects/" + getName(Id.Kind_) + "/" +
         Id.Name_;
}

void PlatformClient::fetchChanges(Revision Since, Duration Wait,
                                  const ChangesCallback &Done) {
  HttpCall Call;
  Call.Url_ = "http://" + Address_ +
              "/v1/changes?since=" + std::to_string(Since) +
              "&waitMs=" + std::to_string(toMilliseconds(Wait));
  Call.Timeout_ = Wait + ReadTimeout;
  Loop_.startCall(std::move(Call), [this, Done](const HttpResult &Result) {
    Metrics_.countPlatformCall("watch", getReadCode(Result));
    Done(parseChanges(Result));
  });
}

void PlatformClient::fetchVms(const VmsCallback &Done) {
  HttpCall Call;
  Call.Url_ = "http://" + Address_ + "/v1/vms";
  Call.Timeout_ = ReadTimeout;
  Loop_.startCall(std::move(Call), [this, Done](const HttpResult &Result) {
    Metrics_.countPlatformCall("vms", getReadCode(Result));
    json Body = json::parse(Result.Body_, nullptr, false);
    if (getReadCode(Result) != ResultCode::Ok || !Body.is_object() ||
        !Body.contains("vms"))
      return Done(std::nullopt);
    std::vector<ListedVm> Vms;
    for (const json &Item : Body["vms"])
      Vms.push_back({Item.value("vm", ""), Item.value("address", ""),
                     Item.value("role", "") == "entry",
                     Item.value("state", "") == "leaving"});
    Done(std::move(Vms));
  });
}

void PlatformClient::writeObject(const ObjectId &Id, const std::string &Body,
                                 ExpectedRevision Before, WriteCallback Done) {
  std::string Operation = Origin_ + "-" + std::to_string(NextOperation_++);
  sendWrite({Id, Body, Before, Operation, std::move(Done), 0});
}

void PlatformClient::sendWrite(PendingWrite Op) {
  ++Op.Attempts_;
  HttpCall Call;
  Call.Method_ = Op.Body_.empty() ? "DELETE" : "PUT";
  Call.Url_ = getUrl(Op.Id_);
  Call.Timeout_ = WriteTimeout;
  Call.IsNewConnectionRequired_ = true;
  if (Op.Expected_)
    Call.Headers_.emplace_back("If-Match",
                               "\"" + std::to_string(*Op.Expected_) + "\"");
  else
    Call.Headers_.emplace_back("If-None-Match", "*");
  if (!Op.Body_.empty())
    Call.Body_ =
        json{{"operation", Op.Operation_}, {"spec", json::parse(Op.Body_)}}
            .dump();
  Loop_.startCall(std::move(Call), [this, Op](const HttpResult &Result) {
    onWriteResponse(Op, Result);
  });
}

void PlatformClient::onWriteResponse(const PendingWrite &Op,
                                     const HttpResult &Result) {
  bool WasAnswered = Result.Code_ == ResultCode::Ok;
  bool NeverSent = Result.Code_ == ResultCode::ServerConnectFailed;
  Metrics_.countPlatformCall("write", getReadCode(Result));
  if (WasAnswered && Result.Status_ == StatusOk)
    return Op.Callback_({{}, readEtag(Result)});
  if (NeverSent && Op.Attempts_ == 1)
    return Op.Callback_({{ResultCode::PlatformUnreachable, "", ""}, 0});
  // A conflict on a retry may be with the earlier attempt of the same write.
  if (WasAnswered && Result.Status_ == StatusConflict && Op.Attempts_ == 1)
    return Op.Callback_(
        {{ResultCode::ObjectVersionConflict, "",
          "the object is at version " + std::to_string(readEtag(Result))},
         readEtag(Result)});
  bool IsDefinite =
      WasAnswered && Result.Status_ < 500 && Result.Status_ != StatusConflict;
  if (IsDefinite)
    return Op.Callback_({{ResultCode::PlatformRefused, "",
                          "status " + std::to_string(Result.Status_)},
                         0});
  readBack(Op, WasAnswered && Result.Status_ == StatusConflict);
}

void PlatformClient::readBack(const PendingWrite &Op, bool WasAnswered) {
  HttpCall Call;
  Call.Url_ = getUrl(Op.Id_);
  Call.Timeout_ = ReadTimeout;
  Loop_.startCall(std::move(Call),
                  [this, Op, WasAnswered](const HttpResult &Result) {
                    onReadBackResponse(Op, WasAnswered, Result);
                  });
}

void PlatformClient::onReadBackResponse(const PendingWrite &Op,
                                        bool WasAnswered,
                                        const HttpResult &Result) {
  Metrics_.countPlatformCall("read-back", getReadCode(Result));
  WriteResult UnknownOutcome{{ResultCode::PlatformOutcomeUnknown, "", ""}, 0};
  bool IsThere = Result.Code_ == ResultCode::Ok && Result.Status_ == StatusOk;
  bool IsAbsent =
      Result.Code_ == ResultCode::Ok && Result.Status_ == StatusNotFound;
  if (!IsThere && !IsAbsent)
    return Op.Callback_(UnknownOutcome);
  json Body = json::parse(Result.Body_, nullptr, false);
  Revision Found = IsThere ? readEtag(Result) : 0;
  bool IsOurs = IsThere && Body.is_object() &&
                Body.value("operation", "") == Op.Operation_;
  bool IsOurDeletion = IsAbsent && Op.Body_.empty();
  if (IsOurs || IsOurDeletion)
    return Op.Callback_({{}, Found});
  bool IsUnchanged =
      IsThere ? Op.Expected_ == Found : !Op.Expected_.has_value();
  if (IsUnchanged && Op.Attempts_ < MaxWriteAttempts)
    return sendWrite(Op);
  if (IsUnchanged)
    return Op.Callback_(UnknownOutcome);
  // Another write has replaced the object. A conflict on the first attempt
  // proves that this write never took effect.
  if (WasAnswered && Op.Attempts_ == 1)
    return Op.Callback_({{ResultCode::ObjectVersionConflict, "",
                          "the object is at version " + std::to_string(Found)},
                         Found});
  Op.Callback_(UnknownOutcome);
}

} // namespace cranberry
