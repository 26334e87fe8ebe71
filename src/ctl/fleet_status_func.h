/// \file fleet_status_func.h Aggregates the status of all entry VMs.
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

/// Status of one entry VM.
struct VmSummary {
  std::string Vm_;            ///< Name of the entry VM.
  std::string Region_;        ///< Region that it runs in.
  std::string Zone_;          ///< Availability zone.
  std::string State_;         ///< Membership state, or "no answer".
  uint64_t Version_ = 0;      ///< Active configuration version.
  unsigned OpenRequests_ = 0; ///< Requests in progress on the VM.
};

/// Slot usage of a service in a region, in slots and requests.
struct RegionSummary {
  unsigned InUse_ = 0;  ///< Slots occupied by attempts.
  unsigned Usable_ = 0; ///< Slots available to attempts, occupied or not.
  unsigned Queued_ = 0; ///< Requests waiting in a queue.
};

/// Status of one backend server.
struct ServerSummary {
  std::string Service_;     ///< Service that it belongs to.
  unsigned InUse_ = 0;      ///< Attempts in progress.
  bool IsDraining_ = false; ///< Whether it gets no new requests.
};

/// Aggregated status of all entry VMs.
struct FleetStatus {
  std::vector<VmSummary>
      Vms_; ///< Entry VMs, in the order listed by the queried VM.
  std::map<std::pair<std::string, std::string>, RegionSummary>
      Regions_;                                  ///< By region and service.
  std::map<std::string, ServerSummary> Servers_; ///< By address.
  std::set<std::string> Drains_;   ///< Servers and VMs that are draining.
  std::set<std::string> Problems_; ///< Problems reported by any VM.
};

/// Fetches the status of \p Endpoint and of every entry VM that it knows.
/// \return Nothing if \p Endpoint does not respond.
std::optional<FleetStatus> fetchFleetStatus(const std::string &Endpoint);

/// Serializes the status for --output json.
nlohmann::json toJson(const FleetStatus &Fleet);

/// \return Attempts in progress at a draining server; nothing if it is unknown
/// or not draining.
std::optional<unsigned> countServerAttempts(const FleetStatus &Fleet,
                                            const std::string &Server);

/// \return Requests in progress on a draining entry VM; nothing if it does not
/// respond or is not draining.
std::optional<unsigned> countVmRequests(const FleetStatus &Fleet,
                                        const std::string &Vm);

} // namespace cranberry

#endif
