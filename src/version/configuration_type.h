/// \file configuration_type.h One immutable version of the configuration.
#ifndef CRANBERRY_VERSION_CONFIGURATION_TYPE_H
#define CRANBERRY_VERSION_CONFIGURATION_TYPE_H

#include "core/time_type.h"
#include "version/client_block_table_base.h"
#include "version/object_type.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cranberry {

/// Configuration of a service.
struct ServiceConfig {
  std::string Name_; ///< Unique name.
  std::set<std::string> RepeatableMethods_{
      "GET", "HEAD"};               ///< Methods that may be retried.
  Duration Deadline_ = seconds(10); ///< Default deadline of a request.
  unsigned MaxQueueLength_ = 256;   ///< Queue limit of one entry VM.
};

/// Configuration of a region.
struct RegionConfig {
  std::string Name_;      ///< Unique name.
  double Headroom_ = 0.1; ///< Share of slots reserved for local requests.
};

/// Configuration of an availability zone.
struct ZoneConfig {
  std::string Name_;         ///< Unique name.
  std::string Region_;       ///< Region that contains the zone.
  unsigned MaxEntryVms_ = 1; ///< Maximum entry VMs; divides link caps.
};

/// Backend servers of one service in one availability zone.
struct PoolConfig {
  std::string Service_;              ///< Name of the service.
  std::string Zone_;                 ///< Name of the availability zone.
  unsigned SlotsPerServer_ = 1;      ///< Concurrent requests per server.
  std::vector<std::string> Servers_; ///< "address:port" of each server.
};

/// Network link from one region to another, in one direction.
struct LinkConfig {
  std::string From_;          ///< Sending region.
  std::string To_;            ///< Receiving region.
  double BytesPerSecond_ = 0; ///< Bandwidth cap for all entry VMs.
  unsigned LatencyMs_ = 0;    ///< One-way latency; ranks regions.
};

/// Limit on the concurrent requests of a service in a region.
struct LimitConfig {
  std::string Region_;         ///< Name of the region.
  std::string Service_;        ///< Name of the service.
  unsigned MaxConcurrent_ = 0; ///< Maximum requests at backend servers.
};

/// An object that is not part of the configuration because it is invalid.
struct IgnoredObject {
  ObjectId Id_;        ///< Kind and name of the object.
  std::string Reason_; ///< Formatted reason; see formatReason().
};

/// Configuration at one revision of the object store. Immutable once built.
struct Configuration {
  Revision Revision_ = 0;                ///< Revision of the object store.
  std::vector<ServiceConfig> Services_;  ///< Services, ordered by name.
  std::vector<RegionConfig> Regions_;    ///< Regions, ordered by name.
  std::vector<ZoneConfig> Zones_;        ///< Zones by name; see ZoneIndex.
  std::vector<PoolConfig> Pools_;        ///< Pools, ordered by object name.
  std::vector<LinkConfig> Links_;        ///< Links, ordered by object name.
  std::vector<LimitConfig> Limits_;      ///< Limits, ordered by object name.
  std::set<std::string> DrainedServers_; ///< "address:port" of drained servers.
  std::set<std::string> DrainedVms_;     ///< Names of drained entry VMs.
  ClientBlockTable ClientBlocks_;        ///< Home zones of clients.
  std::vector<IgnoredObject> IgnoredObjects_; ///< Objects that were skipped.

  /// \return The entry with the given name, or null if there is none.
  const ServiceConfig *findService(const std::string &Name) const;
  const RegionConfig *findRegion(const std::string &Name) const;
  const ZoneConfig *findZone(const std::string &Name) const;

  /// \return The link from region \p From to region \p To, or null.
  const LinkConfig *findLink(const std::string &From,
                             const std::string &To) const;

  /// \return The limit of \p Service in \p Region, or null.
  const LimitConfig *findLimit(const std::string &Region,
                               const std::string &Service) const;

  /// \return Total slots of the servers of \p Service in \p Region.
  unsigned getSlotCount(const std::string &Service,
                        const std::string &Region) const;

  /// \return Maximum number of entry VMs in the zones of \p Region.
  unsigned getEntryVmCount(const std::string &Region) const;
};

/// Configuration shared by all threads that serve traffic.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace cranberry

#endif
