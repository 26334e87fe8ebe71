/// \file routed_fleet_base.h Entry VM processes with stand-ins.
#ifndef CRANBERRY_STANDIN_ROUTED_FLEET_BASE_H
#define CRANBERRY_STANDIN_ROUTED_FLEET_BASE_H

#include "standin/child_process_base.h"
#include "standin/link_base.h"
#include "standin/object_store_base.h"
#include "standin/reserved_port_base.h"
#include "standin/routed_server_base.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberry::standin {

/// One entry VM: a daemon process that can be restarted, and the links to and
/// from it.
struct FleetVm {
  std::string Name_;                      ///< VM name.
  std::string Zone_;                      ///< Availability zone.
  ReservedPort Http_;                     ///< Port for client requests.
  ReservedPort Readiness_;                ///< Port for readiness checks.
  ReservedPort Directory_;                ///< Port for lookups.
  ReservedPort Peer_;                     ///< Port for peers.
  std::unique_ptr<Link> FrontLink_;       ///< Link from clients.
  std::unique_ptr<Link> PeerLink_;        ///< Link from peers.
  std::unique_ptr<Link> StoreLink_;       ///< Link to the object store.
  std::unique_ptr<ChildProcess> Process_; ///< Daemon; null before start().
};

/// One backend server and the link from entry VMs to it.
struct FleetServer {
  std::string Service_;                  ///< Service name.
  std::string Zone_;                     ///< Availability zone.
  std::unique_ptr<RoutedServer> Server_; ///< Backend server stand-in.
  std::unique_ptr<Link> Link_;           ///< Link from entry VMs.
};

/// Size and layout of a fleet.
struct FleetPlan {
  std::vector<std::string> VmZones_;  ///< Availability zone of each entry VM.
  std::vector<std::string> Services_; ///< Service names.
  unsigned ServersPerZone_ = 2;       ///< Backend servers per service and zone.
  unsigned Slots_ = 4;                ///< Concurrent requests per server.
  Duration ServiceTime_ = milliseconds(20); ///< Service time of each request.
};

/// Runs entry VM daemons against an object store and backend servers, with a
/// link on every path. Availability zones are named "region-letter".
class RoutedFleet {
public:
  /// \param Daemon Path of the daemon executable.
  /// \param Directory Directory for settings files and logs.
  RoutedFleet(const FleetPlan &Plan, std::string Daemon, std::string Directory);

  /// Starts the daemon of an entry VM.
  void start(size_t Vm);

  /// Rewrites an entry VM's settings file with \p Keys replaced.
  void changeSettings(size_t Vm, const nlohmann::json &Keys);

  /// Waits until an entry VM reports that it is ready.
  /// \return False on timeout.
  bool waitReady(size_t Vm, Duration Limit);

  /// Publishes the next configuration version with the given routes.
  /// \param Workspaces Workspaces, or null for a configuration without any.
  /// \return Version number.
  unsigned configure(const nlohmann::json &Routes,
                     const nlohmann::json &Workspaces = nullptr);

  /// Loses the heartbeats that one entry VM sends to another one, or ends that.
  /// What the latter sends isn't affected.
  void setHeartbeatsLost(size_t From, size_t To, bool AreLost);

  /// Writes or removes the entry of a backend server in the object store.
  void registerServer(const FleetServer &Server, bool IsDraining = false);
  void unregisterServer(const FleetServer &Server);

  ObjectStore &store() { return Store_; }
  FleetVm &vm(size_t Index) { return *Vms_[Index]; }
  size_t getVmCount() const { return Vms_.size(); }
  std::vector<FleetServer> &servers() { return Servers_; }

  /// \return Path of an entry VM's log file.
  std::string getLogPath(size_t Vm) const;

private:
  void writeSettings(const FleetVm &Vm, const nlohmann::json &Keys) const;

  FleetPlan Plan_;                   ///< Size and layout.
  std::string Daemon_;               ///< Daemon executable.
  std::string Directory_;            ///< Directory for settings files and logs.
  ObjectStore Store_;                ///< Object store stand-in.
  std::vector<FleetServer> Servers_; ///< Backend servers.
  std::vector<std::unique_ptr<FleetVm>> Vms_; ///< Entry VMs by index.
  unsigned Sequence_ = 0; ///< Number of the last server entry.
  unsigned Version_ = 0;  ///< Last published configuration version.
};

/// \return Route object for configure().
nlohmann::json makeRoute(const std::string &Name, const std::string &Prefix,
                         const std::string &Service, bool IsIdempotent,
                         Duration Timeout);

} // namespace cranberry::standin

#endif
