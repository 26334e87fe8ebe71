/// \file server_locator_base.h Where backend servers are, seen from this VM.
#ifndef CRANBERRY_STEERING_SERVER_LOCATOR_BASE_H
#define CRANBERRY_STEERING_SERVER_LOCATOR_BASE_H

#include "daemon/settings_type.h"
#include "process/member_type.h"
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
  explicit ServerLocator(const Settings &Config) : Settings_(Config) {}

  Proximity getProximity(const std::string &Zone) const;

  /// \return Region of \p Zone, or "" if it is unknown.
  const std::string &getRegion(const std::string &Zone) const;

  /// \return Way there and back.
  Duration getRoundTrip(const std::string &Zone) const;

  /// \return Longest wait for a connection to a server of \p Zone.
  Duration getConnectTimeout(const std::string &Zone) const;

  /// A connection to a server of \p Zone took \p Took to open.
  void noteConnect(const std::string &Zone, Duration Took);

  /// \return \p Server as its service's balancer sees it.
  BalancedServer locate(const UsableServer &Server, const MemberList &Vms,
                        const RoutingConfig *Config) const;

private:
  double getColdShare(const ServerRecord &Record, const MemberList &Vms) const;

  const Settings &Settings_;                   ///< Zones, and where this VM is.
  std::map<std::string, Duration> RoundTrips_; ///< Measured, by far region.
};

} // namespace cranberry

#endif
