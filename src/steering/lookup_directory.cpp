/// \file lookup_directory.cpp Which entry VMs a client is told.
#include "steering/lookup_directory_func.h"

#include <array>

namespace cranberry {

std::vector<std::string> selectLookupAddresses(const MemberList &Vms,
                                               const std::string &Region,
                                               const std::string &Zone) {
  enum : size_t { SameZone, SameRegion, Elsewhere, Doubted, GroupCount };
  std::array<std::vector<std::string>, GroupCount> Groups;
  for (const Member &Vm : Vms) {
    if (Vm.State_ == MemberState::Leaving || Vm.State_ == MemberState::Gone)
      continue;
    size_t Group = Elsewhere;
    if (Vm.State_ == MemberState::Suspect)
      Group = Doubted;
    else if (Vm.Zone_ == Zone)
      Group = SameZone;
    else if (Vm.Region_ == Region)
      Group = SameRegion;
    Groups[Group].push_back(Vm.HttpAddress_);
  }
  for (std::vector<std::string> &Group : Groups) {
    if (Group.empty())
      continue;
    if (Group.size() > MaxLookupAddresses)
      Group.resize(MaxLookupAddresses);
    return Group;
  }
  return {};
}

} // namespace cranberry
