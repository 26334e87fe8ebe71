/// \file store_client.cpp HTTP client for the platform's store.
#include "platform/store_client_base.h"

#include "net/http_target_func.h"
#include "platform/decode_func.h"
#include "platform/wire_names.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <utility>

using nlohmann::json;

namespace cranberry::platform {

namespace {

/// Idle connections are kept as long as the store keeps them open.
constexpr Duration MaxIdleTime = seconds(10);

StoreStatus getStatus(unsigned Code) {
  constexpr unsigned FirstOk = 200;
  constexpr unsigned FirstRedirect = 300;
  constexpr unsigned NotFound = 404;
  constexpr unsigned Conflict = 409;
  constexpr unsigned Gone = 410;
  constexpr unsigned TooMany = 429;
  constexpr unsigned Unavailable = 503;
  if (Code >= FirstOk && Code < FirstRedirect)
    return StoreStatus::Ok;
  switch (Code) {
  case NotFound:
    return StoreStatus::NotFound;
  case Conflict:
    return StoreStatus::Conflict;
  case Gone:
    return StoreStatus::HistoryGone;
  case TooMany:
    return StoreStatus::RateLimited;
  case Unavailable:
    return StoreStatus::Unavailable;
  default:
    return StoreStatus::Malformed;
  }
}

std::optional<StoreEra> decodeEra(const HttpResult &Result) {
  for (const auto &[Name, Value] : Result.Headers_)
    if (StoreEra Era = 0; Name == header::Era && absl::SimpleAtoi(Value, &Era))
      return Era;
  return std::nullopt;
}

Duration decodeAge(const HttpResult &Result) {
  return decodeRelayAge(Result.getHeader(header::RelayAge))
      .value_or(Duration(0));
}

/// \return Path of one object.
std::string makePath(const std::string &Kind, const std::string &Name) {
  return absl::StrCat(path::Objects, Kind, "/", encodePercent(Name));
}

json makeObject(const std::string &Name, const json &Body) {
  return {{"metadata", {{"name", Name}, {"finalizers", json::array()}}},
          {"specification", Body}};
}

} // namespace

StoreClient::StoreClient(boost::asio::io_context &Loop, std::string Address,
                         const StoreCallTimeouts &Limits)
    : Address_(std::move(Address)), Timeouts_(Limits), Client_(Loop) {}

void StoreClient::list(const std::string &Kind, const std::string &After,
                       StoreResponseHandler End, ReadMode Mode) {
  std::string Target = absl::StrCat(path::Objects, Kind);
  char Separator = '?';
  if (!After.empty()) {
    absl::StrAppend(&Target, "?after=", encodePercent(After));
    Separator = '&';
  }
  if (Mode == ReadMode::MayBeStale)
    absl::StrAppend(&Target, std::string(1, std::exchange(Separator, '&')),
                    "staleRead=1");
  if (IsDirectRequired_)
    absl::StrAppend(&Target, std::string(1, Separator), "direct=1");
  sendRequest("GET", Target, "", Timeouts_.Call_, std::move(End));
}

void StoreClient::watch(const std::string &Kind, Revision After, Duration Wait,
                        StoreResponseHandler End) {
  sendRequest("GET",
              absl::StrCat(path::Objects, Kind, "?watch=", After,
                           "&waitMs=", toMilliseconds(Wait),
                           IsDirectRequired_ ? "&direct=1" : ""),
              "", Wait + Timeouts_.WatchMargin_, std::move(End));
}

void StoreClient::create(const std::string &Kind, const std::string &Name,
                         const json &Body, StoreResponseHandler End) {
  sendRequest("POST", absl::StrCat(path::Objects, Kind),
              makeObject(Name, Body).dump(), Timeouts_.Call_, std::move(End));
}

void StoreClient::replace(const std::string &Kind, const std::string &Name,
                          Revision Expected, const json &Body,
                          StoreResponseHandler End) {
  json Object = makeObject(Name, Body);
  Object["metadata"]["revision"] = Expected;
  sendRequest("PUT", makePath(Kind, Name), Object.dump(), Timeouts_.Call_,
              std::move(End));
}

void StoreClient::remove(const std::string &Kind, const std::string &Name,
                         StoreResponseHandler End) {
  sendRequest("DELETE", makePath(Kind, Name), "", Timeouts_.Call_,
              std::move(End));
}

void StoreClient::sendRequest(const char *Method, const std::string &Target,
                              std::string Body, Duration Timeout,
                              StoreResponseHandler End) {
  ++CallCount_;
  HttpCall Call;
  Call.Method_ = Method;
  Call.Url_ = absl::StrCat("http://", Address_, Target);
  if (!Body.empty())
    Call.Headers_.emplace_back("Content-Type", "application/json");
  Call.Body_ = std::move(Body);
  Call.Timeout_ = Timeout;
  Call.ConnectTimeout_ = Timeouts_.Connect_;
  Call.MaxIdleTime_ = MaxIdleTime;
  Client_.startCall(std::move(Call), [End = std::move(End)](HttpResult Result) {
    if (Result.Code_ != ResultCode::Ok) {
      End({StoreStatus::NoResponse, "", std::move(Result.ErrorText_), {}, {}});
      return;
    }
    auto Code = static_cast<unsigned>(Result.Status_);
    std::optional<StoreEra> Era = decodeEra(Result);
    Duration Age = decodeAge(Result);
    End({getStatus(Code), std::move(Result.Body_), std::to_string(Code), Era,
         Age});
  });
}

} // namespace cranberry::platform
