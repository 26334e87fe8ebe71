/// \file server_registry_base.h Backend servers that may be given work.
#ifndef CRANBERRY_VERSION_SERVER_REGISTRY_BASE_H
#define CRANBERRY_VERSION_SERVER_REGISTRY_BASE_H

#include "version/server_record_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <set>
#include <vector>

namespace cranberry {

/// A server that may be given work.
struct UsableServer {
  ServerRecord Record_; ///< Record.
  Time ColdUntil_;      ///< End of its cold phase, as far as is known.
};

/// What a change meant.
enum class ServerChangeKind : uint8_t {
  Expected,          ///< A server came, changed, or left as it had announced.
  UnexpectedRemoval, ///< A server's entry went away unannounced.
};

/// Keeps the newest record of each backend server and tells which may be used.
///
/// An entry that lapses while the store is away does not prove that its server
/// has ended: such servers stay usable until the store has been back for
/// LapseGrace.
class ServerRegistry {
public:
  /// Entries of live servers are back within 2 s of the store's return.
  static constexpr Duration ExpiryGracePeriod = milliseconds(2100);

  /// The store told all entries.
  void applySnapshot(const std::vector<ServerRecord> &Records, Time Now);

  /// The store told one change.
  ServerChangeKind applyChange(const ServerChange &Change, Time Now);

  /// The store has stopped answering, or answers again.
  void onStoreLost();
  void onStoreRestored(Time Now);

  /// Zones whose servers get no new work. Servers of a zone that is taken
  /// back count as cold for \p ColdDuration, until their next reports.
  void setEvacuatedZones(const std::set<std::string> &Zones,
                         Duration ColdDuration, Time Now);

  /// A server said that it is leaving, or another one answered at its address.
  void recordLeaving(const std::string &Id);

  /// A server was found to be cold.
  void recordCold(const std::string &Id, Time Until);

  /// Drops entries whose grace has ended.
  void removeExpired(Time Now);

  /// \return Servers that may be given work, in no order.
  std::vector<UsableServer> getUsableServers() const;

  /// \return Grows with each change of getUsable().
  uint64_t getVersion() const { return Version_; }

  /// \return Whether the store was read at least once.
  bool isLoaded() const { return IsLoaded_; }

  size_t getServerCount() const { return Entries_.size(); }

private:
  struct Entry {
    ServerRecord Record_;          ///< Newest record.
    Time ColdUntil_;               ///< See UsableServer.
    bool IsLeaving_ = false;       ///< See noteLeaving().
    std::optional<Time> RemoveAt_; ///< Entry lapsed; end of its grace.
    bool IsExpired_ = false;       ///< Entry lapsed while the store was away.
  };

  void storeRecord(const ServerRecord &Record, Time Now);
  bool removeOrMarkExpired(Entry &Lapsed, Time Now);

  absl::flat_hash_map<std::string, Entry> Entries_; ///< By instance.
  std::set<std::string> EvacuatedZones_;            ///< Zones.
  bool IsStoreLost_ = false;            ///< Between lost and regained.
  std::optional<Time> StoreRestoredAt_; ///< Last return of the store.
  uint64_t Version_ = 0;                ///< See getVersion().
  bool IsLoaded_ = false;               ///< See isKnown().
};

} // namespace cranberry

#endif
