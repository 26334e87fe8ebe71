/// \file store_reader.cpp Selects the entry VM that reads the store.
#include "process/store_reader_func.h"

#include "process/member_selection_func.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace cranberry {

namespace {

/// A VM that hears of no changes from the readers of its zone asks this many
/// others before it concludes that the store answers nobody.
constexpr size_t MaxOthersAsked = MaxReadersPerZone;

/// \return The first \p Count VMs of a zone in its common order.
std::vector<const Member *> selectFirstVms(const MemberList &Members,
                                           const std::string &Zone,
                                           size_t Count) {
  std::set<std::string> Taken;
  std::vector<const Member *> Result;
  while (Result.size() < Count) {
    const Member *Next =
        selectMember(Members, Zone + "/reader", [&](const Member &Vm) {
          return Vm.Zone_ == Zone && !Taken.contains(Vm.Vm_);
        });
    if (!Next)
      break;
    Taken.insert(Next->Vm_);
    Result.push_back(Next);
  }
  return Result;
}

bool hasFailed(const Member &Vm, const FailedReaders &Failed) {
  return Failed.Silent_.contains(Vm.PeerAddress_) ||
         Failed.Behind_.contains(Vm.PeerAddress_);
}

/// Selects a reader of another zone. Those that probably read the store anyway
/// come first: the first of each zone, then the second ones.
/// \param MaxRank Number of readers of each zone that may be selected.
/// \return The reader, or null if all have failed.
const Member *selectReaderOfOtherZone(const MemberList &Members,
                                      const Member &Self,
                                      const FailedReaders &Failed,
                                      size_t MaxRank = MaxReadersPerZone) {
  std::set<std::string> Zones;
  for (const Member &Vm : Members)
    if (Vm.Zone_ != Self.Zone_)
      Zones.insert(Vm.Zone_);
  std::vector<std::vector<const Member *>> ByZone;
  ByZone.reserve(Zones.size());
  for (const std::string &Zone : Zones)
    ByZone.push_back(selectFirstVms(Members, Zone, MaxRank));
  for (size_t Rank = 0; Rank < MaxRank; ++Rank) {
    std::set<std::string> Candidates;
    for (const std::vector<const Member *> &Readers : ByZone)
      if (Rank < Readers.size() && !hasFailed(*Readers[Rank], Failed))
        Candidates.insert(Readers[Rank]->Vm_);
    auto CanAsk = [&](const Member &Vm) { return Candidates.contains(Vm.Vm_); };
    const Member *Found =
        selectMember(Members, Self.Vm_, [&](const Member &Vm) {
          return CanAsk(Vm) && Vm.Region_ == Self.Region_;
        });
    if (!Found)
      Found = selectMember(Members, Self.Vm_, CanAsk);
    if (Found)
      return Found;
  }
  return nullptr;
}

/// \param InOrder First VMs of the zone of \p Self.
/// \return Whether a VM has asked enough others than the readers of its zone in
/// vain.
bool haveOthersFailed(const std::vector<const Member *> &InOrder,
                      const FailedReaders &Failed) {
  size_t OthersFailed = Failed.Silent_.size() + Failed.Behind_.size();
  for (size_t I = 0; I < std::min(InOrder.size(), MaxReadersPerZone); ++I)
    OthersFailed -= hasFailed(*InOrder[I], Failed) ? 1 : 0;
  return OthersFailed >= MaxOthersAsked;
}

/// Selects a substitute for the readers of a zone, all of which have failed.
/// \return The source, or std::nullopt if enough others have failed as well.
std::optional<StoreSourceChoice> selectSubstitute(const MemberList &Members,
                                                  const Member &Self,
                                                  bool IsStoreLost,
                                                  const FailedReaders &Failed) {
  std::vector<const Member *> InOrder =
      selectFirstVms(Members, Self.Zone_, MaxReadersPerZone + MaxOthersAsked);
  if (haveOthersFailed(InOrder, Failed))
    return std::nullopt;
  if (const Member *Reader = selectReaderOfOtherZone(Members, Self, Failed))
    return StoreSourceChoice{StoreSource::Vm, Reader, true};
  // With few other zones, the next VMs of this zone read the store.
  for (size_t I = MaxReadersPerZone; I < InOrder.size(); ++I) {
    if (InOrder[I]->Vm_ == Self.Vm_ && !IsStoreLost)
      return StoreSourceChoice{StoreSource::Store, nullptr, true};
    if (InOrder[I]->Vm_ != Self.Vm_ && !hasFailed(*InOrder[I], Failed))
      return StoreSourceChoice{StoreSource::Vm, InOrder[I], true};
  }
  return std::nullopt;
}

} // namespace

StoreSourceChoice selectStoreSource(const MemberList &Members,
                                    const Member &Self, bool IsStoreLost,
                                    const FailedReaders &Failed) {
  bool IsReader = false;
  bool IsAnyBehind = false;
  std::vector<const Member *> Readers =
      selectFirstVms(Members, Self.Zone_, MaxReadersPerZone);
  // A reader of another zone has the updates already, whereas the next one of
  // this zone would first have to read the store, which may refuse it as well.
  if (IsStoreLost && !haveOthersFailed(Readers, Failed))
    if (const Member *Other = selectReaderOfOtherZone(Members, Self, Failed, 1))
      return {StoreSource::Vm, Other, true};
  for (const Member *Reader : Readers) {
    if (Reader->Vm_ == Self.Vm_) {
      IsReader = true;
      if (!IsStoreLost)
        return {};
    } else if (!hasFailed(*Reader, Failed)) {
      return {StoreSource::Vm, Reader, IsStoreLost};
    }
    IsAnyBehind = IsAnyBehind || Failed.Behind_.contains(Reader->PeerAddress_);
  }
  if (!IsAnyBehind && !IsStoreLost)
    return {};
  if (std::optional<StoreSourceChoice> Other =
          selectSubstitute(Members, Self, IsStoreLost, Failed))
    return *Other;
  return {IsReader || !IsAnyBehind ? StoreSource::Store : StoreSource::None,
          nullptr};
}

} // namespace cranberry
