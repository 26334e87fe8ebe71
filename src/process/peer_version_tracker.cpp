/// \file peer_version_tracker.cpp Configuration versions that other entry VMs
/// have in force.
#include "process/peer_version_tracker_base.h"

#include <algorithm>

namespace cranberry {

void PeerVersionTracker::setInForce(uint64_t Version, Time AsOf) {
  InForce_ = Version;
  Confirmed_ = AsOf;
  Answered_ = Never;
  Newer_.erase(Newer_.begin(), Newer_.upper_bound(Version));
}

void PeerVersionTracker::recordReport(uint64_t Version, Time Now) {
  if (Version <= InForce_ || !Newer_.try_emplace(Version, Report{Now}).second)
    return;
  if (Newer_.size() > MaxVersions)
    Newer_.erase(Newer_.begin());
}

bool PeerVersionTracker::isBehind(Time Now) const {
  return std::any_of(Newer_.begin(), Newer_.end(), [Now](const auto &Each) {
    return Now - Each.second.First_ < MaxDoubt;
  });
}

bool PeerVersionTracker::isNewerKnown() const {
  return std::any_of(Newer_.begin(), Newer_.end(), [](const auto &Each) {
    return !Each.second.IsUnavailable_;
  });
}

bool PeerVersionTracker::isOverdue(Time Now, Duration Limit) const {
  return std::any_of(Newer_.begin(), Newer_.end(), [&](const auto &Each) {
    Duration Age = Now - Each.second.First_;
    return !Each.second.IsUnavailable_ && Age >= Limit && Age < MaxDoubt;
  });
}

void PeerVersionTracker::recordUnavailable(uint64_t Version) {
  if (auto Found = Newer_.find(Version); Found != Newer_.end())
    Found->second.IsUnavailable_ = true;
}

bool PeerVersionTracker::startFetch(uint64_t Version, Time Now) {
  if (Version <= InForce_ || Now - LastFetch_ < FetchInterval)
    return false;
  bool IsDue =
      std::any_of(Newer_.begin(), Newer_.end(), [Now](const auto &Each) {
        Duration Age = Now - Each.second.First_;
        return Age >= FetchDelay && Age < MaxDoubt;
      });
  if (IsDue)
    LastFetch_ = Now;
  return IsDue;
}

bool PeerVersionTracker::startPoll(Time Now) {
  if (Now - LastPoll_ < FetchInterval)
    return false;
  LastPoll_ = Now;
  return true;
}

void PeerVersionTracker::recordConfirmation(uint64_t Version, Time AsOf) {
  if (Version == InForce_ && !isOverdue(AsOf, Duration(0)))
    Confirmed_ = std::max(Confirmed_, AsOf);
}

void PeerVersionTracker::recordAnswer(uint64_t Version, Time Asked) {
  if (Version == InForce_)
    Answered_ = std::max(Answered_, Asked);
}

uint64_t PeerVersionTracker::getNewest() const {
  return Newer_.empty() ? InForce_ : Newer_.rbegin()->first;
}

} // namespace cranberry
