/// \file member_selection_func.h Selects the entry VM for a shared duty.
#ifndef CRANBERRY_PROCESS_MEMBER_SELECTION_FUNC_H
#define CRANBERRY_PROCESS_MEMBER_SELECTION_FUNC_H

#include "process/member_type.h"

#include <functional>
#include <string>

namespace cranberry {

/// Selects an alive member by rendezvous hashing. All VMs that see the same
/// members select the same one.
/// \param Key Duty that the member is selected for.
/// \param IsCandidate Whether a member may be selected.
/// \return The member, or null if there is no candidate.
const Member *
selectMember(const MemberList &Members, const std::string &Key,
             const std::function<bool(const Member &)> &IsCandidate);

/// Selects the VM that keeps the rate ledger of a server: one of the server's
/// zone, as most of the server's requests come from there, or else of its
/// region, or else any.
/// \param Zone Availability zone of the server.
/// \param Region Region of that zone.
/// \return The member, or null if none is alive.
const Member *selectRateLedgerVm(const MemberList &Members,
                                 const std::string &Server,
                                 const std::string &Zone,
                                 const std::string &Region);

} // namespace cranberry

#endif
