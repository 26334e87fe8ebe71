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

/// A service as operators declared it.
struct ServiceConfig {
  std::string Name_;                                       ///< Name.
  std::set<std::string> RepeatableMethods_{"GET", "HEAD"}; ///< Idempotent.
  Duration Deadline_ = seconds(10); ///< Deadline when the caller gives none.
  unsigned MaxQueueLength_ = 256;   ///< Most requests that wait on one VM.
};

/// A region.
struct RegionConfig {
  std::string Name_;      ///< Name.
  double Headroom_ = 0.1; ///< Share of slots kept from other regions' work.
};

/// An availability zone.
struct ZoneConfig {
  std::string Name_;         ///< Name.
  std::string Region_;       ///< Region that it belongs to.
  unsigned MaxEntryVms_ = 1; ///< Most entry VMs; divides shares of link caps.
};

/// Backend servers of one service in one availability zone.
struct PoolConfig {
  std::string Service_;              ///< Service.
  std::string Zone_;                 ///< Availability zone.
  unsigned SlotsPerServer_ = 1;      ///< Concurrent requests a server runs.
  std::vector<std::string> Servers_; ///< "address:port" of each server.
};

/// One direction between two regions.
struct LinkConfig {
  std::string From_;          ///< Sending region.
  std::string To_;            ///< Receiving region.
  double BytesPerSecond_ = 0; ///< Cap on all traffic of ours.
  unsigned LatencyMs_ = 0;    ///< One-way latency, to order regions.
};

/// Most concurrent requests of a service in a region.
struct LimitConfig {
  std::string Region_;         ///< Region.
  std::string Service_;        ///< Service.
  unsigned MaxConcurrent_ = 0; ///< Most requests at backend servers.
};

/// An object that could not be used in this version.
struct IgnoredObject {
  ObjectId Id_;        ///< Object.
  std::string Reason_; ///< Code, field and text.
};

/// Everything derived from one revision. Never changed after it is built.
struct Configuration {
  Revision Revision_ = 0;                ///< Revision it was built from.
  std::vector<ServiceConfig> Services_;  ///< Services by name.
  std::vector<RegionConfig> Regions_;    ///< Regions by name.
  std::vector<ZoneConfig> Zones_;        ///< Zones by name; ZoneIndex counts.
  std::vector<PoolConfig> Pools_;        ///< Pools by name.
  std::vector<LinkConfig> Links_;        ///< Links by name.
  std::vector<LimitConfig> Limits_;      ///< Limits by name.
  std::set<std::string> DrainedServers_; ///< "address:port" under drain.
  std::set<std::string> DrainedVms_;     ///< Entry VMs under drain.
  ClientBlockTable ClientBlocks_;        ///< Client blocks.
  std::vector<IgnoredObject> IgnoredObjects_; ///< What could not be used.

  const ServiceConfig *findService(const std::string &Name) const;
  const RegionConfig *findRegion(const std::string &Name) const;
  const ZoneConfig *findZone(const std::string &Name) const;
  const LinkConfig *findLink(const std::string &From,
                             const std::string &To) const;
  const LimitConfig *findLimit(const std::string &Region,
                               const std::string &Service) const;

  /// \return Slots of \p Service in the zones of \p Region.
  unsigned getSlotCount(const std::string &Service,
                        const std::string &Region) const;

  /// \return Number of entry VMs that the zones of \p Region may have.
  unsigned getEntryVmCount(const std::string &Region) const;
};

/// Shared by all threads that serve traffic.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace cranberry

#endif
