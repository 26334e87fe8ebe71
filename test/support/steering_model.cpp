/// \file steering_model.cpp Simulated steering of one region in virtual time.
#include "test/support/steering_model_base.h"

#include "core/overload_type.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace cranberry::test {

namespace {

constexpr uint64_t Route = 1;

/// Round trips within a zone and between zones of a region, as in the benches.
constexpr Duration ZoneRoundTrip = std::chrono::microseconds(300);
constexpr Duration RegionRoundTrip = std::chrono::microseconds(1400);

constexpr Duration WavePeriod = seconds(12);

std::string getId(size_t Server) { return absl::StrCat("s", Server); }

size_t getIndex(const std::string &Id) { return std::stoul(Id.substr(1)); }

std::vector<double> getWeights(const SteeringModelPlan &Plan) {
  std::vector<double> Weights;
  for (unsigned I = 1; I <= Plan.Objects_; ++I)
    Weights.push_back(std::pow(I, -Plan.Skew_));
  return Weights;
}

} // namespace

double SteeringModelReport::getLatency(double Share) const {
  if (LatencyMs_.empty())
    return 0;
  auto Last = static_cast<double>(LatencyMs_.size() - 1);
  return LatencyMs_[static_cast<size_t>(Share * Last)];
}

double SteeringModelReport::getInTimeShare(size_t From, size_t To) const {
  double Offered = 0;
  double InTime = 0;
  for (size_t Second = From; Second < std::min(To, BySecond_.size());
       ++Second) {
    Offered += BySecond_[Second].first;
    InTime += BySecond_[Second].second;
  }
  return Offered > 0 ? InTime / Offered : 0;
}

SteeringModel::SteeringModel(const SteeringModelPlan &Plan)
    : Plan_(Plan), Random_(Plan.Seed_) {
  std::vector<double> Weights = getWeights(Plan);
  Popularity_ = {Weights.begin(), Weights.end()};
  unsigned ServerCount = Plan.Zones_ * Plan.ServersPerZone_;
  for (unsigned I = 0; I < ServerCount; ++I)
    Servers_.push_back(
        std::make_unique<ServerModel>(Plan.Server_, Clock_, Random_()));
  for (unsigned I = 0; I < Plan.Zones_ * Plan.VmsPerZone_; ++I) {
    Vm Next{I / Plan.VmsPerZone_, nullptr,
            std::vector<unsigned>(ServerCount, 0)};
    if (Plan.Policy_ == SteeringPolicy::Balancer) {
      Next.Balancer_ = std::make_unique<ServiceBalancer>(ShiftLimiter_);
      Next.Balancer_->setServers(makeServers(Next.Zone_));
    }
    Vms_.push_back(std::move(Next));
  }
}

std::vector<BackendServerConfig> SteeringModel::makeServers(size_t Zone) const {
  std::vector<BackendServerConfig> Known;
  for (size_t Server = 0; Server < Servers_.size(); ++Server) {
    BackendServerConfig Each;
    Each.Id_ = getId(Server);
    size_t ServerZone = Server / Plan_.ServersPerZone_;
    Each.Zone_ = absl::StrCat("north-", ServerZone);
    Each.Region_ = "north";
    Each.Proximity_ =
        ServerZone == Zone ? Proximity::SameZone : Proximity::SameRegion;
    Each.RoundTrip_ = getRoundTrip(Zone, Server);
    Each.Slots_ = Plan_.Server_.Slots_;
    if (ServerZone == 0 && ColdUntil_ != Time()) {
      Each.BornMs_ = 1;
      Each.ColdUntil_ = ColdUntil_;
      Each.ColdStartRate_ = Zone == 0 ? Plan_.ColdStartRate_ : 0;
    }
    Known.push_back(Each);
  }
  return Known;
}

void SteeringModel::makeZoneCold() {
  ColdUntil_ = Clock_.now() + Plan_.ColdLength_;
  for (size_t Server = 0; Server < Plan_.ServersPerZone_; ++Server) {
    Servers_[Server]->forgetObjects();
    Servers_[Server]->slowDown(ColdUntil_, Plan_.ColdFactor_);
  }
  for (Vm &Each : Vms_)
    if (Each.Balancer_)
      Each.Balancer_->setServers(makeServers(Each.Zone_));
}

Duration SteeringModel::getRoundTrip(size_t Zone, size_t Server) const {
  return Server / Plan_.ServersPerZone_ == Zone ? ZoneRoundTrip
                                                : RegionRoundTrip;
}

SteeringModelReport SteeringModel::run() {
  Measured_ = Clock_.now() + Plan_.WarmUp_;
  End_ = Measured_ + Plan_.Length_;
  for (size_t Zone = 0; Zone < Plan_.Zones_; ++Zone)
    addArrival(Zone);
  if (Plan_.ColdFrom_)
    Clock_.at(Measured_ + *Plan_.ColdFrom_, [this] { makeZoneCold(); });
  if (Plan_.SlowFrom_)
    Clock_.at(Measured_ + *Plan_.SlowFrom_, [this] {
      for (size_t I = 0; I < Servers_.size(); I += Plan_.SlowInterval_)
        Servers_[I]->slowDown(Clock_.now() + Plan_.SlowLength_,
                              Plan_.SlowFactor_);
    });
  Clock_.runUntil(End_);
  while (!Flows_.empty() && Clock_.step()) {
  }
  std::sort(Report_.LatencyMs_.begin(), Report_.LatencyMs_.end());
  return Report_;
}

