/// \file server_state.cpp Load, speed and health of one backend server.
#include "request/server_state_base.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Weights of a new sample in the exponential moving averages.
constexpr double SlownessGain = 0.1;
constexpr double FailureGain = 0.15;
constexpr double OtherVmLoadGain = 0.5;
constexpr double ServiceTimeGain = 0.1;

/// Bounds the ratio of one attempt, so that a straggler does not dominate.
constexpr double MaxRatio = 2;
constexpr double MinRatio = 0.5;

/// Range of the smoothed slowness.
constexpr double MaxSlowness = 8;
constexpr double MinSlowness = 0.5;

/// Least share of attempts that a server is expected to serve.
constexpr double MinSuccessShare = 0.2;

/// How long reported interference counts; bursts last a few hundred
/// milliseconds.
constexpr Duration InterferenceWindow = milliseconds(300);

/// Half-life of the load of other VMs between load reports.
constexpr Duration OtherVmLoadHalfLife = milliseconds(1000);

/// Backoff after a server was unreachable or lost a request.
constexpr Duration MinBackoff = milliseconds(100);
constexpr Duration MaxBackoff = milliseconds(1600);

/// Backoff after a refusal; about the time until a slot becomes free.
constexpr Duration RefusalBackoff = milliseconds(40);

/// An attempt is overdue after this many times its expected time.
constexpr int OverdueFactor = 5;
constexpr Duration MinOverdueTime = milliseconds(250);

} // namespace

void ServerState::setConfig(BackendServerConfig Config) {
  if (Config.BornMs_ != Config_.BornMs_) {
    // The server restarted: estimates for the previous process are void.
    ObjectCache_.clear();
    OtherVmLoad_ = 0;
    RateLimiter_.reset();
    Slowness_ = 1;
    FailureShare_ = 0;
    RefusalShare_ = 0;
    BackoffUntil_ = Time();
    UnwantedUntil_ = Time();
    BackoffDelay_ = Duration(0);
    IsProbing_ = false;
  }
  Config.ColdUntil_ = std::max(Config.ColdUntil_, Config_.ColdUntil_);
  Config_ = std::move(Config);
}

void ServerState::extendColdPhase(Time Until) {
  Config_.ColdUntil_ = std::max(Config_.ColdUntil_, Until);
}

void ServerState::recordStart(FlowIndex Flow, uint64_t Key, unsigned HomeRank,
                              Duration Expected, Time Now) {
  Attempts_.push_back(
      {Flow, Now, Expected, Key, HomeRank, ObjectCache_.get(Key)});
  ObjectCache_.touch(Key);
  ColdStartLimiter_.recordStart(Now);
  RateLimiter_.recordStart(Now);
}

ServiceTimeSample ServerState::recordServed(const Attempt &Done, Duration Ran,
                                            const ServiceTimeEstimate &Work) {
  double Ratio =
      static_cast<double>(Ran.count()) /
      std::max<double>(1, static_cast<double>(Done.Expected_.count()));
  Slowness_ *= 1 + (std::clamp(Ratio, MinRatio, MaxRatio) - 1) * SlownessGain;
  Slowness_ = std::clamp(Slowness_, MinSlowness, MaxSlowness);
  Duration ServiceTime = std::max(Ran - Config_.RoundTrip_, Duration(1));
  MeanServiceTime_ +=
      scaleDuration(ServiceTime - MeanServiceTime_, ServiceTimeGain);
  Duration CorrectedTime =
      scaleDuration(ServiceTime, 1 / std::max(1.0, Interference_));
  ObjectCache_.recordHitOrMiss(Done.CacheStateAtStart_,
                               Work.isCloserToHit(CorrectedTime));
  return {CorrectedTime, Done.Key_, Done.PreferenceRank_,
          Done.CacheStateAtStart_};
}

