/// \file server_pool.cpp Backend servers of one service and their slots.
#include "request/server_pool_base.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace cranberry {

namespace {

constexpr Duration RampStep = milliseconds(500);
constexpr Duration FirstRest = milliseconds(50);
constexpr unsigned MaxRestDoublings = 6;
constexpr double LateRatio = 2.0;     ///< Late when over this many estimates.
constexpr unsigned MinSamples = 20;   ///< Before a server can be compared.
constexpr double SampleWeight = 0.05; ///< Of the newest attempt.
constexpr double SlowExcess = 0.35; ///< Late share over the peers' that starts
                                    ///< being slow.
constexpr double RecoveredExcess = 0.15; ///< And the one that ends it.

} // namespace

void ServerPool::setServers(const std::vector<ServerSpec> &Specs, Time Now) {
  for (Server &Known : Servers_)
    Known.IsListed_ = false;
  bool IsFirstList = Servers_.empty();
  for (const ServerSpec &Spec : Specs) {
    auto Known =
        std::find_if(Servers_.begin(), Servers_.end(), [&](const Server &S) {
          return S.Address_ == Spec.Address_;
        });
    if (Known == Servers_.end()) {
      Servers_.emplace_back();
      Known = Servers_.end() - 1;
      Known->Address_ = Spec.Address_;
      Known->RampStart_ = IsFirstList ? Time::min() : Now;
    }
    Known->IsListed_ = true;
    Known->Slots_ = Spec.Slots_;
    Known->IsDraining_ = Spec.IsDraining_;
  }
}

void ServerPool::setHealth(const std::string &Address, ServerHealth Health,
                           Time Now) {
  for (Server &S : Servers_) {
    if (S.Address_ != Address)
      continue;
    if (S.Health_ == ServerHealth::Down && Health == ServerHealth::Up)
      S.RampStart_ = Now;
    S.Health_ = Health;
  }
}

bool ServerPool::isEligible(const Server &S) const {
  return S.IsListed_ && !S.IsDraining_ && S.Health_ == ServerHealth::Up;
}

bool ServerPool::isSlow(ServerIndex Server) const {
  return Servers_[Server.get()].IsSlow_;
}

unsigned ServerPool::getUsable(const Server &S, Time Now) const {
  if (!isEligible(S) || Now < S.BackoffUntil_)
    return 0;
  if (S.IsSlow_)
    return 1;
  if (S.RampStart_ == Time::min())
    return S.Slots_;
  constexpr int64_t MaxDoublings = 16;
  int64_t Steps =
      std::min<int64_t>((Now - S.RampStart_) / RampStep, MaxDoublings);
  return std::min(S.Slots_, 1U << static_cast<unsigned>(Steps));
}

std::optional<ServerIndex> ServerPool::pick(Time Now, ServerIndex Avoid) const {
  std::optional<size_t> Best;
  auto Score = [&](const Server &S) {
    return std::tuple(S.IsSlow_, static_cast<double>(S.InUse_) / S.Slots_,
                      S.LastStart_);
  };
  for (size_t I = 0; I < Servers_.size(); ++I) {
    const Server &S = Servers_[I];
    if (S.InUse_ >= getUsable(S, Now) || (Avoid.isValid() && I == Avoid.get()))
      continue;
    if (!Best || Score(S) < Score(Servers_[*Best]))
      Best = I;
  }
  if (!Best)
    return std::nullopt;
  return ServerIndex(static_cast<uint16_t>(*Best));
}

void ServerPool::acquireSlot(ServerIndex Server) {
  ++Servers_[Server.get()].InUse_;
  Servers_[Server.get()].LastStart_ = ++Starts_;
  ++InUse_;
}

void ServerPool::releaseSlot(ServerIndex Server) {
  assert(Servers_[Server.get()].InUse_ > 0);
  --Servers_[Server.get()].InUse_;
  --InUse_;
}

double ServerPool::getMedianLateShare() const {
  std::vector<double> Values;
  for (const Server &S : Servers_)
    if (isEligible(S) && S.Samples_ >= MinSamples)
      Values.push_back(S.LateShare_);
  if (Values.empty())
    return 0.0;
  auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

void ServerPool::recordTiming(ServerIndex Server, Duration Ran,
                              Duration Expected) {
  ServerPool::Server &S = Servers_[Server.get()];
  S.ConsecutiveRefusals_ = 0;
  if (Expected <= Duration::zero())
    return;
  double Sample = Ran > Expected * LateRatio ? 1.0 : 0.0;
  S.LateShare_ += SampleWeight * (Sample - S.LateShare_);
  double Excess = S.LateShare_ - getMedianLateShare();
  bool CanTell = ++S.Samples_ >= MinSamples;
  S.IsSlow_ = CanTell && Excess > (S.IsSlow_ ? RecoveredExcess : SlowExcess);
}

void ServerPool::recordRefusal(ServerIndex Server, Time Now) {
  ServerPool::Server &S = Servers_[Server.get()];
  unsigned Doublings = std::min(S.ConsecutiveRefusals_, MaxRestDoublings);
  S.BackoffUntil_ =
      std::max(S.BackoffUntil_, Now + FirstRest * (1U << Doublings));
  ++S.ConsecutiveRefusals_;
}

void ServerPool::recordConnectFailure(ServerIndex Server) {
  Servers_[Server.get()].Health_ = ServerHealth::Down;
}

unsigned ServerPool::getFreeSlots(Time Now) const {
  unsigned Free = 0;
  for (const Server &S : Servers_)
    Free += std::max(getUsable(S, Now), S.InUse_) - S.InUse_;
  return Free;
}

unsigned ServerPool::getUsableSlots(Time Now) const {
  unsigned Usable = 0;
  for (const Server &S : Servers_)
    Usable += getUsable(S, Now);
  return Usable;
}

std::vector<ServerStatus> ServerPool::getStatus(Time Now) const {
  std::vector<ServerStatus> Status;
  for (const Server &S : Servers_)
    if (S.IsListed_ || S.InUse_ > 0)
      Status.push_back(
          {S.Address_, S.Slots_, getUsable(S, Now), S.InUse_,
           S.IsDraining_ || S.Health_ == ServerHealth::Draining || !S.IsListed_,
           S.Health_ == ServerHealth::Down, S.IsSlow_});
  return Status;
}

bool ServerPool::hasLiveServer() const {
  return std::any_of(Servers_.begin(), Servers_.end(),
                     [this](const Server &S) { return isEligible(S); });
}

std::optional<Time> ServerPool::getNextChange(Time Now) const {
  std::optional<Time> Next;
  auto Consider = [&](Time At) {
    if (At > Now && (!Next || At < *Next))
      Next = At;
  };
  for (const Server &S : Servers_) {
    if (!isEligible(S))
      continue;
    Consider(S.BackoffUntil_);
    if (S.RampStart_ != Time::min() && getUsable(S, Now) < S.Slots_)
      Consider(S.RampStart_ + ((Now - S.RampStart_) / RampStep + 1) * RampStep);
  }
  return Next;
}

} // namespace cranberry
