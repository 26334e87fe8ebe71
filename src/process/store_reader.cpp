/// \file store_reader.cpp Selects the entry VM that reads the store.
#include "process/store_reader_func.h"

#include "process/member_selection_func.h"

#include <vector>

namespace cranberry {

namespace {

/// A VM that can't read the store tries it again once this many others have
/// failed to relay it.
constexpr size_t MaxOthersAsked = 3;

/// \return The VMs of a zone that may read the store, in their order.
std::vector<const Member *> selectReaders(const MemberList &Members,
                                          const std::string &Zone) {
  std::set<std::string> Taken;
  std::vector<const Member *> Result;
  while (Result.size() < MaxReadersPerZone) {
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

/// \return Names of the VMs of all zones that may read the store.
std::set<std::string> selectAllReaders(const MemberList &Members) {
  std::set<std::string> Zones;
  for (const Member &Vm : Members)
    Zones.insert(Vm.Zone_);
  std::set<std::string> Result;
  for (const std::string &Zone : Zones)
    for (const Member *Reader : selectReaders(Members, Zone))
      Result.insert(Reader->Vm_);
  return Result;
}

bool hasFailed(const Member &Vm, const FailedReaders &Failed) {
  return Failed.Silent_.contains(Vm.PeerAddress_) ||
         Failed.Behind_.contains(Vm.PeerAddress_);
}

/// Selects another VM for one that can't read the store.
StoreSourceChoice selectOther(const MemberList &Members, const Member &Self,
                              const std::vector<const Member *> &Readers,
                              const FailedReaders &Failed) {
  // Where others can't read the store either, it may be back at any moment.
  if (Failed.Silent_.size() + Failed.Behind_.size() >= MaxOthersAsked)
    return {};
  auto CanRelay = [&](const Member &Vm) {
    return Vm.Vm_ != Self.Vm_ && !hasFailed(Vm, Failed);
  };
  for (const Member *Reader : Readers)
    if (CanRelay(*Reader))
      return {StoreSource::Vm, Reader};
  // A VM that is asked reads the store, so only those that may are asked.
  std::set<std::string> All = selectAllReaders(Members);
  auto CanAsk = [&](const Member &Vm) {
    return CanRelay(Vm) && All.contains(Vm.Vm_);
  };
  const Member *Other = selectMember(Members, Self.Vm_, [&](const Member &Vm) {
    return CanAsk(Vm) && Vm.Region_ == Self.Region_;
  });
  if (!Other)
    Other = selectMember(Members, Self.Vm_, CanAsk);
  if (Other)
    return {StoreSource::Vm, Other};
  return {};
}

} // namespace

StoreSourceChoice selectStoreSource(const MemberList &Members,
                                    const Member &Self, bool IsStoreLost,
                                    const FailedReaders &Failed) {
  std::vector<const Member *> Readers = selectReaders(Members, Self.Zone_);
  if (IsStoreLost)
    return selectOther(Members, Self, Readers, Failed);
  bool IsAnyBehind = false;
  for (const Member *Reader : Readers) {
    if (Reader->Vm_ == Self.Vm_)
      return {};
    if (!hasFailed(*Reader, Failed))
      return {StoreSource::Vm, Reader};
    IsAnyBehind = IsAnyBehind || Failed.Behind_.contains(Reader->PeerAddress_);
  }
  return {IsAnyBehind ? StoreSource::None : StoreSource::Store, nullptr};
}

} // namespace cranberry
