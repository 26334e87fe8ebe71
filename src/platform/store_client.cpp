/// \file store_client.cpp Calls to the platform's store.
#include "platform/store_client_base.h"

#include "platform/wire_names.h"

#include <absl/strings/str_cat.h>

#include <utility>

using nlohmann::json;

namespace cranberry::platform {

namespace {

/// The store's connections are kept for as long as it keeps them.
constexpr Duration MaxIdle = seconds(10);

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
    return StoreStatus::Busy;
  case Unavailable:
    return StoreStatus::Unavailable;
  default:
    return StoreStatus::Malformed;
  }
}

json makeObject(const std::string &Name, const json &Body) {
  return {{"metadata", {{"name", Name}, {"finalizers", json::array()}}},
          {"specification", Body}};
}

} // namespace

StoreClient::StoreClient(boost::asio::io_context &Loop, std::string Address,
                         const StoreCallLimits &Limits)
    : Address_(std::move(Address)), Limits_(Limits), Client_(Loop) {}

void StoreClient::list(const std::string &Kind, const std::string &After,
                       StoreReplyHandler End) {
  std::string Target = absl::StrCat(path::Objects, Kind);
  if (!After.empty())
    absl::StrAppend(&Target, "?after=", After);
  call("GET", Target, "", Limits_.Call_, std::move(End));
}

void StoreClient::watch(const std::string &Kind, Revision After, Duration Wait,
                        StoreReplyHandler End) {
  call("GET",
       absl::StrCat(path::Objects, Kind, "?watch=", After,
                    "&waitMs=", toMilliseconds(Wait)),
       "", Wait + Limits_.WatchSlack_, std::move(End));
}

void StoreClient::create(const std::string &Kind, const std::string &Name,
                         const json &Body, StoreReplyHandler End) {
  call("POST", absl::StrCat(path::Objects, Kind), makeObject(Name, Body).dump(),
       Limits_.Call_, std::move(End));
}

void StoreClient::replace(const std::string &Kind, const std::string &Name,
                          Revision Expected, const json &Body,
                          StoreReplyHandler End) {
  json Object = makeObject(Name, Body);
  Object["metadata"]["revision"] = Expected;
  call("PUT", absl::StrCat(path::Objects, Kind, "/", Name), Object.dump(),
       Limits_.Call_, std::move(End));
}

void StoreClient::remove(const std::string &Kind, const std::string &Name,
                         StoreReplyHandler End) {
  call("DELETE", absl::StrCat(path::Objects, Kind, "/", Name), "",
       Limits_.Call_, std::move(End));
}

void StoreClient::call(const char *Method, const std::string &Target,
                       std::string Body, Duration Timeout,
                       StoreReplyHandler End) {
  ++Calls_;
  HttpCall Call;
  Call.Method_ = Method;
  Call.Url_ = absl::StrCat("http://", Address_, Target);
  if (!Body.empty())
    Call.Headers_.emplace_back("Content-Type", "application/json");
  Call.Body_ = std::move(Body);
  Call.Timeout_ = Timeout;
  Call.ConnectTimeout_ = Limits_.Connect_;
  Call.MaxIdleTime_ = MaxIdle;
  Client_.startCall(std::move(Call), [End = std::move(End)](HttpResult Result) {
    if (Result.Code_ != ResultCode::Ok) {
      End({StoreStatus::Lost, "", std::move(Result.ErrorText_)});
      return;
    }
    auto Code = static_cast<unsigned>(Result.Status_);
    End({getStatus(Code), std::move(Result.Body_), std::to_string(Code)});
  });
}

} // namespace cranberry::platform
