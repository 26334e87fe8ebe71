/// \file server_locator_base.h Where backend servers are, seen from this VM.
#ifndef CRANBERRY_STEERING_SERVER_LOCATOR_BASE_H
#define CRANBERRY_STEERING_SERVER_LOCATOR_BASE_H

#include "daemon/settings_type.h"
#include "process/member_type.h"
#include "process/peak_count_base.h"
#include "request/balancer_type.h"
#include "version/routing_type.h"
#include "version/server_registry_base.h"

#include <map>
#include <string>

namespace cranberry {

/// Knows the regions of zones, measures the ways to them, and divides the
/// rates of cold servers among the entry VMs.
class ServerLocator {
public:
  /// \param Started Start of this process.
  ServerLocator(const Settings &Config, Time Started)
      : Settings_(Config), ProcessStart_(Started) {}

  /// Takes over the list of entry VMs.
  void setMembers(const MemberList &Vms, Time Now);

  Proximity getProximity(const std::string &Zone) const;

  /// \return Region of \p Zone, or "" if it is unknown.
  const std::string &getRegion(const std::string &Zone) const;

  /// \return Way there and back.
  Duration getRoundTrip(const std::string &Zone) const;

  /// \return Longest wait for a connection to a server of \p Zone.
  Duration getConnectTimeout(const std::string &Zone) const;

  /// A connection to a server of \p Zone took \p Took to open.
  void recordConnectTime(const std::string &Zone, Duration Took);

  /// \return \p Server as its service's balancer sees it.
  BackendServerConfig makeBalancedServer(const UsableServer &Server,
                                         const RoutingConfig *Config) const;

  /// \return Entry VMs that may serve, by a recent count.
  unsigned getVmCount() const { return AllVms_.Count_; }

private:
  /// Entry VMs of a zone, of a region, or of all.
  struct VmGroup {
    unsigned Count_ = 0; ///< Largest recent count.
    PeakCount Peak_;     ///< Finds it.
  };

  double getColdRateShare(const ServerRecord &Record) const;

  const Settings &Settings_;                   ///< Zones, and where this VM is.
  Time ProcessStart_;                          ///< Start of this process.
  std::map<std::string, VmGroup> VmsByZone_;   ///< By zone.
  std::map<std::string, VmGroup> VmsByRegion_; ///< By region.
  VmGroup AllVms_;                             ///< All.
  std::map<std::string, Duration>
      RoundTripByRegion_; ///< Measured, by far region.
};

} // namespace cranberry

#endif
