/// \file store_readers_func.h Which entry VMs may read the store for a zone.
#ifndef CRANBERRY_TEST_SUPPORT_STORE_READERS_FUNC_H
#define CRANBERRY_TEST_SUPPORT_STORE_READERS_FUNC_H

#include "process/store_reader_func.h"

#include <string>
#include <vector>

namespace cranberry::test {

/// \return Indices of the VMs that may read the store for a zone, in the order
/// in which they are asked.
inline std::vector<size_t> getStoreReaders(const MemberList &Vms,
                                           const std::string &Zone) {
  // Asks as a VM of the zone that gets no answer from any of them.
  Member Outsider;
  Outsider.Vm_ = "outsider";
  Outsider.Zone_ = Zone;
  FailedReaders Failed;
  std::vector<size_t> Result;
  while (true) {
    StoreSourceChoice Choice = selectStoreSource(Vms, Outsider, false, Failed);
    if (Choice.Source_ != StoreSource::Vm)
      return Result;
    Result.push_back(static_cast<size_t>(Choice.Vm_ - Vms.data()));
    Failed.Silent_.insert(Choice.Vm_->PeerAddress_);
  }
}

} // namespace cranberry::test

#endif
