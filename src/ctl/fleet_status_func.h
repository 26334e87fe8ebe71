/// \file fleet_status_func.h Status of all entry VMs, put together.
#ifndef CRANBERRY_CTL_FLEET_STATUS_FUNC_H
#define CRANBERRY_CTL_FLEET_STATUS_FUNC_H

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cranberry {

/// One entry VM's line.
struct VmSummary {
  std::string Vm_;            ///< Name.
  std::string Region_;        ///< Region.
  std::string Zone_;          ///< Availability zone.
  std::string State_;         ///< State as its peers see it, or "no answer".
  uint64_t Version_ = 0;      ///< Configuration in force.
  unsigned OpenRequests_ = 0; ///< Requests that have not ended there.
};

/// Slots of a service in a region.
struct RegionSummary {
  unsigned InUse_ = 0;  ///< Slots in use.
  unsigned Usable_ = 0; ///< Slots that may be used.
  unsigned Queued_ = 0; ///< Requests that wait.
};

/// A backend server's line.
struct ServerSummary {
  std::string Service_;     ///< Service.
  unsigned InUse_ = 0;      ///< Attempts running.
  bool IsDraining_ = false; ///< Whether it gets no new work.
};

/// What every entry VM says, put together.
struct FleetStatus {
  std::vector<VmSummary> Vms_; ///< Entry VMs by name.
  std::map<std::pair<std::string, std::string>, RegionSummary>
      Regions_;                                  ///< By region and service.
  std::map<std::string, ServerSummary> Servers_; ///< By address.
  std::set<std::string> Drains_;                 ///< What is under drain.
  std::set<std::string> Problems_;               ///< What to look at.
};

/// Asks \p Endpoint, and every entry VM that it knows, for its status.
/// \return Nothing if \p Endpoint does not answer.
std::optional<FleetStatus> fetchFleetStatus(const std::string &Endpoint);

nlohmann::json toJson(const FleetStatus &Fleet);

/// \return Attempts at a server once it takes no new work; nothing before.
std::optional<unsigned> countServerAttempts(const FleetStatus &Fleet,
                                            const std::string &Server);

/// \return Requests open at an entry VM; nothing if it does not answer.
std::optional<unsigned> countVmRequests(const FleetStatus &Fleet,
                                        const std::string &Vm);

} // namespace cranberry

#endif
