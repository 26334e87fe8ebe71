/// \file backend.cpp Stand-in for backend servers of a service.
#include "standin/backend_base.h"

#include "standin/run_on_loop_func.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

using nlohmann::json;

namespace cranberry::standin {

namespace {

/// Age of the load that /health reports.
constexpr Duration LoadReportLag = seconds(1);

/// How often a run checks for cancellation.
constexpr Duration CancelCheckPeriod = milliseconds(20);

HttpResponse makeRefusal(bool IsDraining) {
  HttpResponse Response;
  Response.Status_ = 503;
  Response.Headers_.emplace_back("X-Not-Run", "1");
  if (IsDraining)
    Response.Headers_.emplace_back("X-Draining", "1");
  return Response;
}

} // namespace

Backend::Backend(const std::string &Address, const BackendProfile &Profile)
    : Profile_(Profile), Random_(Profile.Seed_) {
  Thread_ = std::thread([this] { Loop_.run(); });
  HttpServerLimits Limits;
  Limits.Threads_ = 2;
  Limits.MaxConnections_ = 330;
  Reason Why;
  Server_ = HttpServer::open(
      Address, Limits,
      [this](HttpRequest Request, HttpRespond Respond) {
        Loop_.post([this, Request = std::move(Request),
                    Respond = std::move(Respond)]() mutable {
          handle(Request, std::move(Respond));
        });
      },
      Why);
  if (!Server_)
    throw std::runtime_error("backend: can't listen on " + Address);
}

Backend::~Backend() {
  // Waits until running requests have been responded to, so that no connection
  // stays open.
  while (runOnLoop(Loop_, [this] {
           for (const HttpRespond &Respond : Held_)
             Respond(makeRefusal(false));
           Held_.clear();
           return Running_;
         }) > 0)
    std::this_thread::yield();
  Server_.reset();
  Loop_.stop();
  Thread_.join();
}

void Backend::setFaults(const ServerFaults &Faults) {
  runOnLoop(Loop_, [this, Faults] { Faults_ = Faults; });
}

std::map<std::string, unsigned> Backend::getRunsByKey() {
  return runOnLoop(Loop_, [this] { return RunsByKey_; });
}

unsigned Backend::getRuns() {
  return runOnLoop(Loop_, [this] { return Runs_; });
}

unsigned Backend::getMaxConcurrent() {
  return runOnLoop(Loop_, [this] { return MaxConcurrent_; });
}

unsigned Backend::getCancelled() {
  return runOnLoop(Loop_, [this] { return Cancelled_; });
}

unsigned Backend::getShed() {
  return runOnLoop(Loop_, [this] { return Shed_; });
}

void Backend::handle(const HttpRequest &Request, HttpRespond Respond) {
  if (Request.Path_ == "/health") {
    if (Faults_.HealthDown_)
      Held_.push_back(std::move(Respond));
    else
      Respond(handleHealth());
    return;
  }
  if (Request.Path_ == "/control")
    return Respond(handleControl(Request));
  bool IsDraining = Faults_.Draining_ && !Faults_.HidesDrain_;
  if (IsDraining || Running_ >= Profile_.Slots_) {
    ++Shed_;
    return Respond(makeRefusal(IsDraining));
  }
  run(Request, Respond);
}

HttpResponse Backend::handleHealth() {
  json Body{{"draining", Faults_.Draining_}, {"load", ReportedLoad_}};
  Loop_.addTimer(EventLoop::now() + LoadReportLag,
                 [this, Now = Running_] { ReportedLoad_ = Now; });
  return {200, {{"Content-Type", "application/json"}}, Body.dump()};
}

HttpResponse Backend::handleControl(const HttpRequest &Request) {
  if (Request.Method_ == "GET")
    return {200,
            {},
            json{{"runsByKey", RunsByKey_},
                 {"runs", Runs_},
                 {"shed", Shed_},
                 {"maxAtOnce", MaxConcurrent_}}
                .dump()};
  json Body = json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return {400, {}, ""};
  Faults_.SlowFactor_ = Body.value("slowFactor", Faults_.SlowFactor_);
  Faults_.Draining_ = Body.value("draining", Faults_.Draining_);
  Faults_.LoseResponses_ = Body.value("loseAnswers", Faults_.LoseResponses_);
  return {200, {}, "{}"};
}

Duration Backend::drawServiceTime(const HttpRequest &Request) {
  std::exponential_distribution<double> Length(1.0);
  std::uniform_real_distribution<double> Share(0.0, 1.0);
  double Factor = Length(Random_) * Faults_.SlowFactor_;
  // Requests to /render are always long. Other stragglers are drawn at random,
  // so that the caller can't predict them.
  bool IsLong = Request.Path_.starts_with("/render") ||
                Share(Random_) < Profile_.StragglerShare_;
  if (IsLong)
    Factor *= Profile_.StragglerFactor_;
  if (Runs_ < Profile_.ColdRequests_)
    Factor *= Profile_.ColdFactor_;
  auto Micros = static_cast<int64_t>(
      static_cast<double>(Profile_.Mean_.count()) * Factor);
  return Duration(std::max<int64_t>(Micros, 1));
}

void Backend::run(const HttpRequest &Request, const HttpRespond &Respond) {
  ++Running_;
  MaxConcurrent_ = std::max(MaxConcurrent_, Running_);
  Duration Length = drawServiceTime(Request);
  ++Runs_;
  if (const std::string &Key = Request.getHeader("idempotency-key");
      !Key.empty())
    ++RunsByKey_[Key];
  Time Now = EventLoop::now();
  Time Deadline = Time::max();
  if (int64_t Ms = 0; absl::SimpleAtoi(Request.getHeader("x-deadline-ms"), &Ms))
    Deadline = Now + milliseconds(Ms);
  continueRun(Request, Respond, Now + Length, Deadline);
}

void Backend::continueRun(const HttpRequest &Request,
                          const HttpRespond &Respond, Time End, Time Deadline) {
  Time Now = EventLoop::now();
  if (Now >= End)
    return finish(Request, Respond);
  // A request with an idempotency key has side effects and always runs to
  // completion.
  bool CanCancel = Request.getHeader("idempotency-key").empty();
  if (CanCancel && (Now >= Deadline || Request.IsClientDisconnected_())) {
    --Running_;
    ++Cancelled_;
    return Respond({504, {}, ""});
  }
  Loop_.addTimer(std::min(End, Now + CancelCheckPeriod),
                 [this, Request, Respond, End, Deadline] {
                   continueRun(Request, Respond, End, Deadline);
                 });
}

void Backend::finish(const HttpRequest &Request, const HttpRespond &Respond) {
  --Running_;
  if (Faults_.LoseResponses_ > 0) {
    --Faults_.LoseResponses_;
    Held_.push_back(Respond);
    return;
  }
  std::string Id = Request.getHeader("x-request-id");
  if (Faults_.SwapResponses_ > 0 && !LastId_.empty()) {
    --Faults_.SwapResponses_;
    std::swap(Id, LastId_);
  } else {
    LastId_ = Id;
  }
  HttpResponse Response;
  Response.Headers_.emplace_back("X-Request-Id", Id);
  Response.Headers_.emplace_back("Content-Type", "application/json");
  Response.Body_ =
      json{{"path", Request.Path_},
           {"echo",
            Request.Body_.empty() ? Request.getQuery("echo") : Request.Body_}}
          .dump();
  Respond(std::move(Response));
}

} // namespace cranberry::standin
