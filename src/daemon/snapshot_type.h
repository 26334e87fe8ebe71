/// \file snapshot_type.h What the traffic threads read of the control state.
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

/// One moment of the control state. Never changed after it is published.
struct Snapshot {
  ConfigurationPtr Config_ = std::make_shared<Configuration>(); ///< In force.
  MemberList Members_;       ///< Entry VMs that are not gone.
  uint64_t ViewVersion_ = 0; ///< Of who is a member, where, in what state.
  Member Self_;              ///< This entry VM.
  std::set<std::string> LeavingServers_; ///< Leaving by the platform's list.
  bool IsReady_ = false;                 ///< Whether a configuration came.

  /// \return Whether placing that was done for \p Before is still right.
  bool hasSamePlacement(const Snapshot &Before) const {
    return Config_ == Before.Config_ && ViewVersion_ == Before.ViewVersion_ &&
           LeavingServers_ == Before.LeavingServers_;
  }

  /// Orders the entry VMs for clients of a zone; computed once for each zone
  /// that is asked for.
  const std::vector<LookupEntry> &getEntryVms(const std::string &Zone) const {
    std::lock_guard Lock(Mutex_);
    auto [Found, IsNew] = EntryVms_.try_emplace(Zone);
    if (IsNew)
      Found->second = rankEntryVms(*Config_, Members_, Zone);
    return Found->second;
  }

  /// \return The member called \p Vm, or null.
  const Member *findMember(const std::string &Vm) const {
    for (const Member &M : Members_)
      if (M.Vm_ == Vm)
        return &M;
    return nullptr;
  }

private:
  mutable std::mutex Mutex_; ///< Guards EntryVms_.
  mutable std::map<std::string, std::vector<LookupEntry>>
      EntryVms_; ///< By zone; entries stay where they are.
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Hands the newest snapshot from the control thread to all others.
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
  mutable std::mutex Mutex_; ///< Held for a pointer's copy.
  SnapshotPtr Current_ = std::make_shared<Snapshot>(); ///< Newest.
};

} // namespace cranberry

#endif
