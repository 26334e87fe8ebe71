/// \file balanced_server.cpp What this entry VM knows of a backend server.
#include "request/balanced_server_base.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Weight of a new value in smoothed figures.
constexpr double SlownessGain = 0.1;
constexpr double FailureGain = 0.15;
constexpr double ForeignGain = 0.5;
constexpr double MeanGain = 0.1;

/// One attempt counts within these, so that one straggler does not set it.
constexpr double MaxRatio = 2;
constexpr double MinRatio = 0.5;

/// Range of the smoothed figure.
constexpr double MaxSlowness = 8;
constexpr double MinSlowness = 0.5;

/// Interference comes in bursts of some hundreds of milliseconds.
constexpr Duration InterferenceLife = milliseconds(300);

/// A load report of others' requests counts half after this time.
constexpr Duration ForeignHalfLife = milliseconds(1000);

/// Rests after a server could not be reached or lost a request.
constexpr Duration FirstRest = milliseconds(100);
constexpr Duration LongestRest = milliseconds(1600);

/// A rest after a refusal; about the time in which a slot gets free.
constexpr Duration RefusalRest = milliseconds(40);

/// Silence: attempts that have run for this many times what was expected.
constexpr int SilentFactor = 5;
constexpr Duration SilentFloor = milliseconds(250);

} // namespace

void ServerState::setConfig(BackendServerConfig Config) {
  if (Config.BornMs_ != Config_.BornMs_) {
    // Restarted: nothing learnt of the earlier process holds.
    ObjectCache_.clear();
    OtherVmLoad_ = 0;
    Slowness_ = 1;
    FailureShare_ = 0;
    BackoffUntil_ = Time();
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
}

ServiceTimeSample ServerState::recordServed(const Attempt &Done, Duration Ran,
                                            const ServiceTimeEstimate &Work) {
  double Ratio =
      static_cast<double>(Ran.count()) /
      std::max<double>(1, static_cast<double>(Done.Expected_.count()));
  Slowness_ *= 1 + (std::clamp(Ratio, MinRatio, MaxRatio) - 1) * SlownessGain;
  Slowness_ = std::clamp(Slowness_, MinSlowness, MaxSlowness);
  Duration AtServer = std::max(Ran - Config_.RoundTrip_, Duration(1));
  MeanServiceTime_ += scaleDuration(AtServer - MeanServiceTime_, MeanGain);
  Duration Usual = scaleDuration(AtServer, 1 / std::max(1.0, Interference_));
  ObjectCache_.recordHitOrMiss(Done.CacheStateAtStart_,
                               Work.isCloserToHit(Usual));
  return {Usual, Done.Key_, Done.PreferenceRank_, Done.CacheStateAtStart_};
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
    recordLoad(*Ended.Load_, Now);
  ServerAttemptOutcome Verdict = Ended.Outcome_;
  bool IsFailure = Verdict != ServerAttemptOutcome::Served;
  if (Verdict != ServerAttemptOutcome::Withdrawn)
    FailureShare_ += ((IsFailure ? 1 : 0) - FailureShare_) * FailureGain;
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
    BackoffUntil_ = std::max(BackoffUntil_, Now + RefusalRest);
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
  BackoffDelay_ = std::clamp(BackoffDelay_ * 2, FirstRest, LongestRest);
  BackoffUntil_ = Now + BackoffDelay_;
  IsProbing_ = true;
}

void ServerState::recordLoad(const LoadReport &Load, Time Now) {
  double Others = static_cast<double>(Load.Running_ + Load.Queued_) -
                  static_cast<double>(Attempts_.size());
  OtherVmLoad_ = getOtherVmLoad(Now);
  OtherVmLoad_ += (std::max(0.0, Others) - OtherVmLoad_) * ForeignGain;
  LoadReportedAt_ = Now;
  Interference_ = Load.Interference_;
}

double ServerState::getOtherVmLoad(Time Now) const {
  double Age = std::chrono::duration<double>(Now - LoadReportedAt_).count() /
               std::chrono::duration<double>(ForeignHalfLife).count();
  return OtherVmLoad_ * std::exp2(-Age);
}

double ServerState::getEstimatedLoad(Time Now) const {
  return static_cast<double>(Attempts_.size()) + getOtherVmLoad(Now);
}

double ServerState::getSlowness(Time Now) const {
  double Result = Slowness_ / std::max(0.2, 1 - FailureShare_);
  if (Now - LoadReportedAt_ < InterferenceLife)
    Result *= std::max(1.0, Interference_);
  return Result;
}

bool ServerState::isAvailable(Time Now) {
  if (Now < BackoffUntil_ || (IsProbing_ && !Attempts_.empty()))
    return false;
  if (isCold(Now) && (Now < Config_.ColdStartsFrom_ ||
                      !ColdStartLimiter_.canStart(Config_.ColdStartRate_, Now)))
    return false;
  return !isSilent(Now);
}

Duration ServerState::getExpectedWait(unsigned Planned, Time Now) const {
  constexpr double Rounding = 0.5; // Others' use is an estimate.
  double Over = getEstimatedLoad(Now) + Planned + 1 - Config_.Slots_;
  if (Over <= Rounding)
    return Duration(0);
  return scaleDuration(MeanServiceTime_, std::max(1.0, Over) / Config_.Slots_);
}

bool ServerState::isSilent(Time Now) const {
  unsigned Overdue = 0;
  for (const Attempt &A : Attempts_) {
    Duration Age = Now - A.Started_;
    if (LastResponse_ <= A.Started_ &&
        Age > std::max(A.Expected_ * SilentFactor / 2, SilentFloor))
      Overdue += Age > A.Expected_ * SilentFactor ? 2 : 1;
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
