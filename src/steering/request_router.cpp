/// \file request_router.cpp Takes clients' requests to backend servers.
#include "steering/request_router_base.h"

#include "core/duration_func.h"
#include "core/overload_type.h"
#include "net/http_message_func.h"

#include <absl/hash/hash.h>

#include <algorithm>

namespace http = boost::beast::http;
using boost::system::error_code;

namespace cranberry {

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;

/// A client that comes before the first configuration is to try again.
constexpr Duration StartRetryAfter = milliseconds(300);

/// After a server could not take a request, another may.
constexpr Duration FailureRetryAfter = milliseconds(200);

/// Longest idle time of a connection that carries a request which may not run
/// twice. A server that closes it meanwhile leaves the outcome unknown.
constexpr Duration MaxIdleAtMostOnce = seconds(2);
constexpr Duration MaxIdleIdempotent = seconds(10);

/// A connection is given up after this many round trips and a fixed time.
constexpr int ConnectRoundTrips = 3;
constexpr Duration ConnectSlack = milliseconds(100);

/// Round trips before any was measured, by proximity.
constexpr Duration FirstRoundTrips[] = {milliseconds(1), milliseconds(4),
                                        milliseconds(80)};

/// A connection that took long says little; one that was fast is the way.
constexpr double RoundTripGain = 0.05;

/// Share of the bound on moves between regions that one VM uses; the rest is
/// for chance, as each sees a part of the region's requests.
constexpr double ShiftShare = 0.93;

/// A repeat is made if this share of the expected time is left.
constexpr double RepeatTimeShare = 0.8;

uint64_t hashKey(const std::string &Key) {
  if (Key.empty())
    return 0;
  uint64_t Hash = 0xcbf29ce484222325ULL; // FNV-1a: the same on every VM.
  for (unsigned char C : Key)
    Hash = (Hash ^ C) * 0x100000001b3ULL;
  return Hash == 0 ? 1 : Hash;
}

std::string toString(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Worth of an answer in time: operators rank by priority, and users told
/// that the first rank is worth three times the last.
double getWeight(unsigned Priority) {
  constexpr unsigned Ranks = 3;
  return Priority >= Ranks ? 1 : Ranks - Priority;
}

} // namespace

RequestRouter::RequestRouter(boost::asio::io_context &Loop,
                             const Settings &Settings, EventLog &Log)
    : Loop_(Loop), Settings_(Settings), Log_(Log), Connections_(Loop),
      Gate_(ShiftShare * Settings.MaxRegionShift_) {}

RequestRouter::ServicePool &RequestRouter::getPool(const std::string &Service) {
  std::unique_ptr<ServicePool> &Pool = Pools_[Service];
  if (!Pool) {
    Pool = std::make_unique<ServicePool>(Gate_);
    Pool->Name_ = Service;
    Pool->Wake_ = std::make_unique<boost::asio::steady_timer>(Loop_);
  }
  return *Pool;
}

void RequestRouter::setRouting(RoutingConfigPtr Config) {
  Config_ = std::move(Config);
  Routes_ = RouteTable(*Config_);
  std::erase_if(Pickers_, [this](const auto &Entry) {
    return std::none_of(
        Config_->Routes_.begin(), Config_->Routes_.end(),
        [&](const RouteConfig &Route) { return Route.Name_ == Entry.first; });
  });
}

const std::string &RequestRouter::getRegion(const std::string &Zone) const {
  static const std::string None;
  auto Found = Settings_.Zones_.find(Zone);
  return Found == Settings_.Zones_.end() ? None : Found->second;
}

Proximity RequestRouter::getProximity(const std::string &Zone) const {
  if (Zone == Settings_.Zone_)
    return Proximity::SameZone;
  return getRegion(Zone) == Settings_.Region_ ? Proximity::SameRegion
                                              : Proximity::OtherRegion;
}

Duration RequestRouter::getRoundTrip(Proximity Where,
                                     const std::string &Region) const {
  Duration Default = FirstRoundTrips[static_cast<size_t>(Where)];
  if (Where != Proximity::OtherRegion)
    return Default;
  auto Found = RoundTrips_.find(Region);
  return Found == RoundTrips_.end() ? Default : Found->second;
}

void RequestRouter::noteConnect(const ServerRecord &Server, Duration Took) {
  if (getProximity(Server.Zone_) != Proximity::OtherRegion)
    return;
  auto [Found, IsNew] = RoundTrips_.try_emplace(getRegion(Server.Zone_), Took);
  Duration &Known = Found->second;
  if (!IsNew)
    Known = std::min(Took, Known + scale(Took - Known, RoundTripGain));
}

BalancedServer RequestRouter::makeBalanced(const UsableServer &Server,
                                           const MemberList &Members) const {
  const ServerRecord &Record = Server.Record_;
  BalancedServer Result;
  Result.Id_ = Record.Id_;
  Result.Zone_ = Record.Zone_;
  Result.Region_ = getRegion(Record.Zone_);
  Result.Proximity_ = getProximity(Record.Zone_);
  Result.RoundTrip_ = getRoundTrip(Result.Proximity_, Result.Region_);
  Result.Slots_ = Record.Slots_;
  Result.ColdUntil_ = Server.ColdUntil_;
  Result.BornMs_ = Record.BornMs_;
  // A cold server is warmed up by the VMs of its zone alone; by those of its
  // region, then by all, if the zone has none.
  unsigned InZone = 0;
  unsigned InRegion = 0;
  for (const Member &Vm : Members) {
    InZone += Vm.Zone_ == Record.Zone_ ? 1 : 0;
    InRegion += Vm.Region_ == Result.Region_ ? 1 : 0;
  }
  bool IsOurs = InZone > 0     ? Result.Proximity_ == Proximity::SameZone
                : InRegion > 0 ? Result.Proximity_ != Proximity::OtherRegion
                               : true;
  size_t Sharing = InZone > 0     ? InZone
                   : InRegion > 0 ? InRegion
                                  : std::max<size_t>(1, Members.size());
  double Rate = 0;
  if (Config_)
    for (const BackendServiceConfig &Service : Config_->Services_)
      if (Service.Name_ == Record.Service_)
        Rate = Service.ColdRate_;
  if (IsOurs)
    Result.ColdRate_ =
        Rate * Settings_.ColdBurstFactor_ / static_cast<double>(Sharing);
  return Result;
}

void RequestRouter::setServers(const ServerRegistry &Registry,
                               const MemberList &Members) {
  std::map<std::string, std::vector<BalancedServer>> ByService;
  for (auto &[Name, Pool] : Pools_) {
    ByService[Name];
    Pool->Servers_.clear();
  }
  for (const UsableServer &Server : Registry.getUsable()) {
    const ServerRecord &Record = Server.Record_;
    ByService[Record.Service_].push_back(makeBalanced(Server, Members));
    getPool(Record.Service_).Servers_[Record.Id_] = Record;
  }
  Time Now = getNow();
  for (auto &[Name, Servers] : ByService) {
    ServicePool &Pool = getPool(Name);
    Pool.Balancer_.setServers(Servers, Now);
    Pool.Budget_.setLimits({Settings_.RepeatRatio_, Settings_.RepeatSlack_,
                            Settings_.RepeatWindow_},
                           static_cast<unsigned>(Members.size()));
    scheduleStep(Pool);
  }
}

void RequestRouter::answerError(const IngressExchangePtr &Exchange,
                                unsigned Status) {
  ++Stats_.Unrouted_;
  ResponseMessage Response = makeResponse(Status, "");
  if (Status == Unavailable)
    platform::encodeRetryAfter(Response, StartRetryAfter);
  Exchange->answer(Response);
}

void RequestRouter::handle(const IngressExchangePtr &Exchange) {
  RequestMessage &Message = Exchange->getMessage();
  if (!Config_) {
    answerError(Exchange, Unavailable);
    return;
  }
  platform::ClientRequestInfo Info = platform::decodeClientRequest(Message);
  if (Info.AttemptId_.empty()) {
    answerError(Exchange, BadRequest);
    return;
  }
  std::optional<size_t> Index = Routes_.find(
      toString(Message[http::field::host]), toString(Message.target()));
  if (!Index) {
    Log_.write(Exchange->getArrived(), "no-route",
               {{"request", Info.AttemptId_},
                {"host", toString(Message[http::field::host])},
                {"version", Config_->Version_}});
    answerError(Exchange, NotFound);
    return;
  }
  ++Stats_.Requests_;
  auto Owned = std::make_unique<Flow>();
  Flow &Open = *Owned;
  Open.Index_ = FlowIndex(NextFlow_++);
  Open.Exchange_ = Exchange;
  Open.Config_ = Config_;
  Open.Route_ = &Config_->Routes_[*Index];
  const RouteConfig &Route = *Open.Route_;
  std::vector<double> Weights;
  for (const RoutePart &Part : Route.Parts_)
    Weights.push_back(Part.Weight_);
  size_t Part = Weights.size() == 1 ? 0 : Pickers_[Route.Name_].pick(Weights);
  Open.Pool_ = &getPool(Route.Parts_[Part].Service_);
  Open.Id_ = Info.AttemptId_;
  Time Now = Exchange->getArrived();
  Duration Limit =
      std::min(Route.Timeout_, Info.Patience_.value_or(Route.Timeout_));
  WaitingRequest &Request = Open.Request_;
  Request.Flow_ = Open.Index_;
  Request.Route_ = absl::HashOf(Route.Name_, Open.Pool_->Name_);
  Request.Key_ = Route.HasAffinity_ ? hashKey(Info.AffinityKey_) : 0;
  Request.Arrived_ = Now;
  Request.ObjectiveAt_ = Now + Route.Objective_;
  Request.Deadline_ = Now + Limit;
  Request.Weight_ = getWeight(Route.Priority_);
  Request.Homes_ = Route.HomeRegions_;
  eraseHopByHopFields(Message);
  if (Request.Deadline_ > End_) {
    answerError(Exchange, Unavailable);
    return;
  }
  Open.Timer_ =
      std::make_unique<boost::asio::steady_timer>(Loop_, Request.Deadline_);
  Open.Timer_->async_wait([this, At = Open.Index_](error_code Cancelled) {
    if (!Cancelled)
      expire(At);
  });
  Exchange->setOnGone([this, At = Open.Index_] { abandon(At); });
  Open.Pool_->Budget_.noteRequest(Now);
  Flows_[Open.Index_.get()] = std::move(Owned);
  submit(Open);
}

void RequestRouter::submit(Flow &Open) {
  Open.IsWaiting_ = true;
  Open.Pool_->Balancer_.submit(Open.Request_);
  scheduleStep(*Open.Pool_);
}

void RequestRouter::scheduleStep(ServicePool &Pool) {
  if (Pool.IsStepPosted_)
    return;
  // One step takes all that has come in this turn of the loop.
  Pool.IsStepPosted_ = true;
  boost::asio::post(Loop_, [this, &Pool] {
    Pool.IsStepPosted_ = false;
    step(Pool);
  });
}

void RequestRouter::scheduleWake(ServicePool &Pool) {
  Time Next = Pool.Balancer_.getNextWake(getNow());
  if (Next == Time::max() || Next >= Pool.WakeAt_)
    return;
  Pool.WakeAt_ = Next;
  Pool.Wake_->expires_at(Next);
  Pool.Wake_->async_wait([this, &Pool](error_code Cancelled) {
    if (Cancelled)
      return;
    Pool.WakeAt_ = Time::max();
    step(Pool);
  });
}

void RequestRouter::step(ServicePool &Pool) {
  for (const BalancerAction &Action : Pool.Balancer_.step(getNow()))
    std::visit([&](const auto &Each) { perform(Pool, Each); }, Action);
  scheduleWake(Pool);
}

AttemptSpec RequestRouter::makeSpec(const Flow &Open, const std::string &Server,
                                    Proximity Where) const {
  RequestMessage Message = Open.Exchange_->getMessage();
  platform::encodeAttempt(Message, Open.Request_.Deadline_ - getNow(), Server);
  AttemptSpec Spec;
  Spec.Bytes_ = serializeRequest(Message);
  Spec.IsHead_ = Message.method() == http::verb::head;
  Spec.Matches_ = [Id = Open.Id_](const ResponseMessage &Response) {
    platform::ServerResponseInfo Info =
        platform::decodeServerResponse(Response);
    if (Info.AttemptId_ == Id)
      return ResponseMatch::Ours;
    if (Info.AttemptId_.empty())
      return Info.IsNotExecuted_ ? ResponseMatch::Ours : ResponseMatch::Invalid;
    return ResponseMatch::Foreign;
  };
  Duration RoundTrip = FirstRoundTrips[static_cast<size_t>(Where)];
  Spec.ConnectTimeout_ = RoundTrip * ConnectRoundTrips + ConnectSlack;
  Spec.MaxIdle_ =
      Open.Route_->IsIdempotent_ ? MaxIdleIdempotent : MaxIdleAtMostOnce;
  return Spec;
}

void RequestRouter::perform(ServicePool &Pool, const StartAttempt &Start) {
  auto Found = Flows_.find(Start.Flow_.get());
  auto Server = Pool.Servers_.find(Start.Server_);
  if (Found == Flows_.end() || Server == Pool.Servers_.end())
    return;
  Flow &Open = *Found->second;
  Open.IsWaiting_ = false;
  std::optional<boost::asio::ip::tcp::endpoint> Endpoint =
      parseEndpoint(Server->second.Address_);
  Time Now = getNow();
  ++Stats_.Attempts_;
  Open.Attempts_.push_back({Start.Server_, Now, {}, Open.Arrivals_ > 0});
  Open.Request_.Tried_.push_back(Start.Server_);
  Open.Request_.IsOffered_ = true;
  ++Open.Arrivals_;
  if (!Endpoint) {
    boost::asio::post(Loop_, [this, At = Open.Index_, Id = Start.Server_] {
      endAttempt(At, Id, {AttemptEnd::ConnectReset, {}, false, {}});
    });
    return;
  }
  // An instance's connections are its own: its address may be used again.
  Open.Attempts_.back().Handle_ = Connections_.send(
      Start.Server_, *Endpoint, makeSpec(Open, Start.Server_, Start.Proximity_),
      [this, At = Open.Index_, Id = Start.Server_](AttemptResult Result) {
        endAttempt(At, Id, std::move(Result));
      });
}

void RequestRouter::perform(ServicePool &Pool, const RefuseRequest &Refuse) {
  auto Found = Flows_.find(Refuse.Flow_.get());
  if (Found == Flows_.end())
    return;
  Flow &Open = *Found->second;
  Open.IsWaiting_ = false;
  Time Now = getNow();
  Log_.write(Now, "refuse",
             {{"request", Open.Id_},
              {"route", Open.Route_->Name_},
              {"service", Pool.Name_},
              {"cause", RefusalCauseNames[static_cast<size_t>(Refuse.Cause_)]},
              {"queue", Refuse.Queue_},
              {"inFlight", Pool.Balancer_.getInFlight()},
              {"servers", static_cast<uint64_t>(Pool.Servers_.size())},
              {"waitedMs", Now - Open.Request_.Arrived_},
              {"version", Open.Config_->Version_}});
  // A repeat that finds no room leaves the request as its attempts left it.
  if (!Open.Attempts_.empty())
    return;
  if (Open.Failure_)
    deliver(Open, std::move(*Open.Failure_));
  else if (Open.MayHaveRun_)
    fail(Open, BadGateway);
  else
    refuse(Open, Refuse.RetryAfter_);
}

void RequestRouter::perform(ServicePool &Pool, const SuspectAttempt &Suspect) {
  auto Found = Flows_.find(Suspect.Flow_.get());
  if (Found == Flows_.end())
    return;
  Flow &Open = *Found->second;
  Log_.write(getNow(), "suspect",
             {{"request", Open.Id_},
              {"service", Pool.Name_},
              {"server", Suspect.Server_}});
  if (!Open.Route_->IsIdempotent_ || Open.IsWaiting_ ||
      Open.Attempts_.size() > 1)
    return;
  tryRepeat(Open, AttemptOutcome::Unknown);
}

void RequestRouter::noteResponse(Flow &Open, const OpenAttempt &Attempt,
                                 const AttemptResult &Result,
                                 const platform::ServerResponseInfo &Info,
                                 AttemptOutcome Outcome) {
  Time Now = getNow();
  Duration Ran = Now - Attempt.Started_;
  EndedAttempt Ended;
  Ended.Flow_ = Open.Index_;
  Ended.Route_ = Open.Request_.Route_;
  Ended.Objective_ = Open.Route_->Objective_;
  Ended.Server_ = Attempt.Server_;
  Ended.Verdict_ = getVerdict(Outcome);
  Ended.Ran_ = Ran;
  if (Result.End_ == AttemptEnd::Answered)
    Ended.Load_ = Info.Load_;
  Open.Pool_->Balancer_.endAttempt(Ended, Now);
  if (Info.ColdLeft_ && *Info.ColdLeft_ > Duration(0))
    Open.Pool_->Balancer_.noteCold(Attempt.Server_, Now + *Info.ColdLeft_);
  auto Server = Open.Pool_->Servers_.find(Attempt.Server_);
  if (Result.Connect_ && Server != Open.Pool_->Servers_.end())
    noteConnect(Server->second, *Result.Connect_);
  if (Outcome == AttemptOutcome::Deliver)
    return;
  if (Outcome == AttemptOutcome::NotSent || Result.End_ == AttemptEnd::Broken)
    Gate_.noteFailure(Now);
  Log_.write(Now, "attempt",
             {{"request", Open.Id_},
              {"route", Open.Route_->Name_},
              {"service", Open.Pool_->Name_},
              {"server", Attempt.Server_},
              {"end", AttemptEndNames[static_cast<size_t>(Result.End_)]},
              {"status", Result.Response_.result_int()},
              {"outcome", AttemptOutcomeNames[static_cast<size_t>(Outcome)]},
              {"ranMs", Ran},
              {"reused", Result.OnReused_ ? 1 : 0},
              {"attempt", Open.Arrivals_},
              {"budgetLeft", Open.Pool_->Budget_.getLeft(Now)}});
}

void RequestRouter::endAttempt(FlowIndex Index, const std::string &Server,
                               AttemptResult Result) {
  auto Found = Flows_.find(Index.get());
  if (Found == Flows_.end())
    return;
  Flow &Open = *Found->second;
  auto At =
      std::find_if(Open.Attempts_.begin(), Open.Attempts_.end(),
                   [&](const OpenAttempt &A) { return A.Server_ == Server; });
  if (At == Open.Attempts_.end())
    return;
  OpenAttempt Attempt = std::move(*At);
  Open.Attempts_.erase(At);
  platform::ServerResponseInfo Info =
      platform::decodeServerResponse(Result.Response_);
  AttemptOutcome Outcome = classifyAttempt(Result, Info);
  noteResponse(Open, Attempt, Result, Info, Outcome);
  constexpr unsigned Misdirected = 421;
  if (Result.End_ == AttemptEnd::Answered &&
      Result.Response_.result_int() == Misdirected && OnMisdirected_)
    OnMisdirected_(Server);
  scheduleStep(*Open.Pool_);
  decideEnd(Open, Outcome, std::move(Result));
}

bool RequestRouter::tryRepeat(Flow &Open, AttemptOutcome Outcome) {
  Time Now = getNow();
  Duration Work =
      Open.Pool_->Balancer_.getHistory()
          .getEstimate(Open.Request_.Route_, Open.Route_->Objective_)
          .Fast_;
  if (Open.Request_.Deadline_ - Now < scale(Work, RepeatTimeShare))
    return false;
  if (Outcome == AttemptOutcome::NotSent) {
    // It reached no server, so it is no repeat.
    --Open.Arrivals_;
  } else {
    if (Open.Arrivals_ >= Open.Route_->MaxServers_ ||
        !Open.Pool_->Budget_.tryTake(Now))
      return false;
    ++Stats_.Repeats_;
  }
  submit(Open);
  return true;
}

void RequestRouter::decideEnd(Flow &Open, AttemptOutcome Outcome,
                              AttemptResult Result) {
  bool IsIdempotent = Open.Route_->IsIdempotent_;
  bool MayRepeat = false;
  switch (Outcome) {
  case AttemptOutcome::Deliver:
    deliver(Open, std::move(Result.Response_));
    return;
  case AttemptOutcome::ServerFailed:
    MayRepeat = IsIdempotent;
    Open.MayHaveRun_ = true;
    if (!isPromiseOfNotRun(Result.Response_.result_int()))
      Open.Failure_ =
          std::make_unique<ResponseMessage>(std::move(Result.Response_));
    break;
  case AttemptOutcome::NotSent:
  case AttemptOutcome::NotRun:
    MayRepeat = !Open.MayHaveRun_ || IsIdempotent;
    break;
  case AttemptOutcome::Unknown:
    MayRepeat = IsIdempotent;
    Open.MayHaveRun_ = true;
    break;
  }
  // Another attempt, or a place in the queue, may still bring the answer.
  if (!Open.Attempts_.empty() || Open.IsWaiting_)
    return;
  if (MayRepeat && tryRepeat(Open, Outcome))
    return;
  if (Open.Failure_)
    deliver(Open, std::move(*Open.Failure_));
  else if (Open.MayHaveRun_)
    fail(Open, BadGateway);
  else
    refuse(Open, FailureRetryAfter);
}

void RequestRouter::expire(FlowIndex Index) {
  auto Found = Flows_.find(Index.get());
  if (Found == Flows_.end())
    return;
  Flow &Open = *Found->second;
  ++Stats_.TimedOut_;
  Log_.write(
      getNow(), "timeout",
      {{"request", Open.Id_},
       {"route", Open.Route_->Name_},
       {"service", Open.Pool_->Name_},
       {"server", Open.Attempts_.empty() ? "" : Open.Attempts_.back().Server_},
       {"attempt", Open.Arrivals_},
       {"waiting", Open.IsWaiting_ ? 1 : 0}});
  if (Open.Failure_ && Open.Attempts_.empty())
    deliver(Open, std::move(*Open.Failure_));
  else if (Open.MayHaveRun_ || !Open.Attempts_.empty())
    fail(Open, GatewayTimeout);
  else
    refuse(Open, FailureRetryAfter);
}

void RequestRouter::abandon(FlowIndex Index) {
  auto Found = Flows_.find(Index.get());
  if (Found == Flows_.end())
    return;
  ++Stats_.Gone_;
  close(*Found->second, ServerVerdict::Withdrawn);
}

void RequestRouter::refuse(Flow &Open, Duration RetryAfter) {
  ++Stats_.Refused_;
  ResponseMessage Response = makeResponse(Unavailable, "");
  platform::encodeRetryAfter(Response, RetryAfter);
  Open.Exchange_->answer(Response);
  close(Open, ServerVerdict::Withdrawn);
}

void RequestRouter::fail(Flow &Open, unsigned Status) {
  ++Stats_.Unknown_;
  Open.Exchange_->answer(makeResponse(Status, ""));
  close(Open, ServerVerdict::Lost);
}

void RequestRouter::deliver(Flow &Open, ResponseMessage Response) {
  ++Stats_.Delivered_;
  eraseHopByHopFields(Response);
  Open.Exchange_->answer(Response);
  close(Open, ServerVerdict::Withdrawn);
}

void RequestRouter::close(Flow &Open, ServerVerdict Verdict) {
  Time Now = getNow();
  ServicePool &Pool = *Open.Pool_;
  if (Open.IsWaiting_)
    Pool.Balancer_.withdraw(Open.Index_);
  for (OpenAttempt &Attempt : Open.Attempts_) {
    Attempt.Handle_.cancel();
    EndedAttempt Ended;
    Ended.Flow_ = Open.Index_;
    Ended.Server_ = Attempt.Server_;
    Ended.Verdict_ = Verdict;
    Ended.Ran_ = Now - Attempt.Started_;
    Pool.Balancer_.endAttempt(Ended, Now);
  }
  if (!Open.Attempts_.empty())
    scheduleStep(Pool);
  Flows_.erase(Open.Index_.get());
}

} // namespace cranberry
