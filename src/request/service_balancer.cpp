/// \file service_balancer.cpp Places the requests of one service.
#include "request/service_balancer_base.h"

#include "core/duration_func.h"

#include <algorithm>
#include <map>
#include <set>

namespace cranberry {

namespace {

/// A new object at a server that is full of warm ones makes another one cold:
/// the share of the time saved by warmth that this costs later.
constexpr double EvictionShare = 0.7;

/// An object's further homes in a zone are used when the first has a long
/// wait; each copy takes room, which costs this share of the time saved.
constexpr double CopyShare = 0.4;

/// The same for a copy that is there already; its requests return to the first
/// home as soon as that has the object.
constexpr double WarmCopyShare = 0.1;

/// Of the requests that would be served away from their object's first home in
/// this zone, one in so many warms the object there: servers that joined or
/// came back would get none otherwise.
constexpr unsigned ReturnInterval = 12;

constexpr unsigned HomesPerZone = 3;

/// Weight of a new value in the share of warm objects.
constexpr double HitGain = 0.02;

/// Objects whose homes are remembered.
constexpr size_t MaxHomes = 4096;

/// A cold server's work takes about this many times as long.
constexpr double ColdServerFactor = 2;

/// An answer after the objective is worth this share of one in time.
constexpr double LateShare = 0.2;

/// What a request's bytes to another zone or region cost, as the time that is
/// worth as much.
constexpr Duration RegionCost = milliseconds(25);
constexpr Duration FarCost = milliseconds(25);

/// Share of a request's time after which it is refused if it can't be in time.
constexpr double LateHoldShare = 0.4;

/// Shortest and longest time to come back in.
constexpr Duration MinRetryAfter = milliseconds(100);
constexpr Duration MaxRetryAfter = seconds(1);

/// While requests wait, estimates move on with time.
constexpr Duration WaitingStep = milliseconds(10);

/// While attempts are under way, silence is looked for.
constexpr Duration SilenceStep = milliseconds(100);

/// \return A stable preference of \p Key for a server, from 0 to 1.
double getPreference(uint64_t Key, const std::string &Server) {
  uint64_t Hash = Key ^ 0x9e3779b97f4a7c15ULL;
  for (char C : Server)
    Hash = (Hash ^ static_cast<unsigned char>(C)) * 0x100000001b3ULL;
  Hash ^= Hash >> 29U;
  Hash *= 0xbf58476d1ce4e5b9ULL;
  Hash ^= Hash >> 32U;
  constexpr double Range = 4294967296.0;
  return static_cast<double>(Hash & 0xffffffffU) / Range;
}

bool contains(const std::vector<std::string> &List, const std::string &Text) {
  return std::find(List.begin(), List.end(), Text) != List.end();
}

bool mayUse(const WaitingRequest &Request, const BackendServerConfig &Server) {
  return (Request.HomeRegions_.empty() ||
          contains(Request.HomeRegions_, Server.Region_)) &&
         !contains(Request.ExcludedServers_, Server.Id_);
}

} // namespace

void ServiceBalancer::setServers(
    const std::vector<BackendServerConfig> &Servers) {
  std::set<std::string> Listed;
  Usable_.clear();
  PreferredServers_.clear();
  AllServers_.clear();
  for (const BackendServerConfig &Server : Servers) {
    Listed.insert(Server.Id_);
    std::unique_ptr<ServerState> &State = Servers_[Server.Id_];
    if (State)
      State->setConfig(Server);
    else
      State = std::make_unique<ServerState>(Server);
    Usable_.push_back(State.get());
    AllServers_.push_back({State.get(), 0});
  }
  absl::erase_if(Servers_, [&](const auto &Entry) {
    return !Listed.count(Entry.first) && Entry.second->getInFlight() == 0;
  });
}

bool ServiceBalancer::cancelWaiting(FlowIndex Flow) {
  auto Found =
      std::find_if(Waiting_.begin(), Waiting_.end(),
                   [Flow](const WaitingRequest &R) { return R.Flow_ == Flow; });
  if (Found == Waiting_.end())
    return false;
  Waiting_.erase(Found);
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
        HitGain;
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
  double Worth = Request.Weight_ * (InTime ? 1 : LateShare);
  return Worth * Request.Weight_ / std::chrono::duration<double>(Work).count();
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

const ServiceBalancer::PreferredServers &
ServiceBalancer::getPreferredServers(uint64_t Key) {
  if (Key == 0)
    return AllServers_;
  if (PreferredServers_.size() > MaxHomes)
    PreferredServers_.clear();
  auto [Found, IsNew] = PreferredServers_.try_emplace(Key);
  PreferredServers &Homes = Found->second;
  if (!IsNew)
    return Homes;
  std::map<std::string, std::vector<std::pair<double, ServerState *>>> Zones;
  for (ServerState *Server : Usable_)
    Zones[Server->getConfig().Zone_].emplace_back(
        getPreference(Key, Server->getConfig().Id_), Server);
  for (auto &[Zone, Servers] : Zones) {
    std::sort(Servers.begin(), Servers.end(),
              [](const auto &A, const auto &B) { return A.first > B.first; });
    for (unsigned I = 0; I < Servers.size() && I < HomesPerZone; ++I)
      Homes.push_back({Servers[I].second, I});
  }
  return Homes;
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
  double Factor = Server.getSlowness(Now);
  if (Server.isCold(Now))
    Factor *= ColdServerFactor;
  double Chance = getHitProbability(Where, Request.Key_);
  Candidate Result;
  Result.Server_ = &Server;
  Result.PreferenceRank_ = Where.Rank_;
  Result.Wait_ = Server.getExpectedWait(Planned, Now);
  Result.Finish_ = Result.Wait_ + Config.RoundTrip_ +
                   scaleDuration(Work.get(Chance), Factor);
  Result.Cost_ = Result.Finish_;
  if (Config.Proximity_ == Proximity::SameRegion)
    Result.Cost_ += RegionCost;
  if (Config.Proximity_ == Proximity::OtherRegion)
    Result.Cost_ += FarCost;
  if (Request.Key_ == 0)
    return Result;
  Duration Saved = Work.MissTime_ - Work.HitTime_;
  if (Chance >= 1) {
    Result.Cost_ += scaleDuration(Saved, WarmCopyShare * Where.Rank_);
    return Result;
  }
  if (Server.isObjectCacheFull())
    Result.Cost_ += scaleDuration(Saved, EvictionShare);
  Result.Cost_ += scaleDuration(Saved, CopyShare * Where.Rank_);
  return Result;
}

bool ServiceBalancer::isCheaper(const Candidate &Next, const Candidate &Known) {
  return !Known.Server_ || Next.Cost_ < Known.Cost_;
}

bool ServiceBalancer::shouldWarmFirstServer(const WaitingRequest &Request,
                                            const Candidate &Home,
                                            const Candidate &Best, Time Now) {
  if (!Home.Server_ || Home.Server_ == Best.Server_ ||
      Home.Wait_ > Duration(0) || Now + Home.Finish_ > Request.ObjectiveAt_ ||
      Home.Server_->getCacheState(Request.Key_) == CacheState::Warm)
    return false;
  return ++BypassedFirstServer_ % ReturnInterval == 0;
}

ServiceBalancer::Candidate
ServiceBalancer::chooseServer(const WaitingRequest &Request,
                              const Plan &Planned, Time Now) {
  ServiceTimeEstimate Work = getServiceTime(Request);
  Candidate Best;
  Candidate BestFar;   // Of regions that may be given more now.
  Candidate ForcedFar; // Of all.
  Candidate FirstHome;
  for (const PreferredServer &Where : getPreferredServers(Request.Key_)) {
    ServerState *Server = Where.Server_;
    if (!mayUse(Request, Server->getConfig()) || !Server->isAvailable(Now))
      continue;
    bool IsFar = Server->getConfig().Proximity_ == Proximity::OtherRegion;
    auto Found = Planned.find(Server);
    Candidate Next = evaluateServer(
        Request, Where, Work, Found == Planned.end() ? 0 : Found->second, Now);
    if (Request.Key_ != 0 && Where.Rank_ == 0 &&
        Server->getConfig().Proximity_ == Proximity::SameZone)
      FirstHome = Next;
    if (!IsFar && isCheaper(Next, Best))
      Best = Next;
    if (IsFar && isCheaper(Next, ForcedFar))
      ForcedFar = Next;
    if (IsFar && isCheaper(Next, BestFar) &&
        Gate_.canSendTo(Server->getConfig().Region_, Now))
      BestFar = Next;
  }
  // A region without servers of its own has no choice.
  if (!Best.Server_)
    Best = ForcedFar;
  else if (BestFar.Server_ && isCheaper(BestFar, Best))
    Best = BestFar;
  return shouldWarmFirstServer(Request, FirstHome, Best, Now) ? FirstHome
                                                              : Best;
}

bool ServiceBalancer::hasServer(const WaitingRequest &Request) const {
  return std::any_of(Usable_.begin(), Usable_.end(),
                     [&Request](const ServerState *Server) {
                       return mayUse(Request, Server->getConfig());
                     });
}

std::optional<RefuseRequest>
ServiceBalancer::checkRefusal(const WaitingRequest &Request,
                              const Candidate &Best, Time Now) const {
  RefuseRequest Result{Request.Flow_, RefusalCause::NoServer, MinRetryAfter,
                       static_cast<unsigned>(Waiting_.size()), Duration(0)};
  if (!hasServer(Request))
    return Result;
  Result.Cause_ = RefusalCause::NoRoom;
  Duration Finish =
      Best.Server_ ? Best.Finish_ : getServiceTime(Request).HitTime_;
  Result.Predicted_ = Finish;
  Result.RetryAfter_ = std::clamp(Best.Wait_, MinRetryAfter, MaxRetryAfter);
  if (Now + Finish >= Request.Deadline_)
    return Result;
  bool InTime = Now + Finish <= Request.ObjectiveAt_;
  Duration Span = Request.ObjectiveAt_ - Request.Arrived_;
  if (!InTime && Now - Request.Arrived_ > scaleDuration(Span, LateHoldShare))
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
  bool IsFar = Config.Proximity_ == Proximity::OtherRegion;
  Gate_.recordStart(IsFar ? Config.Region_ : "", Now);
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
  if (Waiting_.empty())
    return Out;
  sortWaiting(Now);
  Plan Planned;
  std::vector<WaitingRequest> Kept;
  for (WaitingRequest &Request : Waiting_) {
    Candidate Best = chooseServer(Request, Planned, Now);
    if (Best.Server_ && Best.Wait_ == Duration(0)) {
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
    Kept.push_back(std::move(Request));
  }
  Waiting_ = std::move(Kept);
  return Out;
}

Time ServiceBalancer::getNextWake(Time Now) const {
  if (!Waiting_.empty())
    return Now + WaitingStep;
  return getInFlight() > 0 ? Now + SilenceStep : Time::max();
}

unsigned ServiceBalancer::getColdServers(Time Now) const {
  return static_cast<unsigned>(std::count_if(
      Usable_.begin(), Usable_.end(),
      [Now](const ServerState *Server) { return Server->isCold(Now); }));
}

unsigned ServiceBalancer::getInFlight() const {
  unsigned Result = 0;
  for (const auto &[Id, Server] : Servers_)
    Result += Server->getInFlight();
  return Result;
}

} // namespace cranberry
