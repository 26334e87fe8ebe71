/// \file store_reader_func.h Selects the entry VM that reads the store.
#ifndef CRANBERRY_PROCESS_STORE_READER_FUNC_H
#define CRANBERRY_PROCESS_STORE_READER_FUNC_H

#include "process/member_type.h"

namespace cranberry {

/// Selects the source of store updates for \p Self.
///
/// One entry VM of each zone reads the store and relays it to the others of the
/// zone. All VMs that have the same member list select the same reader.
/// \param IsStoreLost Whether \p Self can't read the store. Then the reader of
/// a zone follows another entry VM, of its own region if possible.
/// \return The entry VM to follow, or null if \p Self is to read the store.
const Member *selectStoreReader(const MemberList &Members, const Member &Self,
                                bool IsStoreLost);

} // namespace cranberry

#endif
