/// \file lookup_directory.cpp Selection of entry VMs for look-ups.
#include "steering/lookup_directory_func.h"

#include <algorithm>
#include <array>

namespace cranberry {

namespace {

using VmGroup = std::vector<const Member *>;

} // namespace

std::vector<std::string> selectLookupAddresses(const MemberList &Vms,
                                               const std::string &Region,
                                               const std::string &Zone) {
  enum : size_t { SameZone, SameRegion, OtherRegion, Suspect, GroupCount };
  std::array<VmGroup, GroupCount> Groups;
  for (const Member &Vm : Vms) {
    if (Vm.State_ == MemberState::Leaving || Vm.State_ == MemberState::Gone)
      continue;
    size_t Group = OtherRegion;
    if (Vm.State_ == MemberState::Suspect)
      Group = Suspect;
    else if (Vm.Zone_ == Zone)
      Group = SameZone;
    else if (Vm.Region_ == Region)
      Group = SameRegion;
    Groups[Group].push_back(&Vm);
  }
  keepClientVms(Groups[SameZone]);
  std::vector<std::string> Result;
  for (const VmGroup &Group : Groups) {
    for (const Member *Vm : Group)
      if (Result.size() < MaxLookupAddresses)
        Result.push_back(Vm->HttpAddress_);
    if (!Result.empty())
      break;
  }
  return Result;
}

} // namespace cranberry
