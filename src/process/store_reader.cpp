/// \file store_reader.cpp Selects the entry VM that reads the store.
#include "process/store_reader_func.h"

#include "process/member_selection_func.h"

#include <string>

namespace cranberry {

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
