/// \file store_source_selector.cpp Selects a VM's source of store updates over
/// time.
#include "process/store_source_selector_base.h"

#include "core/duration_func.h"

#include <algorithm>

namespace cranberry {

namespace {

/// After a VM gave no answer as a source of store updates, others are used for
/// this long. By then it is suspect or has recovered.
constexpr Duration SilentDelay = seconds(3);

/// If no other VM could read the store, they are asked again after this time.
constexpr Duration BehindDelay = seconds(1);

/// The same if updates come from a substitute. Each attempt interrupts them.
constexpr Duration SubstituteDuration = seconds(10);

/// Longest time in which all VMs that may be asked answer that they can't read
/// the store.
constexpr Duration MaxAskDuration = seconds(2);

/// Mean interval between attempts at the store by any of the VMs of a zone
/// whose readers can't read it.
constexpr Duration ProbeInterval = seconds(1);

/// How long a VM reads the store in such an attempt.
constexpr Duration ProbeDuration = seconds(2);

/// A VM reads the store for this long after another one has asked it to.
constexpr Duration WantedDuration = seconds(5);

/// A VM that can't read the store follows another one for this long before it
/// tries the store again. Each attempt takes up to a second without updates.
constexpr Duration FallbackDuration = seconds(10);

/// Share of the bound after which each VM tries the store once if nobody is
/// known to have read it. The store may serve VMs that no other one asks.
constexpr double AttemptAgeShare = 0.6;

/// Share of the bound over which these attempts are spread.
constexpr double AttemptWindowShare = 0.15;

/// Time that the store has to respond in such an attempt of a VM whose last
/// read has failed.
constexpr Duration AttemptDuration = milliseconds(600);

} // namespace

StoreSourceSelector::StoreSourceSelector(uint64_t Seed)
    : Random_(Seed), AttemptDelayShare_(std::uniform_real_distribution<>(
                         0, AttemptWindowShare)(Random_)) {}

void StoreSourceSelector::recordFailure(const std::string &Peer, bool IsBehind,
                                        Time Now) {
  if (IsBehind) {
    Behind_.insert(Peer);
    LastBehindTime_ = Now;
  } else {
    Silent_[Peer] = Now + SilentDelay;
  }
}

void StoreSourceSelector::recordRequest(Time Now) {
  WantedUntil_ = Now + WantedDuration;
}

StoreSourceTarget StoreSourceSelector::select(MemberList Members,
                                              const Member &Self,
                                              const StoreSourceStatus &Status,
                                              Time Now) {
  if (Status.IsStoreUnavailable_) {
    if (Now >= EarlierFailureUntil_)
      FallbackUntil_ = Now + FallbackDuration;
  } else if (Status.Source_ == StoreSource::Store) {
    FallbackUntil_ = Time();
    LastStoreReadTime_ = Now;
  }
  forgetFailures(Now);
  // A source that answers is kept although others suspect it. A suspicion may
  // mean no more than a late heartbeat, and a zone that changes its reader then
  // loads both.
  if (Status.Source_ == StoreSource::Vm)
    for (Member &Vm : Members)
      if (Vm.PeerAddress_ == Status.Peer_ && Vm.State_ == MemberState::Suspect)
        Vm.State_ = MemberState::Alive;
  if (Status.Source_ == StoreSource::Store)
    LastAttempt_ = Now;
  if (isAttemptDue(Status, Now)) {
    LastAttempt_ = Now;
    if (Status.IsStoreUnavailable_)
      EarlierFailureUntil_ = Now + AttemptDuration;
    FallbackUntil_ = Time();
    WantedUntil_ = Now + ProbeDuration;
  }
  StoreSourceChoice Choice = selectSource(Members, Self, Now);
  // Some VMs may be able to read the store although the readers can't.
  bool CanRead =
      !Status.IsStoreUnavailable_ && Now - LastStoreReadTime_ < MaxAskDuration;
  if (Choice.Source_ == StoreSource::None &&
      (CanRead || drawProbe(Members, Self))) {
    Choice = {StoreSource::Store, nullptr, true};
    WantedUntil_ = Now + ProbeDuration;
  }
  HasSubstitute_ = Choice.IsSubstitute_;
  return {Choice.Source_, Choice.Vm_ ? Choice.Vm_->PeerAddress_ : std::string(),
          Now < FallbackUntil_};
}

void StoreSourceSelector::forgetFailures(Time Now) {
  std::erase_if(Silent_,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  Duration Delay = HasSubstitute_ ? SubstituteDuration : BehindDelay;
  if (Now - LastBehindTime_ >= Delay)
    Behind_.clear();
}

StoreSourceChoice StoreSourceSelector::selectSource(const MemberList &Members,
                                                    const Member &Self,
                                                    Time Now) const {
  bool IsStoreLost = Now < FallbackUntil_;
  if (!IsStoreLost && Now < WantedUntil_)
    return {StoreSource::Store, nullptr, HasSubstitute_};
  FailedReaders Failed;
  for (const auto &[Peer, Until] : Silent_)
    Failed.Silent_.insert(Peer);
  Failed.Behind_ = Behind_;
  return selectStoreSource(Members, Self, IsStoreLost, Failed);
}

bool StoreSourceSelector::isAttemptDue(const StoreSourceStatus &Status,
                                       Time Now) const {
  Duration Pause = std::min(Status.ConfirmationAge_, FallbackDuration);
  return Bound_ > Duration(0) && Now - LastAttempt_ > Pause &&
         Status.ConfirmationAge_ >=
             scaleDuration(Bound_, AttemptAgeShare + AttemptDelayShare_);
}

bool StoreSourceSelector::drawProbe(const MemberList &Members,
                                    const Member &Self) {
  auto InZone = static_cast<double>(
      std::count_if(Members.begin(), Members.end(), [&Self](const Member &Vm) {
        return Vm.Zone_ == Self.Zone_;
      }));
  double Calls = static_cast<double>(ProbeInterval / Period);
  return std::bernoulli_distribution(1 /
                                     (Calls * std::max(InZone, 1.0)))(Random_);
}

} // namespace cranberry
