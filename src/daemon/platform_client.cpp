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

/// \return The string field \p Name of \p Value, or an empty string if there is
/// none.
std::string getString(const json &Value, const char *Name) {
  if (!Value.is_object())
    return "";
  auto Found = Value.find(Name);
  return Found != Value.end() && Found->is_string() ? Found->get<std::string>()
                                                    : "";
}

/// \return The object, or nothing if the item names none.
std::optional<Object> parseObject(const json &Item) {
  std::optional<ObjectKind> Kind = findObjectKind(getString(Item, "kind"));
  if (!Kind)
    return std::nullopt;
  Object Result{{*Kind, getString(Item, "name")}, 0, false, ""};
  if (auto Found = Item.find("revision");
      Found != Item.end() && Found->is_number_unsigned())
    Result.Revision_ = Found->get<Revision>();
  if (auto Found = Item.find("deleted"); Found != Item.end())
    Result.IsDeleted_ = *Found == true;
  if (auto Body = Item.find("body");
      !Result.IsDeleted_ && Body != Item.end() && Body->is_object())
    Result.Body_ = Body->value("spec", json::object()).dump();
  return Result;
}

std::optional<ObjectChanges> parseChanges(const HttpResult &Result) {
  json Body = json::parse(Result.Body_, nullptr, false);
  if (Result.Code_ != ResultCode::Ok || Result.Status_ != StatusOk ||
      !Body.is_object() || !Body.contains("revision") ||
      !Body["revision"].is_number_unsigned() || !Body.contains("objects"))
    return std::nullopt;
  ObjectChanges Changes;
  Changes.EndRevision_ = Body["revision"];
  for (const json &Item : Body["objects"])
    if (std::optional<Object> Change = parseObject(Item))
      Changes.Objects_.push_back(std::move(*Change));
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
        !Body.contains("vms") || !Body["vms"].is_array())
      return Done(std::nullopt);
    std::vector<ListedVm> Vms;
    for (const json &Item : Body["vms"])
      if (std::string Address = getString(Item, "address"); !Address.empty())
        Vms.push_back({getString(Item, "vm"), std::move(Address),
                       getString(Item, "role") == "entry",
                       getString(Item, "state") == "leaving"});
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
  bool IsOurs = IsThere && getString(Body, "operation") == Op.Operation_;
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
