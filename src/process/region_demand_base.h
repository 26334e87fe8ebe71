/// \file region_demand_base.h Demand of regions as entry VMs report it.
#ifndef CRANBERRY_PROCESS_REGION_DEMAND_BASE_H
#define CRANBERRY_PROCESS_REGION_DEMAND_BASE_H

#include "core/time_type.h"
#include "process/member_type.h"

#include <map>
#include <optional>
#include <string>

namespace cranberry {

/// Adds up the demand that entry VMs report with their heartbeats. Each VM
/// hears from every other one within a round of heartbeats; before the first
/// round is complete, the demand counts as unknown.
class RegionDemand {
public:
  /// Demand in slots, by region.
  using ByRegion = std::map<std::string, double>;

  /// \param Round Duration of a round of heartbeats.
  void update(const MemberList &Vms, Duration Round, Time Now);

  /// \return Demand for \p Service, or std::nullopt if it is unknown.
  std::optional<ByRegion> get(const std::string &Service) const;

private:
  /// Demand for a service.
  struct ServiceTotal {
    Time KnownFrom_;   ///< End of the first round.
    ByRegion Regions_; ///< Demand by region.
  };

  std::map<std::string, ServiceTotal> Services_; ///< By service.
  Time UpdatedAt_;                               ///< Time of the last update.
};

} // namespace cranberry

#endif
