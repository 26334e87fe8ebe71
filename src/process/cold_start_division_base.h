/// \file cold_start_division_base.h Divides the starts at cold servers among
/// entry VMs.
#ifndef CRANBERRY_PROCESS_COLD_START_DIVISION_BASE_H
#define CRANBERRY_PROCESS_COLD_START_DIVISION_BASE_H

#include "core/time_type.h"
#include "process/member_type.h"

#include <map>
#include <string>
#include <vector>

namespace cranberry {

/// Divides the starts that a cold server tolerates among the entry VMs, if an
/// even share of each VM would be less than one start.
///
/// Only whole starts are given away, and only to the VMs that serve the clients
/// of the server's zone. All VMs that know the same members divide alike, so
/// that the division costs no messages. VMs that have disappeared keep their
/// part for a while, as they may still send requests behind a network
/// partition.
class ColdStartDivision {
public:
  /// Applies the list of entry VMs.
  void setMembers(const MemberList &Vms, Time Now);

  /// \param Server Instance id of the cold server.
  /// \param Zone Availability zone of the server.
  /// \param Region Region of that zone.
  /// \param Starts Starts that the server tolerates from all VMs together.
  /// \return Starts of them that belong to \p Vm; a whole number.
  unsigned getStarts(const std::string &Vm, const std::string &Server,
                     const std::string &Zone, const std::string &Region,
                     double Starts) const;

private:
  /// An entry VM that is or was a member.
  struct KnownVm {
    Member Vm_;     ///< Last known record.
    Time LastSeen_; ///< Last time at which it was listed.
  };

  /// Names of the VMs that serve clients, in ascending order.
  using Names = std::vector<std::string>;

  void selectVms();
  const Names &findNearest(const std::string &Zone,
                           const std::string &Region) const;

  std::map<std::string, KnownVm> Vms_; ///< By name.
  std::map<std::string, Names> ByZone_;
  std::map<std::string, Names> ByRegion_;
  Names All_;
};

} // namespace cranberry

#endif
