/// \file lookup_directory_func.h Which entry VMs a client is told.
#ifndef CRANBERRY_STEERING_LOOKUP_DIRECTORY_FUNC_H
#define CRANBERRY_STEERING_LOOKUP_DIRECTORY_FUNC_H

#include "process/member_type.h"

#include <string>
#include <vector>

namespace cranberry {

/// Look-ups name at most this many entry VMs.
inline constexpr size_t MaxLookupAddresses = 64;

/// \return Addresses of the entry VMs that a client of \p Zone in \p Region
/// uses: those of its zone; if that has none, of its region; then all. VMs that
/// are leaving are never named, doubted ones only if no other is left.
std::vector<std::string> selectLookupAddresses(const MemberList &Vms,
                                               const std::string &Region,
                                               const std::string &Zone);

} // namespace cranberry

#endif
