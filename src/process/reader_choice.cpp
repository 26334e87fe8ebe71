/// \file reader_choice.cpp Which entry VM reads the store for others.
#include "process/reader_choice_func.h"

#include "process/membership_base.h"

#include <functional>
#include <string>
#include <vector>

namespace cranberry {

namespace {

const Member *choose(const MemberList &Members, const std::string &Group,
                     const std::function<bool(const Member &)> &IsIn) {
  std::vector<const Member *> Candidates;
  std::vector<std::string> Names;
  for (const Member &Vm : Members) {
    if (Vm.State_ != MemberState::Alive || !IsIn(Vm))
      continue;
    Candidates.push_back(&Vm);
    Names.push_back(Vm.Vm_);
  }
  std::optional<size_t> Chosen = pickOwner(Names, Group);
  return Chosen ? Candidates[*Chosen] : nullptr;
}

} // namespace

const Member *selectStoreReader(const MemberList &Members, const Member &Self,
                                bool IsStoreLost) {
  const Member *OfZone =
      choose(Members, Self.Zone_ + "/reader",
             [&Self](const Member &Vm) { return Vm.Zone_ == Self.Zone_; });
  bool IsOwn = !OfZone || OfZone->Vm_ == Self.Vm_;
  if (!IsOwn)
    return OfZone;
  if (!IsStoreLost)
    return nullptr;
  auto IsOther = [&Self](const Member &Vm) { return Vm.Vm_ != Self.Vm_; };
  auto IsNear = [&](const Member &Vm) {
    return IsOther(Vm) && Vm.Region_ == Self.Region_;
  };
  const Member *InRegion = choose(Members, Self.Vm_, IsNear);
  return InRegion ? InRegion : choose(Members, Self.Vm_, IsOther);
}

} // namespace cranberry
