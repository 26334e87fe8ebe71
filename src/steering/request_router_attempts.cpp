/// \file request_router_attempts.cpp Attempts of requests and their retries.
#include "core/duration_func.h"
#include "core/result_func.h"
#include "net/http_message_func.h"
#include "steering/request_router_base.h"

#include <absl/strings/str_join.h>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace http = boost::beast::http;

namespace cranberry {

namespace {

/// Retry-After of requests that failed at a server, as another may accept them.
constexpr Duration FailureRetryAfter = milliseconds(200);

/// Maximum idle time of a reused connection. It is shorter for requests that
/// must not be executed twice, as a server that closes the connection while the
/// request is sent leaves the outcome unknown.
constexpr Duration MaxIdleAtMostOnce = seconds(2);
constexpr Duration MaxIdleIdempotent = seconds(10);

/// A retry needs at least this share of the expected execution time before the
/// deadline.
constexpr double MinRetryTimeShare = 0.8;

/// \return The result code for an outcome if the request can't be retried.
ResultCode getResultCode(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::NotSent:
    return ResultCode::ServerConnectFailed;
  case AttemptOutcome::NotRun:
    return ResultCode::ServerRefused;
  case AttemptOutcome::Unknown:
  case AttemptOutcome::ServerFailed:
    return ResultCode::ServerAnswerLost;
  case AttemptOutcome::Deliver:
    break;
  }
  return ResultCode::Ok;
}

} // namespace

Duration RequestRouter::getExpectedWork(const ClientFlow &Flow) const {
  return Flow.Pool_->Balancer_.getHistory()
      .getEstimate(Flow.Request_.Route_, Flow.Route_->LatencyObjective_)
      .HitTime_;
}

AttemptSpec RequestRouter::makeAttemptSpec(const ClientFlow &Flow,
                                           const ServerRecord &Server) const {
  RequestMessage Message = Flow.Exchange_->getMessage();
  platform::setAttemptHeaders(Message, Flow.Request_.Deadline_ - getNow(),
                              Server.InstanceId_);
  AttemptSpec Spec;
  Spec.Bytes_ = serializeRequest(Message);
  Spec.IsHeadRequest_ = Message.method() == http::verb::head;
  Spec.Matcher_ = [Id = Flow.Id_](const ResponseMessage &Response,
                                  bool IsFirstRequest) {
    return matchResponse(Response, Id, IsFirstRequest);
  };
  Spec.ConnectTimeout_ = Locator_.getConnectTimeout(Server.Zone_);
  Spec.MaxIdleTime_ =
      Flow.Route_->IsIdempotent_ ? MaxIdleIdempotent : MaxIdleAtMostOnce;
  return Spec;
}

void RequestRouter::performAction(ServicePool &Pool,
                                  const StartAttempt &Start) {
  auto Found = Flows_.find(Start.Flow_.get());
  auto Server = Pool.Servers_.find(Start.Server_);
  if (Found == Flows_.end() || Server == Pool.Servers_.end())
    return;
  ClientFlow &Flow = *Found->second;
  Time Now = getNow();
  Flow.IsQueued_ = false;
  if (Flow.Workspace_)
    Pool.Fairness_.recordStart(Flow.getWorkspaceName(), getExpectedWork(Flow),
                               Now);
  if (Flow.ServerCount_ == 0) {
    Flow.QueueTime_ = Now - Flow.Request_.Arrived_;
    Metrics_.observeQueueTime(Pool.Name_, Flow.QueueTime_);
  }
  uint64_t Newest = getCurrency().Newest_;
  if (!Flow.Request_.HomeRegions_.empty())
    ++(Config_->Version_ < Newest ? HomedAttempts_.Outdated_
                                  : HomedAttempts_.Current_);
  Log_.write(Now, "attempt-start",
             {{"request", Flow.Id_},
              {"service", Pool.Name_},
              {"route", Flow.Route_->Name_},
              {"server", Start.Server_},
              {"region", Locator_.getRegion(Server->second.Zone_)},
              {"homes", absl::StrJoin(Flow.Request_.HomeRegions_, " ")},
              {"where", ProximityNames[static_cast<size_t>(Start.Proximity_)]},
              {"busy", Start.Busy_},
              {"loadAgeMs", Start.LoadAge_},
              {"queue", Start.Queue_},
              {"expectedMs", Start.Expected_},
              {"version", Flow.Config_->Version_},
              {"newest", Newest}});
  Flow.Attempts_.push_back({Start, Now, Server->second.StartTimeMs_, {}});
  Flow.LastServer_ = Start.Server_;
  Flow.Request_.ExcludedServers_.push_back(Start.Server_);
  ++Flow.ServerCount_;
  std::optional<boost::asio::ip::tcp::endpoint> Endpoint =
      parseEndpoint(Server->second.Address_);
  if (!Endpoint) {
    boost::asio::post(Loop_, [this, At = Flow.Index_, Id = Start.Server_] {
      onAttemptEnd(At, Id, {AttemptStatus::ConnectReset, {}, false, {}});
    });
    return;
  }
  AttemptSpec Spec = makeAttemptSpec(Flow, Server->second);
  SentBytes_ += Spec.Bytes_.size();
  // Connections are pooled by instance, as a later instance may get the
  // address.
  Flow.Attempts_.back().Handle_ = Connections_.send(
      Start.Server_, *Endpoint, std::move(Spec),
      [this, At = Flow.Index_, Id = Start.Server_](AttemptResult Result) {
        onAttemptEnd(At, Id, std::move(Result));
      });
}

