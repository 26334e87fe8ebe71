/// \file request_router.cpp Accepts client requests and sends the responses.
#include "steering/request_router_base.h"

#include "core/result_func.h"
#include "net/http_message_func.h"

#include <absl/hash/hash.h>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace http = boost::beast::http;
using boost::system::error_code;

namespace cranberry {

namespace {

/// Retry-After of requests that arrive before this VM is ready or while it
/// shuts down.
constexpr Duration RejectRetryAfter = milliseconds(300);

/// Retry-After of requests that failed at a server, as another may accept them.
constexpr Duration FailureRetryAfter = milliseconds(200);

uint64_t hashKey(const std::string &Key) {
  if (Key.empty())
    return 0;
  uint64_t Hash =
      0xcbf29ce484222325ULL; // FNV-1a, which gives the same hash on every VM.
  for (unsigned char C : Key)
    Hash = (Hash ^ C) * 0x100000001b3ULL;
  return Hash == 0 ? 1 : Hash;
}

std::string toString(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/// \return Weight of a response in time. Operators assign priorities, and the
/// users require the first to weigh three times as much as the last.
double getPriorityWeight(unsigned Priority) {
  constexpr unsigned Ranks = 3;
  return Priority >= Ranks ? 1 : Ranks - Priority;
}

} // namespace

RequestRouter::RequestRouter(boost::asio::io_context &Loop,
                             const Settings &Config, EventLog &Log,
                             Metrics &Counters)
    : Loop_(Loop), Settings_(Config), Log_(Log), Metrics_(Counters),
      Locator_(Config, getNow()), Connections_(Loop),
      ShiftGate_(ShiftLimitShare * Config.MaxRegionShift_), Workspaces_(Log) {
  Workspaces_.setOnSettle(
      [this](FlowIndex Flow, bool IsLast) { return settleHeld(Flow, IsLast); });
}

ServicePool &RequestRouter::getPool(const std::string &Service) {
  std::unique_ptr<ServicePool> &Pool = Pools_[Service];
  if (!Pool) {
    Pool = std::make_unique<ServicePool>(Service, ShiftGate_, Loop_);
    applyDivisionSettings(*Pool);
  }
  return *Pool;
}

void RequestRouter::setRouting(RoutingConfigPtr Config) {
  Config_ = std::move(Config);
  Routes_ = RouteTable(*Config_);
  Workspaces_.setRouting(Config_);
  std::erase_if(Pickers_, [this](const auto &Entry) {
    return std::none_of(
        Config_->Routes_.begin(), Config_->Routes_.end(),
        [&](const RouteConfig &Route) { return Route.Name_ == Entry.first; });
  });
  refuseWithdrawnKeys();
  updateHomes();
}

void RequestRouter::setServers(const ServerRegistry &Registry,
                               const MemberList &Members) {
  Locator_.setMembers(Members, getNow());
  std::map<std::string, std::vector<BackendServerConfig>> ByService;
  for (auto &[Name, Pool] : Pools_) {
    ByService[Name];
    Pool->Servers_.clear();
  }
  for (const UsableServer &Server : Registry.getUsableServers()) {
    const ServerRecord &Record = Server.Record_;
    ByService[Record.Service_].push_back(
        Locator_.makeBalancedServer(Server, Config_.get()));
    getPool(Record.Service_).Servers_[Record.InstanceId_] = Record;
  }
  for (auto &[Name, Servers] : ByService) {
    ServicePool &Pool = getPool(Name);
    Pool.Balancer_.setServers(Servers);
    Pool.RetryBudget_.setLimits({Settings_.RepeatRatio_, Settings_.RepeatSlack_,
                                 Settings_.RepeatWindow_},
                                Locator_.getVmCount());
    scheduleStep(Pool);
  }
}

void RequestRouter::reject(const IngressExchangePtr &Exchange,
                           const std::string &Id, ResultCode Code,
                           const ClientKey &Key) {
  const RequestMessage &Message = Exchange->getMessage();
  ConfigCurrency Currency = getCurrency();
  Metrics_.countRequest("", Code);
  Log_.write(Exchange->getArrivalTime(), "reject",
             {{"request", Id},
              {"code", static_cast<unsigned>(Code)},
              {"result", getName(Code)},
              {"host", toString(Message[http::field::host])},
              {"key", Key.Fingerprint_},
              {"version", Config_ ? Config_->Version_ : 0},
              {"newest", Currency.Newest_},
              {"ageMs", Currency.Age_}});
  auto Status = static_cast<unsigned>(getHttpStatus(Code));
  ResponseMessage Response = makeResponse(Status, "");
  if (isNotRunStatus(Status))
    platform::setRetryAfter(Response, RejectRetryAfter);
  Exchange->respond(Response);
}

std::string RequestRouter::pickService(const RouteConfig &Route) {
  if (Route.TrafficSplit_.size() == 1)
    return Route.TrafficSplit_[0].Service_;
  std::vector<double> Weights;
  for (const WeightedService &Part : Route.TrafficSplit_)
    Weights.push_back(Part.Weight_);
  return Route.TrafficSplit_[Pickers_[Route.Name_].pick(Weights)].Service_;
}

std::unique_ptr<ClientFlow> RequestRouter::makeFlow(
    const IngressExchangePtr &Exchange, const RouteConfig &Route,
    const WorkspaceConfig *Workspace, const platform::ClientRequestInfo &Info) {
  auto Flow = std::make_unique<ClientFlow>();
  Flow->Index_ = FlowIndex(NextFlow_++);
  Flow->Exchange_ = Exchange;
  Flow->Config_ = Config_;
  Flow->Route_ = &Route;
  Flow->Workspace_ = Workspace;
  Flow->Pool_ = &getPool(pickService(Route));
  Flow->Id_ = Info.AttemptId_;
  Time Now = Exchange->getArrivalTime();
  WaitingRequest &Request = Flow->Request_;
  Request.Flow_ = Flow->Index_;
  Request.Route_ = absl::HashOf(Route.Name_, Flow->Pool_->Name_);
  Request.Key_ = Route.HasAffinity_ ? hashKey(Info.AffinityKey_) : 0;
  Request.Arrived_ = Now;
  Request.ObjectiveAt_ = Now + Route.LatencyObjective_;
  Request.Deadline_ =
      Now + std::min(Route.Timeout_, Info.Timeout_.value_or(Route.Timeout_));
  Request.Weight_ = getPriorityWeight(getPriority(Route, Workspace));
  Request.HomeRegions_ = getAllowedRegions(Route, Workspace).Regions_;
  return Flow;
}

void RequestRouter::handleRequest(const IngressExchangePtr &Exchange) {
  RequestMessage &Message = Exchange->getMessage();
  platform::ClientRequestInfo Info = platform::decodeClientRequest(Message);
  if (!Config_) {
    reject(Exchange, Info.AttemptId_, ResultCode::NotReady);
    return;
  }
  if (Info.AttemptId_.empty()) {
    reject(Exchange, "", ResultCode::RequestMalformed);
    return;
  }
  ConfigCurrency Currency = getCurrency();
  if (Currency.IsOutdated_) {
    reject(Exchange, Info.AttemptId_, ResultCode::ConfigOutdated);
    return;
  }
  std::optional<size_t> Index = Routes_.find(
      toString(Message[http::field::host]), toString(Message.target()));
  if (!Index) {
    reject(Exchange, Info.AttemptId_,
           Currency.IsCurrent_ ? ResultCode::RouteUnknown
                               : ResultCode::RouteUnverified);
    return;
  }
  const RouteConfig &Route = Config_->Routes_[*Index];
  ClientKey Key;
  if (Workspaces_.isActive())
    Key = platform::takeClientKey(Message);
  AccessDecision Access = Workspaces_.check(Route, Key, Currency.IsCurrent_);
  if (Access.Code_ == ResultCode::Ok) {
    AllowedRegions Allowed = getAllowedRegions(Route, Access.Workspace_);
    if (Allowed.IsEmpty_)
      Access.Code_ = ResultCode::HomesDisjoint;
    else if (!Allowed.Regions_.empty() && !Currency.AreHomesConfirmed_)
      Access.Code_ = ResultCode::HomesUnconfirmed;
  }
  if (Access.Code_ != ResultCode::Ok) {
    reject(Exchange, Info.AttemptId_, Access.Code_, Key);
    return;
  }
  std::unique_ptr<ClientFlow> Flow =
      makeFlow(Exchange, Route, Access.Workspace_, Info);
  Flow->Key_ = std::move(Key);
  if (Flow->Request_.Deadline_ > ShutdownDeadline_) {
    reject(Exchange, Info.AttemptId_, ResultCode::Stopping);
    return;
  }
  eraseHopByHopFields(Message, platform::isPlatformField);
  platform::setWorkspaceName(
      Message, Access.Workspace_ ? Access.Workspace_->Name_ : std::string());
  startDeadlineTimer(*Flow);
  Exchange->setDisconnectHandler(
      [this, At = Flow->Index_] { onClientGone(At); });
  Flow->Pool_->RetryBudget_.recordRequest(Exchange->getArrivalTime());
  ClientFlow &Open = *Flow;
  Flows_[Open.Index_.get()] = std::move(Flow);
  admit(Open);
}

void RequestRouter::startDeadlineTimer(ClientFlow &Flow) {
  Flow.DeadlineTimer_ = std::make_unique<boost::asio::steady_timer>(
      Loop_, Flow.Request_.Deadline_);
  Flow.DeadlineTimer_->async_wait(
      [this, At = Flow.Index_](error_code Cancelled) {
        if (!Cancelled)
          onDeadline(At);
      });
}

void RequestRouter::setShutdownDeadline(Time End) {
  ShutdownDeadline_ = End;
  for (auto &[Index, Flow] : Flows_)
    if (Flow->Request_.Deadline_ > End)
      shortenDeadline(*Flow, End);
}

void RequestRouter::shortenDeadline(ClientFlow &Flow, Time End) {
  Flow.Request_.Deadline_ = End;
  Flow.IsCutByShutdown_ = true;
  startDeadlineTimer(Flow);
  // The balancer has a copy of a queued request.
  if (Flow.IsQueued_ && Flow.Pool_->Balancer_.cancelWaiting(Flow.Index_))
    submit(Flow);
}

void RequestRouter::submit(ClientFlow &Flow) {
  Flow.IsQueued_ = true;
  Flow.Pool_->Balancer_.submit(Flow.Request_);
  scheduleStep(*Flow.Pool_);
}

void RequestRouter::scheduleStep(ServicePool &Pool) {
  if (Pool.IsStepPosted_)
    return;
  // One step handles all events of this iteration of the loop.
  Pool.IsStepPosted_ = true;
  boost::asio::post(Loop_, [this, &Pool] {
    Pool.IsStepPosted_ = false;
    runStep(Pool);
  });
}

void RequestRouter::scheduleTimedStep(ServicePool &Pool) {
  Time Next = Pool.Balancer_.getNextWake(getNow());
  if (Next == Time::max() || Next >= Pool.NextStepAt_)
    return;
  Pool.NextStepAt_ = Next;
  Pool.StepTimer_->expires_at(Next);
  Pool.StepTimer_->async_wait([this, &Pool](error_code Cancelled) {
    if (Cancelled)
      return;
    Pool.NextStepAt_ = Time::max();
    runStep(Pool);
  });
}

void RequestRouter::runStep(ServicePool &Pool) {
  for (const BalancerAction &Action : Pool.Balancer_.step(getNow()))
    std::visit([&](const auto &Each) { performAction(Pool, Each); }, Action);
  scheduleTimedStep(Pool);
}

void RequestRouter::onDeadline(FlowIndex Index) {
  auto Found = Flows_.find(Index.get());
  if (Found == Flows_.end())
    return;
  ClientFlow &Flow = *Found->second;
  bool HasOpenAttempts = !Flow.Attempts_.empty();
  Flow.MayHaveRun_ = Flow.MayHaveRun_ || HasOpenAttempts;
  if (HasOpenAttempts)
    Flow.FailureResponse_.reset();
  if (Flow.IsCutByShutdown_)
    sendFailure(Flow, ResultCode::Stopping, ResultCode::StoppedAfterStart,
                RejectRetryAfter);
  else
    sendFailure(Flow, ResultCode::DeadlineBeforeStart,
                ResultCode::DeadlineAfterStart, FailureRetryAfter);
}

void RequestRouter::onClientGone(FlowIndex Index) {
  auto Found = Flows_.find(Index.get());
  if (Found != Flows_.end())
    closeFlow(*Found->second, ResultCode::ClientGone,
              ServerAttemptOutcome::Withdrawn);
}

void RequestRouter::sendFailure(ClientFlow &Flow, ResultCode IfNotRun,
                                ResultCode IfUnknown, Duration RetryAfter) {
  if (Flow.FailureResponse_) {
    sendResponse(Flow, std::move(*Flow.FailureResponse_));
    return;
  }
  ResultCode Code = Flow.MayHaveRun_ ? IfUnknown : IfNotRun;
  ResponseMessage Response =
      makeResponse(static_cast<unsigned>(getHttpStatus(Code)), "");
  if (!Flow.MayHaveRun_)
    platform::setRetryAfter(Response, RetryAfter);
  Flow.Exchange_->respond(Response);
  closeFlow(Flow, Code, ServerAttemptOutcome::Lost);
}

void RequestRouter::sendResponse(ClientFlow &Flow, ResponseMessage Response) {
  eraseHopByHopFields(Response, platform::isPlatformField);
  SentBytes_ += Response.body().size();
  Flow.Exchange_->respond(Response);
  closeFlow(Flow, ResultCode::Ok, ServerAttemptOutcome::Withdrawn);
}

void RequestRouter::closeFlow(ClientFlow &Flow, ResultCode Code,
                              ServerAttemptOutcome Verdict) {
  Time Now = getNow();
  ServicePool &Pool = *Flow.Pool_;
  Duration Taken = Now - Flow.Request_.Arrived_;
  Metrics_.countRequest(Pool.Name_, Code);
  Metrics_.observeLatency(Pool.Name_, Taken);
  Log_.write(Now, Code == ResultCode::Ok ? "request" : "request-failed",
             {{"request", Flow.Id_},
              {"route", Flow.Route_->Name_},
              {"service", Pool.Name_},
              {"code", static_cast<unsigned>(Code)},
              {"result", getName(Code)},
              {"server", Flow.LastServer_},
              {"servers", Flow.ServerCount_},
              {"queuedMs", Flow.QueueTime_},
              {"takenMs", Taken},
              {"objectiveMs", Flow.Route_->LatencyObjective_},
              {"workspace", Flow.getWorkspaceName()},
              {"version", Flow.Config_->Version_}});
  giveBackQuota(Flow, Code);
  if (Flow.IsQueued_)
    Pool.Balancer_.cancelWaiting(Flow.Index_);
  for (InFlightAttempt &Attempt : Flow.Attempts_) {
    Attempt.Handle_.cancel();
    EndedAttempt Ended;
    Ended.Flow_ = Flow.Index_;
    Ended.Server_ = Attempt.Start_.Server_;
    Ended.Outcome_ = Verdict;
    Ended.Ran_ = Now - Attempt.SentAt_;
    Pool.Balancer_.endAttempt(Ended, Now);
  }
  if (!Flow.Attempts_.empty())
    scheduleStep(Pool);
  Flows_.erase(Flow.Index_.get());
}

} // namespace cranberry