std::optional<ServiceTimeSample>
ServerState::recordEnd(const EndedAttempt &Ended,
                       const ServiceTimeEstimate &Work, Time Now) {
  auto Found = std::find_if(
      Attempts_.begin(), Attempts_.end(),
      [&Ended](const Attempt &A) { return A.Flow_ == Ended.Flow_; });
  if (Found == Attempts_.end())
    return std::nullopt;
  Attempt Done = *Found;
  Attempts_.erase(Found);
  if (Ended.Load_)
    recordLoad(
        *Ended.Load_,
        Ended.Outcome_ == ServerAttemptOutcome::Refused ? 1 : OtherVmLoadGain,
        Now);
  if (Ended.RetryAfter_)
    UnwantedUntil_ = std::max(UnwantedUntil_, Now + *Ended.RetryAfter_);
  ServerAttemptOutcome Verdict = Ended.Outcome_;
  bool IsRefusal = Verdict == ServerAttemptOutcome::Refused;
  bool IsFailure = !IsRefusal && Verdict != ServerAttemptOutcome::Served;
  if (Verdict != ServerAttemptOutcome::Withdrawn) {
    FailureShare_ += ((IsFailure ? 1 : 0) - FailureShare_) * FailureGain;
    RefusalShare_ += ((IsRefusal ? 1 : 0) - RefusalShare_) * FailureGain;
  }
  switch (Verdict) {
  case ServerAttemptOutcome::Served:
  case ServerAttemptOutcome::Failed:
    LastResponse_ = Now;
    BackoffDelay_ = Duration(0);
    IsProbing_ = false;
    if (!IsFailure)
      return recordServed(Done, Ended.Ran_, Work);
    break;
  case ServerAttemptOutcome::Refused:
    LastResponse_ = Now;
    BackoffUntil_ = std::max(BackoffUntil_, Now + RefusalBackoff);
    break;
  case ServerAttemptOutcome::Lost:
    if (isSilent(Now) || Now - LastResponse_ > seconds(1))
      startBackoff(Now);
    break;
  case ServerAttemptOutcome::Unreachable:
    startBackoff(Now);
    break;
  case ServerAttemptOutcome::Withdrawn:
    break;
  }
  return std::nullopt;
}

void ServerState::startBackoff(Time Now) {
  if (Now < BackoffUntil_)
    return;
  BackoffDelay_ = std::clamp(BackoffDelay_ * 2, MinBackoff, MaxBackoff);
  BackoffUntil_ = Now + BackoffDelay_;
  IsProbing_ = true;
}

void ServerState::recordLoad(const LoadReport &Load, double Gain, Time Now) {
  double OtherLoad = static_cast<double>(Load.Running_ + Load.Queued_) -
                     static_cast<double>(Attempts_.size());
  OtherVmLoad_ = getOtherVmLoad(Now);
  OtherVmLoad_ += (std::max(0.0, OtherLoad) - OtherVmLoad_) * Gain;
  LoadReportedAt_ = Now;
  Interference_ = Load.Interference_;
}

double ServerState::getOtherVmLoad(Time Now) const {
  double Age = std::chrono::duration<double>(Now - LoadReportedAt_).count() /
               std::chrono::duration<double>(OtherVmLoadHalfLife).count();
  return OtherVmLoad_ * std::exp2(-Age);
}

double ServerState::getEstimatedLoad(Time Now) const {
  return static_cast<double>(Attempts_.size()) + getOtherVmLoad(Now);
}

double ServerState::getRefusalFactor() const {
  return std::max(MinSuccessShare, 1 - FailureShare_) /
         std::max(MinSuccessShare, 1 - FailureShare_ - RefusalShare_);
}

double ServerState::getSlowness(Time Now) const {
  double Result = Slowness_ / std::max(MinSuccessShare, 1 - FailureShare_);
  if (Now - LoadReportedAt_ < InterferenceWindow)
    Result *= std::max(1.0, Interference_);
  return Result;
}

bool ServerState::isAvailable(Time Now) {
  if (Now < BackoffUntil_ || wantsNoRequests(Now) ||
      (IsProbing_ && !Attempts_.empty()))
    return false;
  if (isCold(Now) && (Now < Config_.ColdStartsFrom_ ||
                      !ColdStartLimiter_.canStart(Config_.ColdStartRate_, Now)))
    return false;
  return RateLimiter_.getWait(0, Now) && !isSilent(Now);
}

Duration ServerState::getExpectedWait(unsigned Planned, Time Now) const {
  constexpr double Rounding = 0.5; // The load of other VMs is an estimate.
  double Excess = getEstimatedLoad(Now) + Planned + 1 - Config_.Slots_;
  Duration RateWait = getRateWait(Planned, Now);
  if (Excess <= Rounding)
    return RateWait;
  return std::max(
      RateWait,
      scaleDuration(MeanServiceTime_, std::max(1.0, Excess) / Config_.Slots_));
}

bool ServerState::isSilent(Time Now) const {
  unsigned Overdue = 0;
  for (const Attempt &A : Attempts_) {
    Duration Age = Now - A.Started_;
    if (LastResponse_ <= A.Started_ &&
        Age > std::max(A.Expected_ * OverdueFactor / 2, MinOverdueTime))
      Overdue += Age > A.Expected_ * OverdueFactor ? 2 : 1;
  }
  return Overdue >= 2;
}

std::vector<FlowIndex> ServerState::takeSuspects(Time Now) {
  std::vector<FlowIndex> Result;
  if (!isSilent(Now))
    return Result;
  for (Attempt &A : Attempts_) {
    if (A.IsReported_ || Now - A.Started_ < A.Expected_)
      continue;
    A.IsReported_ = true;
    Result.push_back(A.Flow_);
  }
  return Result;
}

} // namespace cranberry
