/// \file grant_ledger.cpp Slots that this VM has granted to other VMs.
#include "request/grant_ledger_base.h"

namespace cranberry {

namespace {

constexpr Duration ExpiryMargin = milliseconds(50);

} // namespace

GrantIndex IssuedGrants::add(unsigned Slots, Duration Ttl, bool Reserves,
                             Time Now) {
  GrantIndex Index(NextGrant_++);
  Grants_[Index] = {Slots, Now + Ttl + ExpiryMargin, Reserves, Slots};
  return Index;
}

bool IssuedGrants::tryUseSlot(GrantIndex Grant, Time Now) {
  expire(Now);
  auto Found = Grants_.find(Grant);
  if (Found == Grants_.end() || Found->second.FreeSlots_ == 0)
    return false;
  --Found->second.FreeSlots_;
  return true;
}

void IssuedGrants::returnSlot(GrantIndex Grant, Time Now) {
  expire(Now);
  if (auto Found = Grants_.find(Grant); Found != Grants_.end())
    ++Found->second.FreeSlots_;
}

void IssuedGrants::release(GrantIndex Grant) { Grants_.erase(Grant); }

unsigned IssuedGrants::getReservedSlots(Time Now) {
  expire(Now);
  unsigned Reserved = 0;
  for (const auto &[Index, Grant] : Grants_)
    Reserved += Grant.IsReserving_ ? Grant.FreeSlots_ : 0;
  return Reserved;
}

bool IssuedGrants::isReserving(GrantIndex Grant) const {
  auto Found = Grants_.find(Grant);
  return Found != Grants_.end() && Found->second.IsReserving_;
}

unsigned IssuedGrants::getUnreservedSlots(Time Now) {
  expire(Now);
  unsigned Sum = 0;
  for (const auto &[Index, Grant] : Grants_)
    Sum += Grant.IsReserving_ ? 0 : Grant.Slots_;
  return Sum;
}

std::optional<Time> IssuedGrants::getNextExpiry() const {
  std::optional<Time> Next;
  for (const auto &[Index, Grant] : Grants_)
    if (!Next || Grant.Expiry_ < *Next)
      Next = Grant.Expiry_;
  return Next;
}

void IssuedGrants::expire(Time Now) {
  absl::erase_if(
      Grants_, [=](const auto &Entry) { return Entry.second.Expiry_ <= Now; });
}

} // namespace cranberry
