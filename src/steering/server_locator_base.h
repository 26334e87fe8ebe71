/// \file server_locator_base.h Server locations relative to this VM.
#ifndef CRANBERRY_STEERING_SERVER_LOCATOR_BASE_H
#define CRANBERRY_STEERING_SERVER_LOCATOR_BASE_H

#include "daemon/settings_type.h"
#include "process/cold_start_division_base.h"
#include "process/member_type.h"
#include "process/peak_count_base.h"
#include "request/balancer_type.h"
#include "version/routing_type.h"
#include "version/server_registry_base.h"

#include <map>
#include <string>

namespace cranberry {

/// Maps zones to regions, estimates round-trip times to them, and divides the
/// request rates of cold servers among the entry VMs.
class ServerLocator {
public:
  /// \param Started Start time of this process.
  ServerLocator(const Settings &Config, Time Started)
      : Settings_(Config), ProcessStart_(Started) {}

  /// Applies the list of entry VMs.
  void setMembers(const MemberList &Vms, Time Now);

  /// \return Proximity of \p Zone to this VM.
  Proximity getProximity(const std::string &Zone) const;

  /// \return Region of \p Zone, or "" if it is unknown.
  const std::string &getRegion(const std::string &Zone) const;

  /// \return Estimated round-trip time to \p Zone.
  Duration getRoundTrip(const std::string &Zone) const;

  /// \return Connect timeout for a server of \p Zone.
  Duration getConnectTimeout(const std::string &Zone) const;

  /// Records that a connection to a server of \p Zone took \p Took to open.
  void recordConnectTime(const std::string &Zone, Duration Took);

  /// \return \p Server with its location and cold rate, for the balancer of its
  /// service.
  /// \param Config Active configuration, or null.
  BackendServerConfig makeBalancedServer(const UsableServer &Server,
                                         const RoutingConfig *Config) const;

  /// \return Recent maximum of the number of entry VMs that may serve.
  unsigned getVmCount() const { return AllVms_.Count_; }

private:
  /// Number of entry VMs in a zone, in a region, or in total.
  struct VmGroup {
    unsigned Count_ = 0; ///< Recent maximum.
    PeakCount Peak_;     ///< Tracks the recent maximum.
  };

  double getColdRateShare(const ServerRecord &Record) const;
  double getColdStartRate(const ServerRecord &Record, double AllVms) const;

  const Settings &Settings_;                 ///< Zones, and this VM's location.
  Time ProcessStart_;                        ///< Start time of this process.
  std::map<std::string, VmGroup> VmsByZone_; ///< Entry VMs by zone.
  std::map<std::string, VmGroup> VmsByRegion_; ///< Entry VMs by region.
  VmGroup AllVms_;                             ///< All entry VMs.
  ColdStartDivision ColdStarts_; ///< Used for shares below one start.
  std::map<std::string, Duration>
      RoundTripByRegion_; ///< Measured, by other region.
};

} // namespace cranberry

#endif
