/// \file http_client.cpp HTTP client with a timeout for each call.
#include "net/http_client_base.h"

#include "net/http_message_func.h"
#include "net/ingress_server_base.h"

#include <absl/strings/ascii.h>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace http = boost::beast::http;
using boost::system::error_code;

namespace cranberry {

namespace {

/// Interval at which expired idle connections are closed; short compared to the
/// idle timeouts of servers, which are several seconds.
constexpr Duration SweepPeriod = seconds(1);

constexpr std::string_view Scheme = "http://";

/// Components of a URL.
struct Url {
  std::string Address_; ///< "address:port".
  std::string Target_;  ///< Path and query.
};

Url splitUrl(std::string_view Text) {
  if (Text.starts_with(Scheme))
    Text.remove_prefix(Scheme.size());
  size_t Slash = std::min(Text.find('/'), Text.size());
  std::string Target(Text.substr(Slash));
  return {std::string(Text.substr(0, Slash)), Target.empty() ? "/" : Target};
}

AttemptSpec makeSpec(HttpCall Call, const Url &To) {
  RequestMessage Message;
  Message.method_string(Call.Method_);
  Message.target(To.Target_);
  Message.set(http::field::host, To.Address_);
  for (const auto &[Name, Value] : Call.Headers_)
    Message.insert(Name, Value);
  Message.body() = std::move(Call.Body_);
  AttemptSpec Spec;
  Spec.Bytes_ = serializeRequest(Message);
  Spec.IsHeadRequest_ = Call.Method_ == "HEAD";
  Spec.Matcher_ = [](const ResponseMessage &, bool) {
    return ResponseMatch::Matching;
  };
  Spec.ConnectTimeout_ = std::min(Call.Timeout_, Call.ConnectTimeout_);
  Spec.MaxIdleTime_ =
      Call.IsNewConnectionRequired_ ? Duration(-1) : Call.MaxIdleTime_;
  return Spec;
}

ResultCode toResultCode(AttemptStatus Status) {
  switch (Status) {
  case AttemptStatus::Answered:
    return ResultCode::Ok;
  case AttemptStatus::ConnectFailed:
  case AttemptStatus::ConnectReset:
    return ResultCode::ServerConnectFailed;
  case AttemptStatus::Truncated:
    return ResultCode::ServerAnswerTruncated;
  case AttemptStatus::Broken:
  case AttemptStatus::Garbled:
    break;
  }
  return ResultCode::ServerAnswerLost;
}

HttpResult makeResult(AttemptResult Attempt) {
  HttpResult Result;
  Result.Code_ = toResultCode(Attempt.Status_);
  if (Attempt.Status_ != AttemptStatus::Answered) {
    Result.ErrorText_ =
        AttemptStatusNames[static_cast<size_t>(Attempt.Status_)];
    return Result;
  }
  Result.Status_ = static_cast<int>(Attempt.Response_.result_int());
  for (const auto &Field : Attempt.Response_)
    Result.Headers_.emplace_back(
        absl::AsciiStrToLower(
            {Field.name_string().data(), Field.name_string().size()}),
        std::string(Field.value()));
  Result.Body_ = std::move(Attempt.Response_.body());
  return Result;
}

} // namespace

/// A call in flight.
struct HttpClient::Transfer {
  Transfer(boost::asio::io_context &IoContext, CompletionHandler OnComplete)
      : OnComplete_(std::move(OnComplete)), TimeoutTimer_(IoContext) {}

  CompletionHandler OnComplete_;           ///< Called with the result.
  AttemptHandle Attempt_;                  ///< Cancels the request.
  boost::asio::steady_timer TimeoutTimer_; ///< Timeout of the call.
};

HttpClient::HttpClient(boost::asio::io_context &IoContext)
    : IoContext_(IoContext), Connections_(IoContext) {}

HttpClient::~HttpClient() {
  for (auto &[Index, Pending] : Transfers_)
    Pending->Attempt_.cancel();
}

CallIndex HttpClient::startCall(HttpCall Call, CompletionHandler OnComplete) {
  sweepIfDue();
  CallIndex Index(NextCall_++);
  auto Pending = std::make_shared<Transfer>(IoContext_, std::move(OnComplete));
  Transfers_[Index] = Pending;
  std::weak_ptr<Transfer> Weak = Pending;
  Url To = splitUrl(Call.Url_);
  Duration Timeout = Call.Timeout_;
  std::optional<boost::asio::ip::tcp::endpoint> Server =
      parseEndpoint(To.Address_);
  if (!Server) {
    boost::asio::post(IoContext_, [this, Index, Weak, Address = To.Address_] {
      if (Weak.expired())
        return;
      HttpResult Result;
      Result.Code_ = ResultCode::ServerConnectFailed;
      Result.ErrorText_ = "invalid server address: " + Address;
      completeCall(Index, std::move(Result));
    });
    return Index;
  }
  Pending->Attempt_ =
      Connections_.send(To.Address_, *Server, makeSpec(std::move(Call), To),
                        [this, Index](AttemptResult Attempt) {
                          completeCall(Index, makeResult(std::move(Attempt)));
                        });
  // Started after the connection's own timer, which expires first if both have
  // the same timeout and reports that nothing was sent.
  Pending->TimeoutTimer_.expires_after(Timeout);
  Pending->TimeoutTimer_.async_wait([this, Index, Weak](error_code Cancelled) {
    if (Cancelled || Weak.expired())
      return;
    HttpResult Result;
    Result.Code_ = ResultCode::ServerAnswerLost;
    Result.ErrorText_ = "request timed out";
    completeCall(Index, std::move(Result));
  });
  return Index;
}

void HttpClient::completeCall(CallIndex Call, HttpResult Result) {
  auto Found = Transfers_.find(Call);
  if (Found == Transfers_.end())
    return;
  std::shared_ptr<Transfer> Pending = std::move(Found->second);
  Transfers_.erase(Found);
  if (Result.Code_ != ResultCode::Ok)
    Pending->Attempt_.cancel();
  Pending->OnComplete_(std::move(Result));
}

void HttpClient::cancelCall(CallIndex Call) {
  auto Found = Transfers_.find(Call);
  if (Found == Transfers_.end())
    return;
  Found->second->Attempt_.cancel();
  Transfers_.erase(Found);
}

void HttpClient::sweepIfDue() {
  Time Now = getNow();
  if (Now < NextSweep_)
    return;
  NextSweep_ = Now + SweepPeriod;
  Connections_.closeExpired(Now);
}

} // namespace cranberry
