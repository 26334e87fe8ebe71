/// \file grant_wallet.cpp Slots that other VMs have granted to this one.
#include "request/grant_wallet_base.h"

#include <algorithm>

namespace cranberry {

std::optional<HeldGrant> HeldGrants::tryUseSlot(Time Now,
                                                const std::string &Avoid) {
  for (HeldGrant &Grant : Grants_) {
    if (Grant.FreeSlots_ == 0 || Grant.Expiry_ <= Now || Grant.Vm_ == Avoid)
      continue;
    --Grant.FreeSlots_;
    return Grant;
  }
  return std::nullopt;
}

void HeldGrants::returnSlot(uint64_t Grant, const std::string &Vm) {
  for (HeldGrant &Held : Grants_)
    if (Held.Grant_ == Grant && Held.Vm_ == Vm)
      ++Held.FreeSlots_;
}

void HeldGrants::removeVm(const std::string &Vm) {
  std::erase_if(Grants_, [&](const HeldGrant &G) { return G.Vm_ == Vm; });
}

std::vector<HeldGrant> HeldGrants::prune(Time Now, bool DropIdle) {
  std::vector<HeldGrant> Released;
  std::erase_if(Grants_, [&](const HeldGrant &Grant) {
    if (Grant.Expiry_ <= Now)
      return true;
    if (!DropIdle || Grant.FreeSlots_ == 0)
      return false;
    Released.push_back(Grant);
    return true;
  });
  return Released;
}

} // namespace cranberry
