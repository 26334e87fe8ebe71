/// \file lookup_directory_func.h Selection of entry VMs for look-ups.
#ifndef CRANBERRY_STEERING_LOOKUP_DIRECTORY_FUNC_H
#define CRANBERRY_STEERING_LOOKUP_DIRECTORY_FUNC_H

#include "process/client_vms_func.h"
#include "process/member_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberry {

/// Maximum number of entry VMs in a look-up response.
inline constexpr size_t MaxLookupAddresses = 64;

/// How much of the fleet a list of entry VMs covers.
enum class FleetKnowledge : uint8_t {
  Partial, ///< Further VMs may serve in any region.
  Full,    ///< A region without VMs in the list has none.
};

/// Response to a look-up.
struct LookupSelection {
  std::vector<std::string> Addresses_; ///< Addresses of the selected VMs.
  bool HasOtherRegions_ = false; ///< Whether VMs of other regions are selected.
};

/// Selects the entry VMs for a client.
///
/// The fewer VMs send to a server, the better each of them knows its load and
/// its cache, and the more of its connections are used again. So the clients of
/// a zone share the strongest MinVmsPerZone VMs, and further ones for each that
/// is busy.
/// \param Knowledge How much of the fleet \p Vms covers. VMs of other regions
/// are selected only if it is Full.
/// \return VMs of \p Zone or, if there are none, all VMs of \p Region or else
/// of all regions. Leaving VMs are never returned, and suspect ones only if
/// there are no others.
LookupSelection selectLookupAddresses(const MemberList &Vms,
                                      const std::string &Region,
                                      const std::string &Zone,
                                      FleetKnowledge Knowledge);

} // namespace cranberry

#endif
