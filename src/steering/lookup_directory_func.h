/// \file lookup_directory_func.h Selection of entry VMs for look-ups.
#ifndef CRANBERRY_STEERING_LOOKUP_DIRECTORY_FUNC_H
#define CRANBERRY_STEERING_LOOKUP_DIRECTORY_FUNC_H

#include "process/member_type.h"

#include <string>
#include <vector>

namespace cranberry {

/// Maximum number of entry VMs in a look-up response.
inline constexpr size_t MaxLookupAddresses = 64;

/// \return Addresses of the entry VMs for a client in \p Zone of \p Region:
/// those of its zone or, if there are none, of its region or else of all
/// regions. Leaving VMs are never returned, and suspect ones only if there are
/// no others.
std::vector<std::string> selectLookupAddresses(const MemberList &Vms,
                                               const std::string &Region,
                                               const std::string &Zone);

} // namespace cranberry

#endif
