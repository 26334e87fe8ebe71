/// \file snapshot_type.h Immutable snapshots of the control state.
#ifndef CRANBERRY_DAEMON_SNAPSHOT_TYPE_H
#define CRANBERRY_DAEMON_SNAPSHOT_TYPE_H

#include "process/member_type.h"
#include "process/placement_func.h"
#include "version/configuration_type.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace cranberry {

/// Control state at one point in time. Immutable once it is published.
struct Snapshot {
  ConfigurationPtr Config_ = std::make_shared<Configuration>(); ///< Active.
  MemberList Members_;       ///< Entry VMs that are not gone.
  uint64_t ViewVersion_ = 0; ///< Version of members, places and states.
  Member Self_;              ///< This entry VM.
  std::set<std::string> LeavingServers_; ///< As listed by the platform.
  bool IsReady_ = false; ///< Whether this VM may serve requests.

  /// \return Whether a placement computed for \p Before is still valid.
  bool hasSamePlacement(const Snapshot &Before) const {
    return Config_ == Before.Config_ && ViewVersion_ == Before.ViewVersion_ &&
           LeavingServers_ == Before.LeavingServers_;
  }

  /// \return Entry VMs for clients of a zone, in order of preference. Computed
  /// at the first call for each zone.
  const std::vector<LookupEntry> &getEntryVms(const std::string &Zone) const {
    std::lock_guard Lock(Mutex_);
    auto [Found, IsNew] = EntryVms_.try_emplace(Zone);
    if (IsNew)
      Found->second = rankEntryVms(*Config_, Members_, Zone);
    return Found->second;
  }

  /// \return The member named \p Vm, or null.
  const Member *findMember(const std::string &Vm) const {
    for (const Member &M : Members_)
      if (M.Vm_ == Vm)
        return &M;
    return nullptr;
  }

private:
  mutable std::mutex Mutex_; ///< Guards EntryVms_.
  mutable std::map<std::string, std::vector<LookupEntry>>
      EntryVms_; ///< By zone; references to entries stay valid.
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Passes the latest snapshot from the control thread to all other threads.
class SnapshotHolder {
public:
  SnapshotPtr get() const {
    std::lock_guard Lock(Mutex_);
    return Current_;
  }

  void set(SnapshotPtr Next) {
    std::lock_guard Lock(Mutex_);
    Current_.swap(Next);
  }

private:
  mutable std::mutex Mutex_; ///< Guards the pointer, not its target.
  SnapshotPtr Current_ = std::make_shared<Snapshot>(); ///< Latest snapshot.
};

} // namespace cranberry

#endif
