/// \file routed_server.cpp Stand-in for a backend server on the platform.
#include "standin/routed_server_base.h"

#include "net/http_message_func.h"
#include "platform/wire_names.h"

#include <absl/strings/str_cat.h>

#include <stdexcept>
#include <utility>

namespace cranberry::standin {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Misdirected = 421;
constexpr unsigned Failed = 500;
constexpr unsigned Unavailable = 503;

std::string toString(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace

RoutedServer::RoutedServer(std::string Id, unsigned Slots, Duration ServiceTime,
                           const std::string &Address)
    : Id_(std::move(Id)), Slots_(Slots), ServiceTime_(ServiceTime) {
  Thread_.call([&] {
    Server_ = std::make_unique<IngressServer>(
        Thread_.getLoop(),
        [this](const IngressExchangePtr &Exchange) { handle(Exchange); });
    Reason Why;
    if (!Server_->open(Address, Why))
      throw std::runtime_error("backend server: can't listen: " + Why.Message_);
    Address_ = Server_->getAddress();
  });
}

RoutedServer::~RoutedServer() {
  Thread_.stop();
  Held_.clear();
  Server_.reset();
}

nlohmann::json RoutedServer::getEntry(const std::string &Service,
                                      const std::string &Zone, bool IsDraining,
                                      unsigned Sequence) const {
  return {{"service", Service},
          {"address", Address_},
          {"zone", Zone},
          {"version", "v1"},
          {"slots", Slots_},
          {"state", IsDraining ? "draining" : "ready"},
          {"coldRemaining", "0ms"},
          {"sequence", Sequence},
          {"born", 1}};
}

void RoutedServer::setFault(ResponseFault Fault) {
  Thread_.call([&] { Fault_ = Fault; });
}

void RoutedServer::setServiceTime(Duration ServiceTime) {
  Thread_.call([&] { ServiceTime_ = ServiceTime; });
}

void RoutedServer::releaseHeld() {
  Thread_.call([&] {
    for (const IngressExchangePtr &Exchange : std::exchange(Held_, {}))
      finish(Exchange);
  });
}

void RoutedServer::setRateLimit(std::optional<double> PerSecond) {
  Thread_.call([&] { RateLimit_ = PerSecond; });
}

void RoutedServer::setLeaving(bool IsLeaving) {
  Thread_.call([&] { IsLeaving_ = IsLeaving; });
}

void RoutedServer::setRetryAfter(std::string Text) {
  Thread_.call([&] { RetryAfter_ = std::move(Text); });
}

void RoutedServer::setStateFields(ResponseMessage &Response) const {
  if (RateLimit_)
    Response.set(platform::header::RateLimit, absl::StrCat(*RateLimit_));
  if (IsLeaving_)
    Response.set(platform::header::Leaving, "1");
}

std::vector<ServerRun> RoutedServer::getRuns() {
  return Thread_.call([&] { return Runs_; });
}

unsigned RoutedServer::getArrivals() {
  return Thread_.call([&] { return Arrivals_; });
}

unsigned RoutedServer::getCancelled() {
  return Thread_.call([&] { return Cancelled_; });
}

void RoutedServer::handle(const IngressExchangePtr &Exchange) {
  const RequestMessage &Message = Exchange->getMessage();
  ++Arrivals_;
  std::string Expected = toString(Message[platform::header::ExpectedInstance]);
  bool IsOther = !Expected.empty() && Expected != Id_;
  if (IsOther || Fault_ == ResponseFault::Refuse || Running_ >= Slots_) {
    ResponseMessage Refusal =
        makeResponse(IsOther ? Misdirected : Unavailable, "");
    Refusal.set(platform::header::NotExecuted, "1");
    Refusal.set(platform::header::AttemptId,
                toString(Message[platform::header::AttemptId]));
    if (!RetryAfter_.empty())
      Refusal.set(boost::beast::http::field::retry_after, RetryAfter_);
    setStateFields(Refusal);
    Exchange->respond(Refusal);
    return;
  }
  run(Exchange);
}

void RoutedServer::run(const IngressExchangePtr &Exchange) {
  const RequestMessage &Message = Exchange->getMessage();
  ServerRun Run{toString(Message[platform::header::AttemptId]),
                toString(Message.target()),
                getNow(),
                {},
                Message.count(boost::beast::http::field::authorization) > 0};
  auto [First, End] = Message.equal_range(platform::header::WorkspaceName);
  for (; First != End; ++First)
    Run.Workspace_ +=
        (Run.Workspace_.empty() ? "" : ",") + toString(First->value());
  Runs_.push_back(std::move(Run));
  if (Fault_ == ResponseFault::Silent) {
    Held_.push_back(Exchange);
    return;
  }
  ++Running_;
  auto Timer = std::make_shared<boost::asio::steady_timer>(Thread_.getLoop(),
                                                           ServiceTime_);
  Exchange->setDisconnectHandler([this, Timer] {
    ++Cancelled_;
    Timer->cancel();
  });
  Timer->async_wait(
      [this, Timer, Exchange](boost::system::error_code Cancelled) {
        --Running_;
        if (!Cancelled)
          finish(Exchange);
      });
}

void RoutedServer::finish(const IngressExchangePtr &Exchange) {
  const RequestMessage &Message = Exchange->getMessage();
  if (Fault_ == ResponseFault::Lose) {
    Exchange->dropConnection();
    return;
  }
  bool IsFailure = Fault_ == ResponseFault::Fail;
  std::string Id = toString(Message[platform::header::AttemptId]);
  ResponseMessage Response =
      makeResponse(IsFailure ? Failed : Ok,
                   absl::StrCat(Id, " ", toString(Message.target())));
  Response.set(platform::header::AttemptId, Id);
  if (Fault_ != ResponseFault::Unsigned)
    Response.set(platform::header::Signature, Id_);
  Response.set(platform::header::Load,
               absl::StrCat(Running_, ",0,", Slots_, ",100"));
  setStateFields(Response);
  Exchange->respond(Response);
}

} // namespace cranberry::standin
