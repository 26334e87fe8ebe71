/// \file store_client.cpp Calls to the platform's store.
#include "platform/store_client_base.h"

#include "net/http_message_func.h"
#include "net/ingress_server_base.h"
#include "platform/wire_names.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace http = boost::beast::http;
using nlohmann::json;

namespace cranberry::platform {

namespace {

/// The store answers in milliseconds, and on its slow days in some hundreds;
/// beyond this an answer is taken for lost.
constexpr Duration CallTimeout = milliseconds(1000);

/// Beyond the wait that a watch asks for.
constexpr Duration WatchSlack = milliseconds(1500);

/// Longest wait for a connection; the store is at most 110 ms away. A longer
/// one would delay the return after a partition.
constexpr Duration ConnectTimeout = milliseconds(400);

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

StoreClient::StoreClient(boost::asio::io_context &Loop, std::string Address)
    : Loop_(Loop), Address_(std::move(Address)), Connections_(Loop) {}

void StoreClient::list(const std::string &Kind, const std::string &After,
                       StoreReplyHandler End) {
  std::string Target = absl::StrCat(path::Objects, Kind);
  if (!After.empty())
    absl::StrAppend(&Target, "?after=", After);
  call(http::verb::get, Target, "", CallTimeout, std::move(End));
}

void StoreClient::watch(const std::string &Kind, Revision After, Duration Wait,
                        StoreReplyHandler End) {
  call(http::verb::get,
       absl::StrCat(path::Objects, Kind, "?watch=", After,
                    "&waitMs=", toMilliseconds(Wait)),
       "", Wait + WatchSlack, std::move(End));
}

void StoreClient::create(const std::string &Kind, const std::string &Name,
                         const json &Body, StoreReplyHandler End) {
  call(http::verb::post, absl::StrCat(path::Objects, Kind),
       makeObject(Name, Body).dump(), CallTimeout, std::move(End));
}

void StoreClient::replace(const std::string &Kind, const std::string &Name,
                          Revision Expected, const json &Body,
                          StoreReplyHandler End) {
  json Object = makeObject(Name, Body);
  Object["metadata"]["revision"] = Expected;
  call(http::verb::put, absl::StrCat(path::Objects, Kind, "/", Name),
       Object.dump(), CallTimeout, std::move(End));
}

void StoreClient::remove(const std::string &Kind, const std::string &Name,
                         StoreReplyHandler End) {
  call(http::verb::delete_, absl::StrCat(path::Objects, Kind, "/", Name), "",
       CallTimeout, std::move(End));
}

void StoreClient::call(http::verb Method, const std::string &Target,
                       const std::string &Body, Duration Timeout,
                       StoreReplyHandler End) {
  ++Calls_;
  std::optional<boost::asio::ip::tcp::endpoint> Store = parseEndpoint(Address_);
  if (!Store) {
    End({StoreStatus::Lost, "", "not an address: " + Address_});
    return;
  }
  RequestMessage Message;
  Message.method(Method);
  Message.target(Target);
  Message.set(http::field::host, Address_);
  if (!Body.empty())
    Message.set(http::field::content_type, "application/json");
  Message.body() = Body;
  AttemptSpec Spec;
  Spec.Bytes_ = serializeRequest(Message);
  Spec.Matches_ = [](const ResponseMessage &) { return ResponseMatch::Ours; };
  Spec.ConnectTimeout_ = ConnectTimeout;
  Spec.MaxIdle_ = MaxIdle;
  auto Timer = std::make_shared<boost::asio::steady_timer>(Loop_, Timeout);
  auto Handle = std::make_shared<AttemptHandle>();
  auto Shared = std::make_shared<StoreReplyHandler>(std::move(End));
  *Handle = Connections_.send(
      Address_, *Store, std::move(Spec), [Timer, Shared](AttemptResult Result) {
        Timer->cancel();
        StoreReplyHandler Reply = std::exchange(*Shared, nullptr);
        if (!Reply)
          return;
        if (Result.End_ != AttemptEnd::Answered) {
          Reply({StoreStatus::Lost, "",
                 AttemptEndNames[static_cast<size_t>(Result.End_)]});
          return;
        }
        unsigned Code = Result.Response_.result_int();
        Reply({getStatus(Code), std::move(Result.Response_.body()),
               std::to_string(Code)});
      });
  Timer->async_wait(
      [Timer, Shared, Handle](boost::system::error_code Cancelled) {
        StoreReplyHandler Reply = std::exchange(*Shared, nullptr);
        if (Cancelled || !Reply)
          return;
        Handle->cancel();
        Reply({StoreStatus::Lost, "", "no answer in time"});
      });
}

} // namespace cranberry::platform
