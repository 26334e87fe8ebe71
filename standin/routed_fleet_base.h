/// \file routed_fleet_base.h Entry VMs as processes among stand-ins.
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

/// One entry VM: a process that may be stopped and started, and the links by
/// which others reach it.
struct FleetVm {
  std::string Name_;                      ///< Name.
  std::string Zone_;                      ///< Availability zone.
  ReservedPort Http_;                     ///< For clients.
  ReservedPort Readiness_;                ///< For readiness checks.
  ReservedPort Directory_;                ///< For look-ups.
  ReservedPort Peer_;                     ///< For other entry VMs.
  std::unique_ptr<Link> FrontLink_;       ///< From clients.
  std::unique_ptr<Link> PeerLink_;        ///< From other entry VMs.
  std::unique_ptr<Link> StoreLink_;       ///< To the store.
  std::unique_ptr<ChildProcess> Process_; ///< Daemon; null while stopped.
};

/// One backend server and the link by which entry VMs reach it.
struct FleetServer {
  std::string Service_;                  ///< Service.
  std::string Zone_;                     ///< Availability zone.
  std::unique_ptr<RoutedServer> Server_; ///< Stand-in.
  std::unique_ptr<Link> Link_;           ///< From entry VMs.
};

/// What a fleet consists of.
struct FleetPlan {
  std::vector<std::string> VmZones_;  ///< Zone of each entry VM.
  std::vector<std::string> Services_; ///< Services.
  unsigned ServersPerZone_ = 2;       ///< Of each service.
  unsigned Slots_ = 4;                ///< Of each server.
  Duration Work_ = milliseconds(20);  ///< Of each request.
};

/// Zones are named "region-letter".
class RoutedFleet {
public:
  /// \param Daemon Path of the daemon's program.
  /// \param Directory Where settings files and logs go.
  RoutedFleet(const FleetPlan &Plan, std::string Daemon, std::string Directory);

  /// Starts an entry VM's process.
  void start(size_t Vm);

  /// Writes an entry VM's settings file with some keys changed.
  void changeSettings(size_t Vm, const nlohmann::json &Keys);

  /// Waits until an entry VM says that it is ready.
  bool waitReady(size_t Vm, Duration Limit);

  /// Writes a configuration with the given routes as the next version.
  /// \return The version.
  unsigned configure(const nlohmann::json &Routes);

  /// Writes or removes a server's entry.
  void enlist(const FleetServer &Server, bool IsDraining = false);
  void delist(const FleetServer &Server);

  ObjectStore &store() { return Store_; }
  FleetVm &vm(size_t Index) { return *Vms_[Index]; }
  size_t getVmCount() const { return Vms_.size(); }
  std::vector<FleetServer> &servers() { return Servers_; }

  /// \return Path of an entry VM's log.
  std::string getLogPath(size_t Vm) const;

private:
  void writeSettings(const FleetVm &Vm, const nlohmann::json &Keys) const;

  FleetPlan Plan_;                            ///< Plan.
  std::string Daemon_;                        ///< Program.
  std::string Directory_;                     ///< For files.
  ObjectStore Store_;                         ///< Store.
  std::vector<FleetServer> Servers_;          ///< Servers.
  std::vector<std::unique_ptr<FleetVm>> Vms_; ///< Entry VMs.
  unsigned Version_ = 0;                      ///< Last configuration.
};

/// \return A route of a configuration.
nlohmann::json makeRoute(const std::string &Name, const std::string &Prefix,
                         const std::string &Service, bool IsIdempotent,
                         Duration Timeout);

} // namespace cranberry::standin

#endif
