/// \file grant_ledger.cpp Grants of slots issued to other VMs.
#include "request/grant_ledger_base.h"

namespace cranberry {

namespace {

constexpr Duration ExpiryMargin = milliseconds(50);

} // namespace

GrantIndex GrantLedger::add(unsigned Slots, Duration Ttl, bool Reserves,
                            Time Now) {
  GrantIndex Index(NextGrant_++);
  Grants_[Index] = {Slots, Now + Ttl + ExpiryMargin, Reserves, Slots};
  return Index;
}

bool GrantLedger::trySpend(GrantIndex Grant, Time Now) {
  expire(Now);
  auto Found = Grants_.find(Grant);
  if (Found == Grants_.end() || Found->second.Idle_ == 0)
    return false;
  --Found->second.Idle_;
  return true;
}

void GrantLedger::returnSlot(GrantIndex Grant, Time Now) {
  expire(Now);
  if (auto Found = Grants_.find(Grant); Found != Grants_.end())
    ++Found->second.Idle_;
}

void GrantLedger::release(GrantIndex Grant) { Grants_.erase(Grant); }

unsigned GrantLedger::getReserved(Time Now) {
  expire(Now);
  unsigned Reserved = 0;
  for (const auto &[Index, Grant] : Grants_)
    Reserved += Grant.Reserves_ ? Grant.Idle_ : 0;
  return Reserved;
}

bool GrantLedger::isReserving(GrantIndex Grant) const {
  auto Found = Grants_.find(Grant);
  return Found != Grants_.end() && Found->second.Reserves_;
}

unsigned GrantLedger::getUnreserved(Time Now) {
  expire(Now);
  unsigned Sum = 0;
  for (const auto &[Index, Grant] : Grants_)
    Sum += Grant.Reserves_ ? 0 : Grant.Slots_;
  return Sum;
}

std::optional<Time> GrantLedger::getNextExpiry() const {
  std::optional<Time> Next;
  for (const auto &[Index, Grant] : Grants_)
    if (!Next || Grant.Expiry_ < *Next)
      Next = Grant.Expiry_;
  return Next;
}

void GrantLedger::expire(Time Now) {
  absl::erase_if(
      Grants_, [=](const auto &Entry) { return Entry.second.Expiry_ <= Now; });
}

} // namespace cranberry
