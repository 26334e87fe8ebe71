/// \file peer_version_tracker.cpp Configuration versions that other entry VMs
/// have in force.
#include "process/peer_version_tracker_base.h"

#include <algorithm>

namespace cranberry {

void PeerVersionTracker::setInForce(uint64_t Version, Time Now) {
  InForce_ = Version;
  Confirmed_ = Now;
  Newer_.erase(Newer_.begin(), Newer_.upper_bound(Version));
}

void PeerVersionTracker::recordReport(uint64_t Version, Time Now) {
  if (Version == InForce_)
    recordConfirmation(Now);
  if (Version <= InForce_ || !Newer_.try_emplace(Version, Now).second)
    return;
  if (Newer_.size() > MaxVersions)
    Newer_.erase(Newer_.begin());
}

bool PeerVersionTracker::isBehind(Time Now) const {
  return std::any_of(Newer_.begin(), Newer_.end(), [Now](const auto &Each) {
    return Now - Each.second < MaxDoubt;
  });
}

bool PeerVersionTracker::isOverdue(Time Now, Duration Limit) const {
  return std::any_of(Newer_.begin(), Newer_.end(), [&](const auto &Each) {
    Duration Age = Now - Each.second;
    return Each.first > Unavailable_ && Age >= Limit && Age < MaxDoubt;
  });
}

void PeerVersionTracker::recordUnavailable(uint64_t Version) {
  Unavailable_ = std::max(Unavailable_, Version);
}

bool PeerVersionTracker::startFetch(uint64_t Version, Time Now) {
  if (Version <= InForce_ || Now - LastFetch_ < FetchInterval)
    return false;
  bool IsDue =
      std::any_of(Newer_.begin(), Newer_.end(), [Now](const auto &Each) {
        Duration Age = Now - Each.second;
        return Age >= FetchDelay && Age < MaxDoubt;
      });
  if (IsDue)
    LastFetch_ = Now;
  return IsDue;
}

bool PeerVersionTracker::startPoll(Time Now) {
  if (Now - LastFetch_ < FetchInterval)
    return false;
  LastFetch_ = Now;
  return true;
}

void PeerVersionTracker::recordConfirmation(Time Now) {
  Confirmed_ = std::max(Confirmed_, Now);
}

uint64_t PeerVersionTracker::getNewest() const {
  return Newer_.empty() ? InForce_ : Newer_.rbegin()->first;
}

} // namespace cranberry
