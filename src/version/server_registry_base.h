/// \file server_registry_base.h Registered backend servers.
#ifndef CRANBERRY_VERSION_SERVER_REGISTRY_BASE_H
#define CRANBERRY_VERSION_SERVER_REGISTRY_BASE_H

#include "version/server_record_type.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberry {

/// A server that can receive requests.
struct UsableServer {
  ServerRecord Record_; ///< Registration of the server.
  Time ColdUntil_;      ///< Expected end of its cold phase.
};

/// Classification of a change to the registrations.
enum class ServerChangeKind : uint8_t {
  Expected,          ///< Addition, update or announced removal.
  UnexpectedRemoval, ///< Removal of a server that was not draining.
};

/// Holds the newest registration of each backend server and determines which
/// servers are usable.
///
/// A registration that expires during a store outage does not prove that the
/// server has stopped. Such servers stay usable until ExpiryGracePeriod has
/// passed since the store was restored.
class ServerRegistry {
public:
  /// Running servers renew their registrations within 2 s after the store is
  /// restored.
  static constexpr Duration ExpiryGracePeriod = milliseconds(2100);

  /// Replaces all registrations by those of a full listing of the store.
  void applySnapshot(const std::vector<ServerRecord> &Records, Time Now);

  /// Applies a single change that the store reported.
  /// \return Whether the change was expected.
  ServerChangeKind applyChange(const ServerChange &Change, Time Now);

  /// Called when the store becomes unavailable.
  void onStoreLost();

  /// Called when the store is available again.
  void onStoreRestored(Time Now);

  /// Called when the store was restored from a copy that is some seconds old,
  /// before the first snapshot from it. Servers that the copy lacks are kept as
  /// after an outage, and entries that are older than what was known before are
  /// ignored until the servers have written them again.
  void onStoreRolledBack(Time Now);

  /// Sets the zones whose servers receive no new requests. Servers of a zone
  /// that is no longer evacuated count as cold for \p ColdDuration, unless
  /// their next records report a remaining cold time.
  void setEvacuatedZones(const std::set<std::string> &Zones,
                         Duration ColdDuration, Time Now);

  /// Records that a server announced its shutdown, or that another instance
  /// responded at its address. Neither a new listing nor a restored store makes
  /// it usable again, only an entry of a later start.
  /// \param StartTimeMs Start of the server that the request was meant for.
  /// \return Whether this is news.
  bool recordLeaving(const std::string &Id, int64_t StartTimeMs, Time Now);

  /// Records that a server is cold until \p Until.
  void recordCold(const std::string &Id, Time Until);

  /// Removes expired entries whose grace period has ended. Has to be called
  /// regularly.
  void removeExpired(Time Now);

  /// \return Servers that can receive requests, in unspecified order.
  std::vector<UsableServer> getUsableServers() const;

  /// \return Version that increases with each change of getUsableServers().
  uint64_t getVersion() const { return Version_; }

  /// \return Whether a full listing of the store has been received.
  bool isLoaded() const { return IsLoaded_; }

  size_t getServerCount() const { return Entries_.size(); }

private:
  /// State of one registered server.
  struct Entry {
    ServerRecord Record_;          ///< Newest registration.
    Time ColdUntil_;               ///< Expected end of the cold phase.
    std::optional<Time> RemoveAt_; ///< End of the grace period, once known.
    bool IsExpired_ = false;       ///< Expired during an outage; still usable.
  };

  /// Start of a server that is leaving, see recordLeaving().
  struct LeavingStart {
    int64_t StartTimeMs_; ///< Start time of the server.
    Time RecordedAt_;     ///< Time of the last report.
  };

  /// Newest registration of a server that was removed.
  struct RemovedEntry {
    int64_t StartTimeMs_; ///< Start time of the server.
    int64_t Sequence_;    ///< Number of the entry.
    Time RemovedAt_;      ///< Time of the removal.
  };

  void storeRecord(const ServerRecord &Record, Time Now);
  bool isOutdated(const ServerRecord &Record, Time Now) const;
  void recordRemoval(const Entry &Removed, Time Now);
  bool isLeaving(const ServerRecord &Record) const;

  /// Handles the loss of an entry in the store. During an outage and the grace
  /// period after it, the entry is only marked as expired.
  /// \return Whether the caller is to remove the entry.
  bool removeOrMarkExpired(Entry &Expired, Time Now);

  absl::flat_hash_map<std::string, Entry> Entries_; ///< Entries by instance id.
  /// Recently removed entries by instance id.
  std::map<std::string, RemovedEntry> Removed_;
  /// Leaving servers by instance id.
  std::map<std::string, LeavingStart> Leaving_;
  std::set<std::string> EvacuatedZones_; ///< Zones without new requests.
  bool IsStoreLost_ = false;             ///< Whether the store is unavailable.
  std::optional<Time> StoreRestoredAt_;  ///< End of the last outage.
  std::optional<Time> RolledBackAt_;     ///< Time of the last rollback.
  uint64_t Version_ = 0;                 ///< See getVersion().
  bool IsLoaded_ = false;                ///< See isLoaded().
};

} // namespace cranberry

#endif
