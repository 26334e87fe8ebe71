/// \file request_router_attempts.cpp Sends requests to servers, and again.
#include "core/duration_func.h"
#include "core/result_func.h"
#include "net/http_message_func.h"
#include "steering/request_router_base.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace http = boost::beast::http;

namespace cranberry {

namespace {

/// After a server could not take a request, another may.
constexpr Duration FailureRetryAfter = milliseconds(200);

/// Longest idle time of a connection that carries a request which may not run
/// twice. A server that closes it meanwhile leaves the outcome unknown.
constexpr Duration MaxIdleAtMostOnce = seconds(2);
constexpr Duration MaxIdleIdempotent = seconds(10);

/// A repeat is made if this share of the expected time is left.
constexpr double RepeatTimeShare = 0.8;

/// Result that tells a client of an outcome, for a request that may not be
/// repeated.
ResultCode getResult(AttemptOutcome Outcome) {
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

AttemptSpec RequestRouter::makeSpec(const ClientFlow &Flow,
                                    const ServerRecord &Server) const {
  RequestMessage Message = Flow.Exchange_->getMessage();
  platform::encodeAttempt(Message, Flow.Request_.Deadline_ - getNow(),
                          Server.Id_);
  AttemptSpec Spec;
  Spec.Bytes_ = serializeRequest(Message);
  Spec.IsHeadRequest_ = Message.method() == http::verb::head;
  Spec.Matcher_ = [Id = Flow.Id_](const ResponseMessage &Response) {
    platform::ServerResponseInfo Info =
        platform::decodeServerResponse(Response);
    if (Info.AttemptId_ == Id)
      return ResponseMatch::Matching;
    if (Info.AttemptId_.empty())
      return Info.IsNotExecuted_ ? ResponseMatch::Matching
                                 : ResponseMatch::Invalid;
    return ResponseMatch::OtherRequest;
  };
  Spec.ConnectTimeout_ = Locator_.getConnectTimeout(Server.Zone_);
  Spec.MaxIdleTime_ =
      Flow.Route_->IsIdempotent_ ? MaxIdleIdempotent : MaxIdleAtMostOnce;
  return Spec;
}

void RequestRouter::perform(ServicePool &Pool, const StartAttempt &Start) {
  auto Found = Flows_.find(Start.Flow_.get());
  auto Server = Pool.Servers_.find(Start.Server_);
  if (Found == Flows_.end() || Server == Pool.Servers_.end())
    return;
  ClientFlow &Flow = *Found->second;
  Time Now = getNow();
  Flow.IsWaiting_ = false;
  if (Flow.Arrivals_ == 0) {
    Flow.Queued_ = Now - Flow.Request_.Arrived_;
    Metrics_.observeQueueing(Pool.Name_, Flow.Queued_);
  }
  Log_.write(Now, "start",
             {{"request", Flow.Id_},
              {"service", Pool.Name_},
              {"server", Start.Server_},
              {"where", ProximityNames[static_cast<size_t>(Start.Proximity_)]},
              {"busy", Start.Busy_},
              {"loadAgeMs", Start.LoadAge_},
              {"queue", Start.Queue_},
              {"expectedMs", Start.Expected_},
              {"version", Flow.Config_->Version_}});
  Flow.Attempts_.push_back({Start, Now, {}});
  Flow.LastServer_ = Start.Server_;
  Flow.Request_.Tried_.push_back(Start.Server_);
  ++Flow.Arrivals_;
  std::optional<boost::asio::ip::tcp::endpoint> Endpoint =
      parseEndpoint(Server->second.Address_);
  if (!Endpoint) {
    boost::asio::post(Loop_, [this, At = Flow.Index_, Id = Start.Server_] {
      endAttempt(At, Id, {AttemptStatus::ConnectReset, {}, false, {}});
    });
    return;
  }
  // An instance's connections are its own: its address may be used again.
  Flow.Attempts_.back().Handle_ = Connections_.send(
      Start.Server_, *Endpoint, makeSpec(Flow, Server->second),
      [this, At = Flow.Index_, Id = Start.Server_](AttemptResult Result) {
        endAttempt(At, Id, std::move(Result));
      });
}

void RequestRouter::perform(ServicePool &Pool, const RefuseRequest &Refuse) {
  auto Found = Flows_.find(Refuse.Flow_.get());
  if (Found == Flows_.end())
    return;
  ClientFlow &Flow = *Found->second;
  Flow.IsWaiting_ = false;
  Log_.write(getNow(), "refuse",
             {{"request", Flow.Id_},
              {"service", Pool.Name_},
              {"cause", RefusalCauseNames[static_cast<size_t>(Refuse.Cause_)]},
              {"queue", Refuse.Queue_},
              {"inFlight", Pool.Balancer_.getInFlight()},
              {"servers", static_cast<uint64_t>(Pool.Servers_.size())},
              {"predictedMs", Refuse.Predicted_},
              {"waitedMs", getNow() - Flow.Request_.Arrived_}});
  // A repeat that finds no room leaves the request as its attempts left it.
  if (Flow.Attempts_.empty())
    giveUp(Flow,
           Refuse.Cause_ == RefusalCause::NoServer ? ResultCode::NoServer
                                                   : ResultCode::QueueFull,
           ResultCode::ServerAnswerLost, Refuse.RetryAfter_);
}

void RequestRouter::perform(ServicePool &Pool, const SuspectAttempt &Suspect) {
  auto Found = Flows_.find(Suspect.Flow_.get());
  if (Found == Flows_.end())
    return;
  ClientFlow &Flow = *Found->second;
  Log_.write(getNow(), "suspect",
             {{"request", Flow.Id_},
              {"service", Pool.Name_},
              {"server", Suspect.Server_}});
  if (Flow.Route_->IsIdempotent_ && !Flow.IsWaiting_ &&
      Flow.Attempts_.size() == 1)
    tryRepeat(Flow, AttemptOutcome::Unknown);
}

void RequestRouter::noteEnd(ClientFlow &Flow, const OpenAttempt &Attempt,
                            const AttemptResult &Result,
                            const platform::ServerResponseInfo &Info,
                            AttemptOutcome Outcome) {
  Time Now = getNow();
  EndedAttempt Ended;
  Ended.Flow_ = Flow.Index_;
  Ended.Route_ = Flow.Request_.Route_;
  Ended.Objective_ = Flow.Route_->Objective_;
  Ended.Server_ = Attempt.Start_.Server_;
  Ended.Verdict_ = getVerdict(Outcome);
  Ended.Ran_ = Now - Attempt.Started_;
  if (Result.Status_ == AttemptStatus::Answered)
    Ended.Load_ = Info.Load_;
  ServicePool &Pool = *Flow.Pool_;
  Pool.Balancer_.endAttempt(Ended, Now);
  if (Info.ColdLeft_ && *Info.ColdLeft_ > Duration(0))
    Pool.Balancer_.noteCold(Ended.Server_, Now + *Info.ColdLeft_);
  auto Server = Pool.Servers_.find(Ended.Server_);
  if (Result.ConnectTime_ && Server != Pool.Servers_.end())
    Locator_.noteConnect(Server->second.Zone_, *Result.ConnectTime_);
  Metrics_.countAttempt(
      Pool.Name_,
      ProximityNames[static_cast<size_t>(Attempt.Start_.Proximity_)],
      getResult(Outcome));
  if (Outcome == AttemptOutcome::Deliver)
    return;
  if (Outcome == AttemptOutcome::NotSent ||
      Result.Status_ == AttemptStatus::Broken)
    Gate_.noteFailure(Now);
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
              {"servers", Flow.Arrivals_},
              {"budgetLeft", Pool.Budget_.getLeft(Now)}});
}

void RequestRouter::endAttempt(FlowIndex Index, const std::string &Server,
                               AttemptResult Result) {
  auto Found = Flows_.find(Index.get());
  if (Found == Flows_.end())
    return;
  ClientFlow &Flow = *Found->second;
  auto At = std::find_if(
      Flow.Attempts_.begin(), Flow.Attempts_.end(),
      [&](const OpenAttempt &A) { return A.Start_.Server_ == Server; });
  if (At == Flow.Attempts_.end())
    return;
  OpenAttempt Attempt = std::move(*At);
  Flow.Attempts_.erase(At);
  platform::ServerResponseInfo Info =
      platform::decodeServerResponse(Result.Response_);
  AttemptOutcome Outcome = classifyAttempt(Result, Info);
  noteEnd(Flow, Attempt, Result, Info, Outcome);
  constexpr unsigned Misdirected = 421;
  if (Result.Status_ == AttemptStatus::Answered &&
      Result.Response_.result_int() == Misdirected && OnMisdirected_)
    OnMisdirected_(Server);
  scheduleStep(*Flow.Pool_);
  decideEnd(Flow, Outcome, std::move(Result));
}

bool RequestRouter::tryRepeat(ClientFlow &Flow, AttemptOutcome Outcome) {
  Time Now = getNow();
  ServicePool &Pool = *Flow.Pool_;
  Duration Work =
      Pool.Balancer_.getHistory()
          .getEstimate(Flow.Request_.Route_, Flow.Route_->Objective_)
          .Fast_;
  if (Flow.Request_.Deadline_ - Now < scale(Work, RepeatTimeShare))
    return false;
  if (Outcome == AttemptOutcome::NotSent)
    --Flow.Arrivals_; // It reached no server, so it is no repeat.
  else if (Flow.Arrivals_ >= Flow.Route_->MaxServers_ ||
           !Pool.Budget_.tryTake(Now))
    return false;
  submit(Flow);
  return true;
}

void RequestRouter::decideEnd(ClientFlow &Flow, AttemptOutcome Outcome,
                              AttemptResult Result) {
  bool MayRepeat = Flow.Route_->IsIdempotent_;
  switch (Outcome) {
  case AttemptOutcome::Deliver:
    deliver(Flow, std::move(Result.Response_));
    return;
  case AttemptOutcome::ServerFailed:
    Flow.MayHaveRun_ = true;
    if (!isPromiseOfNotRun(Result.Response_.result_int()))
      Flow.Failure_ =
          std::make_unique<ResponseMessage>(std::move(Result.Response_));
    break;
  case AttemptOutcome::NotSent:
  case AttemptOutcome::NotRun:
    MayRepeat = MayRepeat || !Flow.MayHaveRun_;
    break;
  case AttemptOutcome::Unknown:
    Flow.MayHaveRun_ = true;
    break;
  }
  // Another attempt, or a place in the queue, may still bring the answer.
  if (!Flow.Attempts_.empty() || Flow.IsWaiting_)
    return;
  if (MayRepeat && tryRepeat(Flow, Outcome))
    return;
  giveUp(Flow, getResult(Outcome), ResultCode::ServerAnswerLost,
         FailureRetryAfter);
}

} // namespace cranberry
