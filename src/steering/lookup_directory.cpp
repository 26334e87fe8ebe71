/// \file lookup_directory.cpp Selection of entry VMs for look-ups.
#include "steering/lookup_directory_func.h"

#include <algorithm>
#include <array>

namespace cranberry {

namespace {

using VmGroup = std::vector<const Member *>;

/// Keeps the strongest VMs, until MinVmsPerZone of them are not busy.
void keepStrongest(VmGroup &Group) {
  std::sort(Group.begin(), Group.end(), [](const Member *A, const Member *B) {
    return A->Strength_ != B->Strength_ ? A->Strength_ > B->Strength_
                                        : A->Vm_ < B->Vm_;
  });
  size_t Idle = 0;
  auto Last = std::find_if(Group.begin(), Group.end(), [&](const Member *Vm) {
    Idle += Vm->IsBusy_ ? 0 : 1;
    return Idle >= MinVmsPerZone;
  });
  if (Last != Group.end())
    Group.erase(Last + 1, Group.end());
}

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
  keepStrongest(Groups[SameZone]);
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
