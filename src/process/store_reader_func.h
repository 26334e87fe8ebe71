/// \file store_reader_func.h Selects the entry VM that reads the store.
#ifndef CRANBERRY_PROCESS_STORE_READER_FUNC_H
#define CRANBERRY_PROCESS_STORE_READER_FUNC_H

#include "process/member_type.h"

#include <set>
#include <string>

namespace cranberry {

/// Where an entry VM gets store updates from.
enum class StoreSource : uint8_t {
  Store, ///< From the store.
  Vm,    ///< From another entry VM, which relays what it reads.
  None,  ///< From nowhere for now; the last known state stays in use.
};

/// Names of sources in logs, in the order of the enum.
inline constexpr const char *StoreSourceNames[] = {"store", "vm", "none"};

/// Selected source of store updates.
struct StoreSourceChoice {
  StoreSource Source_ = StoreSource::Store; ///< Kind of the source.
  const Member *Vm_ = nullptr; ///< The entry VM, if that is the source.
  bool IsSubstitute_ = false;  ///< Whether it replaces failed readers.
};

/// Peer addresses of entry VMs that recently failed as a source.
struct FailedReaders {
  std::set<std::string> Silent_; ///< Gave no answer.
  std::set<std::string> Behind_; ///< Answered that they can't read the store.
};

/// Number of entry VMs of a zone that may read the store, one at a time while
/// none fails.
inline constexpr size_t MaxReadersPerZone = 4;

/// Selects the source of store updates for \p Self.
///
/// The VMs of a zone have a common order, by rendezvous hash. The first one
/// reads the store and relays it to the others; if it fails, the second one
/// does, and so on up to MaxReadersPerZone. A VM that none of them can tell of
/// changes follows a reader of another zone, or, with few other zones, one of
/// the next VMs in the order, which then reads the store. So the number of VMs
/// that call a troubled store doesn't grow with the fleet.
///
/// A reader that the store refuses follows the first reader of another zone and
/// relays what that one reads, so that the other VMs of its zone needn't change
/// their source.
/// \param IsStoreLost Whether \p Self can't read the store.
/// \param Failed VMs that \p Self has asked in vain.
/// \return The source. If all VMs that may be asked have failed, it is the
/// store for a reader, which goes on trying it, and none for the others.
StoreSourceChoice selectStoreSource(const MemberList &Members,
                                    const Member &Self, bool IsStoreLost,
                                    const FailedReaders &Failed);

} // namespace cranberry

#endif
