/// \file balanced_server.cpp Load, speed and health of one backend server.
#include "request/balanced_server_base.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Weights of a new sample in the exponential moving averages.
constexpr double SlownessGain = 0.1;
constexpr double FailureGain = 0.15;
constexpr double ForeignGain = 0.5;
constexpr double MeanGain = 0.1;

/// Bounds the ratio of one attempt, so that a straggler does not dominate.
constexpr double MaxRatio = 2;
constexpr double MinRatio = 0.5;

/// Range of the smoothed slowness.
constexpr double MaxSlowness = 8;
constexpr double MinSlowness = 0.5;

/// How long reported interference counts; bursts last a few hundred
/// milliseconds.
constexpr Duration InterferenceLife = milliseconds(300);

/// Half-life of the load of other VMs between load reports.
constexpr Duration ForeignHalfLife = milliseconds(1000);

/// Backoff after a server was unreachable or lost a request.
constexpr Duration FirstRest = milliseconds(100);
constexpr Duration LongestRest = milliseconds(1600);

/// Backoff after a refusal; about the time until a slot becomes free.
constexpr Duration RefusalRest = milliseconds(40);

/// An attempt is overdue after this many times its expected time.
constexpr int SilentFactor = 5;
constexpr Duration SilentFloor = milliseconds(250);

} // namespace

void ServerState::setConfig(BalancedServer Config) {
  if (Config.BornMs_ != Config_.BornMs_) {
    // The server restarted: estimates for the previous process are void.
    Warm_.clear();
    Foreign_ = 0;
    Slowness_ = 1;
    FailureShare_ = 0;
    RestUntil_ = Time();
    Rest_ = Duration(0);
    IsOnTrial_ = false;
  }
  Config.ColdUntil_ = std::max(Config.ColdUntil_, Config_.ColdUntil_);
  Config_ = std::move(Config);
}

void ServerState::noteCold(Time Until) {
  Config_.ColdUntil_ = std::max(Config_.ColdUntil_, Until);
}

void ServerState::start(FlowIndex Flow, uint64_t Key, unsigned HomeRank,
                        Duration Expected, Time Now) {
  Attempts_.push_back({Flow, Now, Expected, Key, HomeRank, Warm_.get(Key)});
  Warm_.touch(Key);
  ColdGate_.noteStart(Now);
}

WorkSample ServerState::noteServed(const Attempt &Done, Duration Ran,
                                   const WorkEstimate &Work) {
  double Ratio =
      static_cast<double>(Ran.count()) /
      std::max<double>(1, static_cast<double>(Done.Expected_.count()));
  Slowness_ *= 1 + (std::clamp(Ratio, MinRatio, MaxRatio) - 1) * SlownessGain;
  Slowness_ = std::clamp(Slowness_, MinSlowness, MaxSlowness);
  Duration AtServer = std::max(Ran - Config_.RoundTrip_, Duration(1));
  MeanWork_ += scale(AtServer - MeanWork_, MeanGain);
  Duration Usual = scale(AtServer, 1 / std::max(1.0, Interference_));
  Warm_.learn(Done.Before_, Work.isFast(Usual));
  return {Usual, Done.Key_, Done.HomeRank_, Done.Before_};
}

std::optional<WorkSample> ServerState::end(const EndedAttempt &Ended,
                                           const WorkEstimate &Work, Time Now) {
  auto Found = std::find_if(
      Attempts_.begin(), Attempts_.end(),
      [&Ended](const Attempt &A) { return A.Flow_ == Ended.Flow_; });
  if (Found == Attempts_.end())
    return std::nullopt;
  Attempt Done = *Found;
  Attempts_.erase(Found);
  if (Ended.Load_)
    noteLoad(*Ended.Load_, Now);
  ServerVerdict Verdict = Ended.Verdict_;
  bool IsFailure = Verdict != ServerVerdict::Served;
  if (Verdict != ServerVerdict::Withdrawn)
    FailureShare_ += ((IsFailure ? 1 : 0) - FailureShare_) * FailureGain;
  switch (Verdict) {
  case ServerVerdict::Served:
  case ServerVerdict::Failed:
    LastAnswer_ = Now;
    Rest_ = Duration(0);
    IsOnTrial_ = false;
    if (!IsFailure)
      return noteServed(Done, Ended.Ran_, Work);
    break;
  case ServerVerdict::Refused:
    LastAnswer_ = Now;
    RestUntil_ = std::max(RestUntil_, Now + RefusalRest);
    break;
  case ServerVerdict::Lost:
    if (isSilent(Now) || Now - LastAnswer_ > seconds(1))
      rest(Now);
    break;
  case ServerVerdict::Unreachable:
    rest(Now);
    break;
  case ServerVerdict::Withdrawn:
    break;
  }
  return std::nullopt;
}

void ServerState::rest(Time Now) {
  if (Now < RestUntil_)
    return;
  Rest_ = std::clamp(Rest_ * 2, FirstRest, LongestRest);
  RestUntil_ = Now + Rest_;
  IsOnTrial_ = true;
}

void ServerState::noteLoad(const LoadReport &Load, Time Now) {
  double Others = static_cast<double>(Load.Running_ + Load.Queued_) -
                  static_cast<double>(Attempts_.size());
  Foreign_ = getForeign(Now);
  Foreign_ += (std::max(0.0, Others) - Foreign_) * ForeignGain;
  ForeignAt_ = Now;
  Interference_ = Load.Interference_;
}

double ServerState::getForeign(Time Now) const {
  double Age = std::chrono::duration<double>(Now - ForeignAt_).count() /
               std::chrono::duration<double>(ForeignHalfLife).count();
  return Foreign_ * std::exp2(-Age);
}

double ServerState::getBusy(Time Now) const {
  return static_cast<double>(Attempts_.size()) + getForeign(Now);
}

double ServerState::getSlowness(Time Now) const {
  double Result = Slowness_ / std::max(0.2, 1 - FailureShare_);
  if (Now - ForeignAt_ < InterferenceLife)
    Result *= std::max(1.0, Interference_);
  return Result;
}

bool ServerState::isAvailable(Time Now) {
  if (Now < RestUntil_ || (IsOnTrial_ && !Attempts_.empty()))
    return false;
  if (isCold(Now) &&
      (Now < Config_.ColdFrom_ || !ColdGate_.hasRoom(Config_.ColdRate_, Now)))
    return false;
  return !isSilent(Now);
}

Duration ServerState::getWait(unsigned Planned, Time Now) const {
  constexpr double Rounding = 0.5; // The load of other VMs is an estimate.
  double Over = getBusy(Now) + Planned + 1 - Config_.Slots_;
  if (Over <= Rounding)
    return Duration(0);
  return scale(MeanWork_, std::max(1.0, Over) / Config_.Slots_);
}

bool ServerState::isSilent(Time Now) const {
  unsigned Overdue = 0;
  for (const Attempt &A : Attempts_) {
    Duration Age = Now - A.Started_;
    if (LastAnswer_ <= A.Started_ &&
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
