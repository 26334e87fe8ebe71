/// \file server_registry_base.h Registered backend servers.
#ifndef CRANBERRY_VERSION_SERVER_REGISTRY_BASE_H
#define CRANBERRY_VERSION_SERVER_REGISTRY_BASE_H

#include "version/server_record_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <set>
#include <vector>

namespace cranberry {

/// A server that can receive requests.
struct UsableServer {
  ServerRecord Record_; ///< Registration of the server.
  Time ColdUntil_;      ///< Expected end of its cold phase.
};

/// Classification of a change to the registrations.
enum class RegistryEffect : uint8_t {
  Expected, ///< Addition, update or announced removal.
  Lost,     ///< Removal of a server that was not draining.
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
  static constexpr Duration LapseGrace = milliseconds(2100);

  /// Replaces all registrations by those of a full listing of the store.
  void replaceAll(const std::vector<ServerRecord> &Records, Time Now);

  /// Applies a single change that the store reported.
  /// \return Whether the change was expected.
  RegistryEffect apply(const ServerChange &Change, Time Now);

  /// Called when the store becomes unavailable.
  void noteStoreLost();

  /// Called when the store is available again.
  void noteStoreRegained(Time Now);

  /// Sets the zones whose servers receive no new requests. Servers of a zone
  /// that is no longer evacuated count as cold for \p ColdDuration, unless
  /// their next records report a remaining cold time.
  void setEvacuated(const std::set<std::string> &Zones, Duration ColdDuration,
                    Time Now);

  /// Records that a server announced its shutdown, or that another instance
  /// responded at its address.
  void noteLeaving(const std::string &Id);

  /// Records that a server is cold until \p Until.
  void noteCold(const std::string &Id, Time Until);

  /// Removes expired entries whose grace period has ended.
  void tick(Time Now);

  /// \return Servers that can receive requests, in unspecified order.
  std::vector<UsableServer> getUsable() const;

  /// \return Version that increases with each change of getUsableServers().
  uint64_t getVersion() const { return Version_; }

  /// \return Whether a full listing of the store has been received.
  bool isKnown() const { return IsKnown_; }

  size_t getCount() const { return Entries_.size(); }

private:
  /// State of one registered server.
  struct Entry {
    ServerRecord Record_;        ///< Newest registration.
    Time ColdUntil_;             ///< Expected end of the cold phase.
    bool SaysLeaving_ = false;   ///< See recordLeaving().
    std::optional<Time> GoneAt_; ///< End of the grace period, once known.
    bool IsLapsed_ = false;      ///< Expired during an outage; still usable.
  };

  void store(const ServerRecord &Record, Time Now);

  /// Handles the loss of an entry in the store. During an outage and the grace
  /// period after it, the entry is only marked as expired.
  /// \return Whether the caller is to remove the entry.
  bool removeOrLapse(Entry &Lapsed, Time Now);

  absl::flat_hash_map<std::string, Entry> Entries_; ///< Entries by instance id.
  std::set<std::string> Evacuated_; ///< Zones without new requests.
  bool IsStoreLost_ = false;        ///< Whether the store is unavailable.
  std::optional<Time> RegainedAt_;  ///< End of the last outage.
  uint64_t Version_ = 0;            ///< See getVersion().
  bool IsKnown_ = false;            ///< See isLoaded().
};

} // namespace cranberry

#endif
