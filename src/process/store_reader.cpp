/// \file store_reader.cpp Selects the entry VM that reads the store.
#include "process/store_reader_func.h"

#include "process/membership_base.h"

#include <functional>
#include <string>
#include <vector>

namespace cranberry {

namespace {

/// Selects an alive member that satisfies \p IsCandidate by rendezvous hashing
/// of \p Key.
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

} // namespace

const Member *selectStoreReader(const MemberList &Members, const Member &Self,
                                bool IsStoreLost) {
  const Member *ZoneReader =
      selectMember(Members, Self.Zone_ + "/reader", [&Self](const Member &Vm) {
        return Vm.Zone_ == Self.Zone_;
      });
  bool IsSelfReader = !ZoneReader || ZoneReader->Vm_ == Self.Vm_;
  if (!IsSelfReader)
    return ZoneReader;
  if (!IsStoreLost)
    return nullptr;
  auto IsOther = [&Self](const Member &Vm) { return Vm.Vm_ != Self.Vm_; };
  auto IsInRegion = [&](const Member &Vm) {
    return IsOther(Vm) && Vm.Region_ == Self.Region_;
  };
  const Member *InRegion = selectMember(Members, Self.Vm_, IsInRegion);
  return InRegion ? InRegion : selectMember(Members, Self.Vm_, IsOther);
}

} // namespace cranberry