void RequestRouter::performAction(ServicePool &Pool,
                                  const RefuseRequest &Refuse) {
  auto Found = Flows_.find(Refuse.Flow_.get());
  if (Found == Flows_.end())
    return;
  ClientFlow &Flow = *Found->second;
  Flow.IsQueued_ = false;
  Log_.write(getNow(), "refuse",
             {{"request", Flow.Id_},
              {"service", Pool.Name_},
              {"cause", RefusalCauseNames[static_cast<size_t>(Refuse.Cause_)]},
              {"queue", Refuse.Queue_},
              {"inFlight", Pool.Balancer_.getInFlight()},
              {"servers", static_cast<uint64_t>(Pool.Servers_.size())},
              {"predictedMs", Refuse.Predicted_},
              {"waitedMs", getNow() - Flow.Request_.Arrived_}});
  // If only a retry is refused, the attempts in flight still decide the result.
  if (Flow.Attempts_.empty())
    sendFailure(Flow,
                Refuse.Cause_ == RefusalCause::NoServer ? ResultCode::NoServer
                                                        : ResultCode::QueueFull,
                ResultCode::ServerAnswerLost, Refuse.RetryAfter_);
}

void RequestRouter::performAction(ServicePool &Pool,
                                  const SuspectAttempt &Suspect) {
  auto Found = Flows_.find(Suspect.Flow_.get());
  if (Found == Flows_.end())
    return;
  ClientFlow &Flow = *Found->second;
  Log_.write(getNow(), "suspect",
             {{"request", Flow.Id_},
              {"service", Pool.Name_},
              {"server", Suspect.Server_}});
  if (Flow.Route_->IsIdempotent_ && !Flow.IsQueued_ &&
      Flow.Attempts_.size() == 1)
    tryRetry(Flow, AttemptOutcome::Unknown);
}

void RequestRouter::recordAttemptEnd(ClientFlow &Flow,
                                     const InFlightAttempt &Attempt,
                                     const AttemptResult &Result,
                                     const platform::ServerResponseInfo &Info,
                                     AttemptOutcome Outcome) {
  Time Now = getNow();
  EndedAttempt Ended;
  Ended.Flow_ = Flow.Index_;
  Ended.Route_ = Flow.Request_.Route_;
  Ended.Objective_ = Flow.Route_->LatencyObjective_;
  Ended.Server_ = Attempt.Start_.Server_;
  Ended.Outcome_ = getVerdict(Outcome);
  Ended.Ran_ = Now - Attempt.SentAt_;
  if (Result.Status_ == AttemptStatus::Answered) {
    Ended.Load_ = Info.Load_;
    Ended.RetryAfter_ = Info.RetryAfter_;
  }
  ServicePool &Pool = *Flow.Pool_;
  Pool.Balancer_.endAttempt(Ended, Now);
  // Only the server's own responses show that a limit has ended.
  bool HasRateReport = Result.Status_ == AttemptStatus::Answered &&
                       (Info.IsSigned_ || Info.RateLimit_);
  if (HasRateReport &&
      Pool.Balancer_.setRateLimit(Ended.Server_, {Info.RateLimit_, Now}) &&
      OnRateLimit_)
    OnRateLimit_();
  if (Info.ColdRemaining_ && *Info.ColdRemaining_ > Duration(0))
    Pool.Balancer_.extendColdPhase(Ended.Server_, Now + *Info.ColdRemaining_);
  auto Server = Pool.Servers_.find(Ended.Server_);
  if (Result.ConnectTime_ && Server != Pool.Servers_.end())
    Locator_.recordConnectTime(Server->second.Zone_, *Result.ConnectTime_);
  Metrics_.countAttempt(
      Pool.Name_,
      ProximityNames[static_cast<size_t>(Attempt.Start_.Proximity_)],
      getResultCode(Outcome));
  if (Outcome == AttemptOutcome::Deliver)
    return;
  if (Outcome == AttemptOutcome::NotSent ||
      Result.Status_ == AttemptStatus::Broken)
    ShiftGate_.recordFailure(Now);
  Log_.write(Now, "attempt",
             {{"request", Flow.Id_},
              {"service", Pool.Name_},
              {"server", Ended.Server_},
              {"end", AttemptStatusNames[static_cast<size_t>(Result.Status_)]},
              {"status", Result.Response_.result_int()},
              {"outcome", AttemptOutcomeNames[static_cast<size_t>(Outcome)]},
              {"ranMs", Ended.Ran_},
              {"expectedMs", Attempt.Start_.Expected_},
              {"reused", Result.IsConnectionReused_ ? 1 : 0},
              {"retryAfterMs", Info.RetryAfter_.value_or(Duration(0))},
              {"servers", Flow.ServerCount_},
              {"budgetLeft", Pool.RetryBudget_.getRemaining(Now)}});
}