void SteeringModel::addArrival(size_t Zone) {
  constexpr double Second = 1e9;
  double Slots = Plan_.ServersPerZone_ * Plan_.Server_.Slots_;
  double Work = static_cast<double>(Plan_.Server_.Work_.count()) / Second;
  auto Passed = static_cast<double>(Clock_.now().time_since_epoch().count());
  double Turn = Passed / static_cast<double>(WavePeriod.count()) +
                static_cast<double>(Zone) / Plan_.Zones_;
  double Wave = 1 + Plan_.Wave_ * std::sin(2 * std::numbers::pi * Turn);
  Time BurstStart = Measured_ + Plan_.BurstFrom_;
  if (Clock_.now() >= BurstStart &&
      Clock_.now() < BurstStart + Plan_.BurstLength_)
    Wave *= Plan_.BurstFactor_;
  std::exponential_distribution<double> Pause(Plan_.Load_ * Slots / Work *
                                              Wave);
  Duration Next(static_cast<int64_t>(Pause(Random_) * Second));
  Clock_.after(Next, [this, Zone] {
    if (Clock_.now() >= End_)
      return;
    handleArrival(Zone);
    addArrival(Zone);
  });
}

uint64_t SteeringModel::drawKey(size_t Zone) {
  // Spreads the keys evenly, as hashed keys are.
  uint64_t First = Plan_.AreObjectsShared_ ? 0 : Zone * Plan_.Objects_;
  uint64_t Number = First + Popularity_(Random_) + 1;
  constexpr uint64_t Golden = 0x9e3779b97f4a7c15;
  return Number * Golden;
}

void SteeringModel::handleArrival(size_t Zone) {
  Time Now = Clock_.now();
  uint64_t Id = NextFlow_++;
  size_t Vm = Zone * Plan_.VmsPerZone_ + Random_() % Plan_.VmsPerZone_;
  WaitingRequest Request;
  Request.Flow_ = FlowIndex(Id);
  Request.Route_ = Route;
  Request.Key_ = drawKey(Zone);
  Request.Arrived_ = Now;
  Request.ObjectiveAt_ = Now + Plan_.Objective_;
  Request.Deadline_ = Now + Plan_.Deadline_;
  bool IsMeasured = Now >= Measured_;
  Report_.Offered_ += IsMeasured ? 1 : 0;
  Flows_[Id] = {Vm, Request, Now, IsMeasured};
  Clock_.at(Request.Deadline_, [this, Id] { cut(Id); });
  if (!Vms_[Vm].Balancer_)
    return start(Id, pickServer(Vms_[Vm]));
  Vms_[Vm].Balancer_->submit(Request);
  step(Vm);
}

size_t SteeringModel::pickServer(const Vm &From) {
  size_t First = From.Zone_ * Plan_.ServersPerZone_;
  if (Plan_.Policy_ == SteeringPolicy::Random)
    return First + Random_() % Plan_.ServersPerZone_;
  // Uses servers of other zones only if the best one so far has no free slot.
  size_t Best = First;
  for (size_t I = 0; I < Servers_.size(); ++I) {
    size_t Server = (First + I) % Servers_.size();
    bool IsNear = I < Plan_.ServersPerZone_;
    bool IsFull = From.InFlight_[Best] >= Plan_.Server_.Slots_;
    if (From.InFlight_[Server] < From.InFlight_[Best] && (IsNear || IsFull))
      Best = Server;
  }
  return Best;
}

void SteeringModel::step(size_t Vm) {
  for (const BalancerAction &Action : Vms_[Vm].Balancer_->step(Clock_.now()))
    std::visit(Overload{[this](const StartAttempt &Start) {
                          this->start(Start.Flow_.get(),
                                      getIndex(Start.Server_));
                        },
                        [this](const RefuseRequest &Refuse) {
                          refuse(Refuse.Flow_.get());
                        },
                        [](const SuspectAttempt &) {}},
               Action);
  scheduleWake(Vm);
}

void SteeringModel::scheduleWake(size_t Vm) {
  Time Next = Vms_[Vm].Balancer_->getNextWake(Clock_.now());
  if (Next == Time::max() || Flows_.empty())
    return;
  // Responses and arrivals step the balancer earlier; this timer serves
  // requests that are still waiting.
  if (Vms_[Vm].Balancer_->getWaiting() > 0)
    Clock_.at(Next, [this, Vm, Waiting = Vms_[Vm].Balancer_->getWaiting()] {
      if (Vms_[Vm].Balancer_->getWaiting() == Waiting)
        step(Vm);
    });
}

