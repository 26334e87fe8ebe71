/// \file client_vms_func.h Selects the entry VMs that serve a zone's clients.
#ifndef CRANBERRY_PROCESS_CLIENT_VMS_FUNC_H
#define CRANBERRY_PROCESS_CLIENT_VMS_FUNC_H

#include "process/member_type.h"

#include <vector>

namespace cranberry {

/// Number of entry VMs of a zone that serve its clients while they aren't busy.
/// A second one takes over when the first fails.
inline constexpr size_t MinVmsPerZone = 2;

/// Keeps the strongest VMs of a zone, until MinVmsPerZone of them are not busy.
/// \param[in,out] Group VMs of the zone; afterwards the strongest ones, in
/// descending order.
void keepClientVms(std::vector<const Member *> &Group);

} // namespace cranberry

#endif
