/// \file service_balancer.cpp Assigns requests to backend servers.
#include "request/service_balancer_base.h"

#include "core/duration_func.h"
#include "request/division_cost_func.h"

#include <algorithm>
#include <set>

namespace cranberry {

namespace {

/// Cost of evicting another object from a full cache, as a share of the time
/// that a cache hit saves.
constexpr double EvictionCostShare = 0.7;

/// Cost per rank of caching an object at a further preferred server, as a share
/// of the time that a cache hit saves: each copy takes cache space. Further
/// servers are used when the first one has a long wait.
constexpr double CopyCostShare = 1;

/// The same for an object that is cached there already. Its requests return to
/// the first server as soon as that has the object.
constexpr double WarmCopyCostShare = 0.1;

/// One in this many requests that would bypass an object's first server in this
/// region goes there to warm its cache. Otherwise servers that joined or
/// recovered would get no requests.
constexpr unsigned ReturnInterval = 12;

/// Weight of a new sample in the cache hit ratio.
constexpr double HitRatioGain = 0.02;

/// Service time of a cold server relative to a warm one.
constexpr double ColdServerFactor = 2;

/// Value of a response after the objective relative to one within it.
constexpr double LateValueShare = 0.2;

/// Share of the latency objective after which a request that can't meet it is
/// refused.
constexpr double MaxLateWaitShare = 0.4;

/// Range of the retry delay in a refusal.
constexpr Duration MinRetryAfter = milliseconds(100);
constexpr Duration MaxRetryAfter = seconds(1);

/// The same if no server accepts requests before.
constexpr Duration MaxBackoffRetryAfter = seconds(10);

/// Interval of step() while requests are queued, as estimates change with time.
constexpr Duration QueuePollInterval = milliseconds(10);

/// Interval of the check for silent servers while attempts are in flight.
constexpr Duration SilenceCheckInterval = milliseconds(100);

bool contains(const std::vector<std::string> &List, const std::string &Text) {
  return std::find(List.begin(), List.end(), Text) != List.end();
}

bool canUse(const WaitingRequest &Request, const BackendServerConfig &Server) {
  return (Request.HomeRegions_.empty() ||
          contains(Request.HomeRegions_, Server.Region_)) &&
         !contains(Request.ExcludedServers_, Server.Id_);
}

} // namespace

void ServiceBalancer::setServers(
    const std::vector<BackendServerConfig> &Servers) {
  std::set<std::string> Listed;
  Usable_.clear();
  for (const BackendServerConfig &Server : Servers) {
    Listed.insert(Server.Id_);
    std::unique_ptr<ServerState> &State = Servers_[Server.Id_];
    if (State)
      State->setConfig(Server);
    else
      State = std::make_unique<ServerState>(Server);
    Usable_.push_back(State.get());
  }
  Placement_.setServers(Usable_);
  Divider_.setServers(Servers);
  Unlisted_.clear();
  for (const auto &[Id, State] : Servers_)
    if (!Listed.count(Id))
      Unlisted_.push_back(Id);
  NoServerUntil_ = Time();
}

void ServiceBalancer::removeUnlisted(Time Now) {
  std::erase_if(Unlisted_, [&](const std::string &Id) {
    auto Found = Servers_.find(Id);
    // A server that is listed again must still get no requests if it wants
    // none.
    if (Found->second->getInFlight() > 0 || Found->second->wantsNoRequests(Now))
      return false;
    Servers_.erase(Found);
    return true;
  });
}

std::vector<WaitingRequest>::iterator
ServiceBalancer::findWaiting(FlowIndex Flow) {
  return std::find_if(
      Waiting_.begin(), Waiting_.end(),
      [Flow](const WaitingRequest &R) { return R.Flow_ == Flow; });
}

bool ServiceBalancer::cancelWaiting(FlowIndex Flow) {
  auto Found = findWaiting(Flow);
  if (Found == Waiting_.end())
    return false;
  Waiting_.erase(Found);
  return true;
}

bool ServiceBalancer::setHomeRegions(FlowIndex Flow,
                                     std::vector<std::string> Regions) {
  auto Found = findWaiting(Flow);
  if (Found == Waiting_.end())
    return false;
  Found->HomeRegions_ = std::move(Regions);
  return true;
}

void ServiceBalancer::endAttempt(const EndedAttempt &Ended, Time Now) {
  auto Found = Servers_.find(Ended.Server_);
  if (Found == Servers_.end())
    return;
  ServiceTimeEstimate Work =
      History_.getEstimate(Ended.Route_, Ended.Objective_);
  std::optional<ServiceTimeSample> Sample =
      Found->second->recordEnd(Ended, Work, Now);
  if (!Sample)
    return;
  if (Sample->Key_ != 0 && Sample->PreferenceRank_ == 0 &&
      Sample->CacheStateAtStart_ == CacheState::Unknown)
    FirstServerHitRatio_ +=
        ((Work.isCloserToHit(Sample->Ran_) ? 1 : 0) - FirstServerHitRatio_) *
        HitRatioGain;
  History_.record(Ended.Route_, Sample->Ran_, Sample->Key_ != 0,
                  Ended.Objective_);
}

void ServiceBalancer::extendColdPhase(const std::string &Server, Time Until) {
  auto Found = Servers_.find(Server);
  if (Found != Servers_.end())
    Found->second->extendColdPhase(Until);
}

ServiceTimeEstimate
ServiceBalancer::getServiceTime(const WaitingRequest &Request) const {
  return History_.getEstimate(Request.Route_,
                              Request.ObjectiveAt_ - Request.Arrived_);
}

double ServiceBalancer::getPriority(const WaitingRequest &Request,
                                    Time Now) const {
  Duration Work = getServiceTime(Request).HitTime_;
  bool InTime = Now + Work <= Request.ObjectiveAt_;
  double Value = Request.Weight_ * (InTime ? 1 : LateValueShare);
  return Value * Request.Weight_ * Request.FairFactor_ /
         std::chrono::duration<double>(Work).count();
}

void ServiceBalancer::sortWaiting(Time Now) {
  std::vector<std::pair<double, size_t>> Order;
  Order.reserve(Waiting_.size());
  for (size_t I = 0; I < Waiting_.size(); ++I)
    Order.emplace_back(getPriority(Waiting_[I], Now), I);
  std::stable_sort(
      Order.begin(), Order.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<WaitingRequest> Sorted;
  Sorted.reserve(Waiting_.size());
  for (const auto &[Rank, Index] : Order)
    Sorted.push_back(std::move(Waiting_[Index]));
  Waiting_ = std::move(Sorted);
}

double ServiceBalancer::getHitProbability(const PreferredServer &Where,
                                          uint64_t Key) const {
  if (Key == 0)
    return 0;
  switch (Where.Server_->getCacheState(Key)) {
  case CacheState::Warm:
    return 1;
  case CacheState::Evicted:
    return 0;
  case CacheState::Unknown:
    return Where.Rank_ == 0 ? FirstServerHitRatio_ : 0;
  }
  return 0;
}

ServiceBalancer::Candidate ServiceBalancer::evaluateServer(
    const WaitingRequest &Request, const PreferredServer &Where,
    const ServiceTimeEstimate &Work, unsigned Planned, Time Now) const {
  ServerState &Server = *Where.Server_;
  const BackendServerConfig &Config = Server.getConfig();
  double Factor =
      Server.getSlowness(Now) * (Server.isCold(Now) ? ColdServerFactor : 1);
  double Chance = getHitProbability(Where, Request.Key_);
  Candidate Result;
  Result.Server_ = &Server;
  Result.PreferenceRank_ = Where.Rank_;
  Result.Wait_ = Server.getExpectedWait(Planned, Now);
  Result.RateWait_ = Server.getRateWait(Planned, Now);
  Duration Service = scaleDuration(Work.get(Chance), Factor);
  Result.Finish_ = Result.Wait_ + Config.RoundTrip_ + Service;
  Result.Cost_ = Result.Finish_ + getTransferCost(Config, Where.Division_) +
                 scaleDuration(Service, Server.getRefusalFactor() - 1);
  if (Request.Key_ == 0)
    return Result;
  Duration Saved = Work.MissTime_ - Work.HitTime_;
  if (Chance >= 1) {
    Result.Cost_ += scaleDuration(Saved, WarmCopyCostShare * Where.Rank_);
    return Result;
  }
  if (Server.isObjectCacheFull())
    Result.Cost_ += scaleDuration(Saved, EvictionCostShare);
  Result.Cost_ += scaleDuration(Saved, CopyCostShare * Where.Rank_);
  return Result;
}

bool ServiceBalancer::isCheaper(const Candidate &Next, const Candidate &Known) {
  return !Known.Server_ || Next.Cost_ < Known.Cost_;
}

bool ServiceBalancer::shouldWarmFirstServer(const WaitingRequest &Request,
                                            const Candidate &FirstServer,
                                            const Candidate &Best, Time Now) {
  if (!FirstServer.Server_ || FirstServer.Server_ == Best.Server_ ||
      FirstServer.Wait_ > Duration(0) ||
      Now + FirstServer.Finish_ > Request.ObjectiveAt_ ||
      FirstServer.Server_->getCacheState(Request.Key_) == CacheState::Warm)
    return false;
  return ++BypassedFirstServer_ % ReturnInterval == 0;
}

ServiceBalancer::Choice
ServiceBalancer::evaluateServers(const WaitingRequest &Request,
                                 const std::vector<PreferredServer> &Servers,
                                 const Plan &Planned, Time Now) {
  ServiceTimeEstimate Work = getServiceTime(Request);
  Choice Result;
  const std::string *Region = Divider_.getRegion(Request);
  for (const PreferredServer &Each : Servers) {
    ServerState *Server = Each.Server_;
    const BackendServerConfig &Config = Server->getConfig();
    if (!canUse(Request, Config) || !Server->isAvailable(Now))
      continue;
    bool IsOtherRegion = Config.Proximity_ == Proximity::OtherRegion;
    PreferredServer Where = rankByDivision(Each, Region);
    bool IsDivided = Where.Division_ == DivisionPlace::Assigned;
    auto Found = Planned.find(Server);
    Candidate Next = evaluateServer(
        Request, Where, Work, Found == Planned.end() ? 0 : Found->second, Now);
    if (Duration Cost = Next.Cost_ - Next.RateWait_;
        Cost < Result.WantedCost_) {
      Result.Wanted_ = Server;
      Result.WantedCost_ = Cost;
    }
    if (Request.Key_ != 0 && Where.Rank_ == 0 &&
        (!IsOtherRegion ||
         (IsDivided && ShiftLimiter_.canSendTo(Config.Region_, Now, true))))
      Result.FirstServer_ = Next;
    if (!IsOtherRegion && isCheaper(Next, Result.Best_))
      Result.Best_ = Next;
    if (IsOtherRegion && isCheaper(Next, Result.CheapestOtherRegion_))
      Result.CheapestOtherRegion_ = Next;
    if (IsOtherRegion && isCheaper(Next, Result.BestOtherRegion_) &&
        ShiftLimiter_.canSendTo(Config.Region_, Now, IsDivided))
      Result.BestOtherRegion_ = Next;
    bool IsHarmless =
        Next.Wait_ == Duration(0) && Now + Next.Finish_ <= Request.ObjectiveAt_;
    if (IsOtherRegion && IsHarmless &&
        isCheaper(Next, Result.BestFallingRegion_) &&
        ShiftLimiter_.isFallingTooFast(Config.Region_, Now))
      Result.BestFallingRegion_ = Next;
  }
  return Result;
}

ServiceBalancer::Candidate
ServiceBalancer::chooseServer(const WaitingRequest &Request,
                              const Plan &Planned, Time Now) {
  Choice Found = evaluateServers(Request, Placement_.getServers(Request.Key_),
                                 Planned, Now);
  // The preferred servers may all be away or want no requests.
  if (Found.isEmpty() && Request.Key_ != 0 && Now >= NoServerUntil_) {
    Found = evaluateServers(Request, Placement_.getServers(0), Planned, Now);
    if (Found.isEmpty())
      NoServerUntil_ = Now + QueuePollInterval;
  }
  if (Found.Wanted_ && Found.Wanted_->getRateWait(0, Now) > Duration(0))
    Found.Wanted_->getRateLimiter().recordShortage();
  Candidate &Best = Found.Best_;
  // Without a server in this region the limit does not apply.
  if (!Best.Server_)
    Best = Found.CheapestOtherRegion_;
  else if (Found.BestOtherRegion_.Server_ &&
           isCheaper(Found.BestOtherRegion_, Best))
    Best = Found.BestOtherRegion_;
  else if (Found.BestFallingRegion_.Server_)
    Best = Found.BestFallingRegion_;
  return shouldWarmFirstServer(Request, Found.FirstServer_, Best, Now)
             ? Found.FirstServer_
             : Best;
}

Duration ServiceBalancer::getTimeUntilAvailable(const WaitingRequest &Request,
                                                Time Now) const {
  Time First = Time::max();
  for (const ServerState *Server : Usable_)
    if (canUse(Request, Server->getConfig()))
      First = std::min(First, Server->getBackoffEnd());
  return First == Time::max() ? Duration(0)
                              : std::max(First - Now, Duration(0));
}

bool ServiceBalancer::hasServer(const WaitingRequest &Request) const {
  return std::any_of(Usable_.begin(), Usable_.end(),
                     [&Request](const ServerState *Server) {
                       return canUse(Request, Server->getConfig());
                     });
}

bool ServiceBalancer::hasLostItsTime(const WaitingRequest &Request,
                                     const Candidate &Best, Time Now) {
  // A request for which even its whole time would be too short is started: the
  // estimate may be wrong, and only an attempt can correct it.
  return Now + Best.Finish_ > Request.Deadline_ &&
         Request.Arrived_ + Best.Finish_ <= Request.Deadline_;
}

std::optional<RefuseRequest>
ServiceBalancer::checkRefusal(const WaitingRequest &Request,
                              const Candidate &Best, Time Now) const {
  RefuseRequest Result{Request.Flow_, RefusalCause::NoServer, MinRetryAfter,
                       static_cast<unsigned>(Waiting_.size()), Duration(0)};
  if (!hasServer(Request))
    return Result;
  Result.Cause_ = RefusalCause::NoRoom;
  Duration Wait =
      Best.Server_ ? Best.Wait_ : getTimeUntilAvailable(Request, Now);
  Duration Finish =
      Best.Server_ ? Best.Finish_ : Wait + getServiceTime(Request).HitTime_;
  Result.Predicted_ = Finish;
  Result.RetryAfter_ = std::clamp(
      Wait, MinRetryAfter, Best.Server_ ? MaxRetryAfter : MaxBackoffRetryAfter);
  if (Now + Finish >= Request.Deadline_)
    return Result;
  bool InTime = Now + Finish <= Request.ObjectiveAt_;
  Duration Span = Request.ObjectiveAt_ - Request.Arrived_;
  if (!InTime && Now - Request.Arrived_ > scaleDuration(Span, MaxLateWaitShare))
    return Result;
  return std::nullopt;
}

void ServiceBalancer::startAttempt(const WaitingRequest &Request,
                                   const Candidate &Where, Time Now,
                                   std::vector<BalancerAction> &Out) {
  const BackendServerConfig &Config = Where.Server_->getConfig();
  Out.push_back(StartAttempt{Request.Flow_, Config.Id_, Config.Proximity_,
                             static_cast<unsigned>(Waiting_.size()),
                             Where.Server_->getEstimatedLoad(Now),
                             Where.Server_->getLoadReportAge(Now),
                             Where.Finish_});
  bool IsOtherRegion = Config.Proximity_ == Proximity::OtherRegion;
  ShiftLimiter_.recordStart(IsOtherRegion ? Config.Region_ : "", Now);
  Where.Server_->recordStart(Request.Flow_, Request.Key_, Where.PreferenceRank_,
                             Where.Finish_, Now);
}

void ServiceBalancer::reportSuspects(Time Now,
                                     std::vector<BalancerAction> &Out) {
  for (auto &[Id, Server] : Servers_)
    for (FlowIndex Flow : Server->takeSuspects(Now))
      Out.push_back(SuspectAttempt{Flow, Id});
}

std::vector<BalancerAction> ServiceBalancer::step(Time Now) {
  std::vector<BalancerAction> Out;
  reportSuspects(Now, Out);
  removeUnlisted(Now);
  if (Waiting_.empty())
    return Out;
  Divider_.update(Now);
  sortWaiting(Now);
  Plan Planned;
  std::vector<WaitingRequest> Remaining;
  for (WaitingRequest &Request : Waiting_) {
    Candidate Best = chooseServer(Request, Planned, Now);
    if (Best.Server_ && Best.Wait_ == Duration(0) &&
        !hasLostItsTime(Request, Best, Now)) {
      startAttempt(Request, Best, Now, Out);
      continue;
    }
    if (std::optional<RefuseRequest> Refusal =
            checkRefusal(Request, Best, Now)) {
      Out.push_back(*Refusal);
      continue;
    }
    if (Best.Server_)
      ++Planned[Best.Server_];
    Remaining.push_back(std::move(Request));
  }
  Waiting_ = std::move(Remaining);
  return Out;
}

Time ServiceBalancer::getNextWake(Time Now) const {
  if (!Waiting_.empty())
    return Now + QueuePollInterval;
  return getInFlight() > 0 ? Now + SilenceCheckInterval : Time::max();
}

unsigned ServiceBalancer::getColdServers(Time Now) const {
  return static_cast<unsigned>(std::count_if(
      Usable_.begin(), Usable_.end(),
      [Now](const ServerState *Server) { return Server->isCold(Now); }));
}

bool ServiceBalancer::setRateLimit(const std::string &Server,
                                   const NamedRateLimit &Named) {
  auto Found = Servers_.find(Server);
  if (Found == Servers_.end())
    return false;
  SharedRateLimiter &Limiter = Found->second->getRateLimiter();
  std::optional<double> Before = Limiter.getLimit().PerSecond_;
  Limiter.setLimit(Named);
  return Limiter.getLimit().PerSecond_ != Before;
}

std::vector<RateUse> ServiceBalancer::getRateUse(Time Now) const {
  std::vector<RateUse> Result;
  for (ServerState *Server : Usable_)
    if (SharedRateLimiter &Limiter = Server->getRateLimiter();
        Limiter.isLimited())
      Result.push_back({Server->getConfig().Id_, *Limiter.getLimit().PerSecond_,
                        Limiter.getShare(), Limiter.getRecentStarts(Now)});
  return Result;
}

std::vector<RateDemand> ServiceBalancer::takeRateDemands(Time Now) {
  std::vector<RateDemand> Result;
  for (ServerState *Server : Usable_)
    if (SharedRateLimiter &Limiter = Server->getRateLimiter();
        Limiter.takeReportDue()) {
      const BackendServerConfig &Config = Server->getConfig();
      bool IsInUse = Limiter.isInUse(Now);
      Result.push_back({Config.Id_, Config.Zone_, Config.Region_,
                        Limiter.getLimit(), Limiter.takeDemand(Now), IsInUse});
    }
  return Result;
}

void ServiceBalancer::setRateShare(const std::string &Server,
                                   const NamedRateLimit &Named, double Share,
                                   Time Now) {
  auto Found = Servers_.find(Server);
  if (Found == Servers_.end())
    return;
  SharedRateLimiter &Limiter = Found->second->getRateLimiter();
  Limiter.setLimit(Named);
  Limiter.setShare(Share, Now);
}

unsigned ServiceBalancer::getInFlight() const {
  unsigned Result = 0;
  for (const auto &[Id, Server] : Servers_)
    Result += Server->getInFlight();
  return Result;
}

} // namespace cranberry
