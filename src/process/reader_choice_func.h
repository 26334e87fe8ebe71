/// \file reader_choice_func.h Which entry VM reads the store for others.
#ifndef CRANBERRY_PROCESS_READER_CHOICE_FUNC_H
#define CRANBERRY_PROCESS_READER_CHOICE_FUNC_H

#include "process/member_type.h"

namespace cranberry {

/// One entry VM of each zone reads the store, and the others of the zone hear
/// from it. All VMs that see the same members choose the same one.
/// \param IsStoreLost Whether \p Self can't read the store: then any other VM
/// is better than none, the nearest first.
/// \return The VM to hear from, or null to read the store.
const Member *selectStoreReader(const MemberList &Members, const Member &Self,
                                bool IsStoreLost);

} // namespace cranberry

#endif
