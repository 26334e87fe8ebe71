/// \file lookup_directory.cpp Selection of entry VMs for look-ups.
#include "steering/lookup_directory_func.h"

#include <algorithm>
#include <array>

namespace cranberry {

namespace {

using VmGroup = std::vector<const Member *>;

} // namespace

LookupSelection selectLookupAddresses(const MemberList &Vms,
                                      const std::string &Region,
                                      const std::string &Zone,
                                      FleetKnowledge Knowledge) {
  enum : size_t { SameZone, SameRegion, OtherRegion, Suspect, GroupCount };
  std::array<VmGroup, GroupCount> Groups;
  auto IsInRegion = [&](const Member &Vm) {
    return Vm.Zone_ == Zone || Vm.Region_ == Region;
  };
  for (const Member &Vm : Vms) {
    if (Vm.State_ == MemberState::Leaving || Vm.State_ == MemberState::Gone)
      continue;
    if (Knowledge == FleetKnowledge::Partial && !IsInRegion(Vm))
      continue;
    size_t Group = OtherRegion;
    if (Vm.State_ == MemberState::Suspect)
      Group = Suspect;
    else if (Vm.Zone_ == Zone)
      Group = SameZone;
    else if (IsInRegion(Vm))
      Group = SameRegion;
    Groups[Group].push_back(&Vm);
  }
  keepClientVms(Groups[SameZone]);
  LookupSelection Result;
  for (const VmGroup &Group : Groups) {
    for (const Member *Vm : Group)
      if (Result.Addresses_.size() < MaxLookupAddresses) {
        Result.Addresses_.push_back(Vm->HttpAddress_);
        Result.HasOtherRegions_ = Result.HasOtherRegions_ || !IsInRegion(*Vm);
      }
    if (!Result.Addresses_.empty())
      break;
  }
  return Result;
}

} // namespace cranberry