void RequestRouter::onAttemptEnd(FlowIndex Index, const std::string &Server,
                                 AttemptResult Result) {
  auto Found = Flows_.find(Index.get());
  if (Found == Flows_.end())
    return;
  ClientFlow &Flow = *Found->second;
  auto At = std::find_if(
      Flow.Attempts_.begin(), Flow.Attempts_.end(),
      [&](const InFlightAttempt &A) { return A.Start_.Server_ == Server; });
  if (At == Flow.Attempts_.end())
    return;
  InFlightAttempt Attempt = std::move(*At);
  Flow.Attempts_.erase(At);
  platform::ServerResponseInfo Info =
      platform::decodeServerResponse(Result.Response_);
  AttemptOutcome Outcome = classifyAttempt(Result, Info);
  recordAttemptEnd(Flow, Attempt, Result, Info, Outcome);
  checkLeaving(Flow, Attempt, Result, Info);
  scheduleStep(*Flow.Pool_);
  handleOutcome(Flow, Outcome, std::move(Result));
}

void RequestRouter::checkLeaving(const ClientFlow &Flow,
                                 const InFlightAttempt &Attempt,
                                 const AttemptResult &Result,
                                 const platform::ServerResponseInfo &Info) {
  constexpr unsigned Misdirected = 421;
  if (Result.Status_ != AttemptStatus::Answered || !OnLeaving_)
    return;
  bool IsMisdirected = Result.Response_.result_int() == Misdirected;
  const std::string &Server = Attempt.Start_.Server_;
  if ((!Info.IsLeaving_ && !IsMisdirected) ||
      !OnLeaving_(Server, Attempt.StartTimeMs_))
    return;
  Log_.write(getNow(), "server-leaving",
             {{"server", Server},
              {"service", Flow.Pool_->Name_},
              {"cause", IsMisdirected ? "misdirected" : "announced"},
              {"usable", static_cast<uint64_t>(Flow.Pool_->Servers_.size())}});
}

bool RequestRouter::tryRetry(ClientFlow &Flow, AttemptOutcome Outcome) {
  ConfigCurrency Currency = getCurrency();
  if (Flow.IsHomeless_ || Currency.IsOutdated_ ||
      (!Flow.Request_.HomeRegions_.empty() && !Currency.AreHomesConfirmed_) ||
      !Workspaces_.isStillAdmitted(Flow.Key_, Flow.Workspace_))
    return false;
  Time Now = getNow();
  ServicePool &Pool = *Flow.Pool_;
  if (Flow.Request_.Deadline_ - Now <
      scaleDuration(getExpectedWork(Flow), MinRetryTimeShare))
    return false;
  if (Outcome == AttemptOutcome::NotSent)
    --Flow.ServerCount_; // It reached no server, so it doesn't count as a
                         // retry.
  else if (Flow.ServerCount_ >= Flow.Route_->MaxServers_ ||
           !canRepeat(Flow, Outcome) || !Pool.RetryBudget_.tryConsume(Now))
    return false;
  submit(Flow);
  return true;
}

void RequestRouter::handleOutcome(ClientFlow &Flow, AttemptOutcome Outcome,
                                  AttemptResult Result) {
  bool CanRetry = Flow.Route_->IsIdempotent_;
  switch (Outcome) {
  case AttemptOutcome::Deliver:
    sendResponse(Flow, std::move(Result.Response_));
    return;
  case AttemptOutcome::ServerFailed:
    Flow.MayHaveRun_ = true;
    if (!isNotRunStatus(Result.Response_.result_int()))
      Flow.FailureResponse_ =
          std::make_unique<ResponseMessage>(std::move(Result.Response_));
    break;
  case AttemptOutcome::NotSent:
  case AttemptOutcome::NotRun:
    CanRetry = CanRetry || !Flow.MayHaveRun_;
    break;
  case AttemptOutcome::Unknown:
    Flow.MayHaveRun_ = true;
    break;
  }
  // Another attempt, in flight or queued, may still succeed.
  if (!Flow.Attempts_.empty() || Flow.IsQueued_)
    return;
  if (CanRetry && tryRetry(Flow, Outcome))
    return;
  sendFailure(Flow, getResultCode(Outcome), ResultCode::ServerAnswerLost,
              FailureRetryAfter);
}

} // namespace cranberry