void SteeringModel::start(uint64_t FlowId, size_t Server) {
  Flow &Open = Flows_.at(FlowId);
  Open.Sent_ = Clock_.now();
  Open.Request_.ExcludedServers_.push_back(getId(Server));
  ++Vms_[Open.Vm_].InFlight_[Server];
  if (Server < Plan_.ServersPerZone_ && Clock_.now() < ColdUntil_)
    ++Report_.ColdStarts_;
  Duration OneWay = getRoundTrip(Vms_[Open.Vm_].Zone_, Server) / 2;
  Clock_.after(OneWay,
               [this, FlowId, Server, OneWay, Key = Open.Request_.Key_] {
                 if (!Flows_.contains(FlowId))
                   return;
                 uint64_t Number = Servers_[Server]->handleRequest(
                     Key, [this, FlowId, Server,
                           OneWay](const ServerModel::Response &Response) {
                       Clock_.after(OneWay, [this, FlowId, Server, Response] {
                         end(FlowId, Server, Response);
                       });
                     });
                 Flows_.at(FlowId).Server_ = Server;
                 Flows_.at(FlowId).AtServer_ = Number;
               });
}

void SteeringModel::end(uint64_t FlowId, size_t Server,
                        const ServerModel::Response &Response) {
  Time Now = Clock_.now();
  if (!Flows_.contains(FlowId))
    return; // Cut while the response was on its way.
  Flow Open = Flows_.at(FlowId);
  Vm &From = Vms_[Open.Vm_];
  --From.InFlight_[Server];
  if (From.Balancer_) {
    EndedAttempt Ended;
    Ended.Flow_ = FlowIndex(FlowId);
    Ended.Route_ = Route;
    Ended.Objective_ = Plan_.Objective_;
    Ended.Server_ = getId(Server);
    Ended.Outcome_ = Response.IsRun_ ? ServerAttemptOutcome::Served
                                     : ServerAttemptOutcome::Refused;
    Ended.Ran_ = Now - Open.Sent_;
    Ended.Load_ = Response.Load_;
    From.Balancer_->endAttempt(Ended, Now);
  }
  Duration Latency = Now - Open.Request_.Arrived_;
  bool IsOver =
      Response.IsRun_ || !From.Balancer_ || Now >= Open.Request_.Deadline_;
  if (!Response.IsRun_ && Open.IsMeasured_)
    ++Report_.Repeats_;
  Flows_.at(FlowId).AtServer_ = 0;
  if (!IsOver) {
    From.Balancer_->submit(Open.Request_);
  } else if (!Response.IsRun_) {
    refuse(FlowId);
  } else {
    recordSecond(Open, Latency <= Plan_.Objective_);
    if (Open.IsMeasured_) {
      ++(Latency <= Plan_.Objective_ ? Report_.InTime_ : Report_.Late_);
      Report_.Warm_ += Response.WasWarm_ ? 1 : 0;
      Report_.LatencyMs_.push_back(
          std::chrono::duration<double, std::milli>(Latency).count());
    }
    Flows_.erase(FlowId);
  }
  if (From.Balancer_)
    step(Open.Vm_);
}

void SteeringModel::recordSecond(const Flow &Open, bool IsInTime) {
  if (!Open.IsMeasured_)
    return;
  auto Second = static_cast<size_t>((Open.Request_.Arrived_ - Measured_) /
                                    Duration(seconds(1)));
  if (Report_.BySecond_.size() <= Second)
    Report_.BySecond_.resize(Second + 1);
  ++Report_.BySecond_[Second].first;
  Report_.BySecond_[Second].second += IsInTime ? 1 : 0;
}

void SteeringModel::cut(uint64_t FlowId) {
  auto Found = Flows_.find(FlowId);
  if (Found == Flows_.end())
    return;
  Flow Open = Found->second;
  Vm &From = Vms_[Open.Vm_];
  bool HasAttempt = Open.AtServer_ != 0;
  bool WasQueued =
      From.Balancer_ && From.Balancer_->cancelWaiting(FlowIndex(FlowId));
  if (HasAttempt)
    Servers_[Open.Server_]->cancel(Open.AtServer_);
  if (!WasQueued && HasAttempt)
    --From.InFlight_[Open.Server_];
  if (From.Balancer_ && HasAttempt) {
    EndedAttempt Ended;
    Ended.Flow_ = FlowIndex(FlowId);
    Ended.Route_ = Route;
    Ended.Objective_ = Plan_.Objective_;
    Ended.Server_ = getId(Open.Server_);
    Ended.Outcome_ = ServerAttemptOutcome::Lost;
    Ended.Ran_ = Clock_.now() - Open.Sent_;
    From.Balancer_->endAttempt(Ended, Clock_.now());
  }
  recordSecond(Open, false);
  Report_.Cut_ += Open.IsMeasured_ ? 1 : 0;
  Flows_.erase(Found);
  if (From.Balancer_)
    step(Open.Vm_);
}

void SteeringModel::refuse(uint64_t FlowId) {
  auto Found = Flows_.find(FlowId);
  recordSecond(Found->second, false);
  Report_.Refused_ += Found->second.IsMeasured_ ? 1 : 0;
  Flows_.erase(Found);
}

} // namespace cranberry::test
