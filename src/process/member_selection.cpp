/// \file member_selection.cpp Selects the entry VM for a shared duty.
#include "process/member_selection_func.h"

#include "process/membership_base.h"

#include <vector>

namespace cranberry {

const Member *
selectMember(const MemberList &Members, const std::string &Key,
             const std::function<bool(const Member &)> &IsCandidate) {
  std::vector<const Member *> Candidates;
  std::vector<std::string> Names;
  for (const Member &Vm : Members) {
    if (Vm.State_ != MemberState::Alive || !IsCandidate(Vm))
      continue;
    Candidates.push_back(&Vm);
    Names.push_back(Vm.Vm_);
  }
  std::optional<size_t> Selected = pickOwner(Names, Key);
  return Selected ? Candidates[*Selected] : nullptr;
}

const Member *selectRateLedgerVm(const MemberList &Members,
                                 const std::string &Server,
                                 const std::string &Zone,
                                 const std::string &Region) {
  std::string Key = Server + "/rate";
  if (const Member *InZone = selectMember(
          Members, Key, [&](const Member &Vm) { return Vm.Zone_ == Zone; }))
    return InZone;
  if (const Member *InRegion = selectMember(
          Members, Key, [&](const Member &Vm) { return Vm.Region_ == Region; }))
    return InRegion;
  return selectMember(Members, Key, [](const Member &) { return true; });
}

} // namespace cranberry
