/// \file server_registry.cpp Registered backend servers.
#include "version/server_registry_base.h"

#include <algorithm>

namespace cranberry {

namespace {

/// How long removed entries are remembered, and how long after a rollback
/// entries are compared with what was known before. A copy is some seconds old,
/// and entries of servers that are gone expire within seconds.
constexpr Duration RollbackMemory = seconds(60);

/// How long leaving servers without an entry are remembered. Copies of the
/// store and relays are some seconds old at most.
constexpr Duration LeavingMemory = std::chrono::minutes(10);

bool isNewer(const ServerRecord &Record, int64_t StartTimeMs,
             int64_t Sequence) {
  return Record.StartTimeMs_ > StartTimeMs ||
         (Record.StartTimeMs_ == StartTimeMs && Record.Sequence_ > Sequence);
}

} // namespace

void ServerRegistry::applySnapshot(const std::vector<ServerRecord> &Records,
                                   Time Now) {
  IsLoaded_ = true;
  std::set<std::string> Present;
  for (const ServerRecord &Record : Records) {
    Present.insert(Record.InstanceId_);
    storeRecord(Record, Now);
  }
  absl::erase_if(Entries_, [&](auto &Pair) {
    return !Present.count(Pair.first) && removeOrMarkExpired(Pair.second, Now);
  });
}

ServerChangeKind ServerRegistry::applyChange(const ServerChange &Change,
                                             Time Now) {
  if (!Change.IsRemoved_) {
    storeRecord(Change.Record_, Now);
    return ServerChangeKind::Expected;
  }
  auto Found = Entries_.find(Change.Record_.InstanceId_);
  if (Found == Entries_.end())
    return ServerChangeKind::Expected;
  bool WasDraining = Found->second.Record_.IsDraining_;
  Found->second.Record_.Sequence_ =
      std::max(Found->second.Record_.Sequence_, Change.Record_.Sequence_);
  if (removeOrMarkExpired(Found->second, Now))
    Entries_.erase(Found);
  return WasDraining ? ServerChangeKind::Expected
                     : ServerChangeKind::UnexpectedRemoval;
}

bool ServerRegistry::isOutdated(const ServerRecord &Record, Time Now) const {
  if (!RolledBackAt_ || Now >= *RolledBackAt_ + RollbackMemory)
    return false;
  if (auto Known = Entries_.find(Record.InstanceId_); Known != Entries_.end()) {
    const ServerRecord &Last = Known->second.Record_;
    return !isNewer(Record, Last.StartTimeMs_, Last.Sequence_ - 1);
  }
  auto Gone = Removed_.find(Record.InstanceId_);
  return Gone != Removed_.end() && Gone->second.RemovedAt_ <= *RolledBackAt_ &&
         !isNewer(Record, Gone->second.StartTimeMs_, Gone->second.Sequence_);
}

void ServerRegistry::recordRemoval(const Entry &Removed, Time Now) {
  Removed_[Removed.Record_.InstanceId_] = {Removed.Record_.StartTimeMs_,
                                           Removed.Record_.Sequence_, Now};
}

void ServerRegistry::storeRecord(const ServerRecord &Record, Time Now) {
  if (isOutdated(Record, Now))
    return;
  Entry &Known = Entries_[Record.InstanceId_];
  bool IsSame = Known.Record_.Address_ == Record.Address_ &&
                Known.Record_.Service_ == Record.Service_ &&
                Known.Record_.Zone_ == Record.Zone_ &&
                Known.Record_.Slots_ == Record.Slots_ &&
                Known.Record_.IsDraining_ == Record.IsDraining_ &&
                Known.Record_.StartTimeMs_ == Record.StartTimeMs_;
  Time ColdUntil = Record.ColdRemaining_ > Duration(0)
                       ? Now + Record.ColdRemaining_
                       : Known.ColdUntil_;
  if (!IsSame || Known.IsExpired_ || ColdUntil != Known.ColdUntil_)
    ++Version_;
  Known.Record_ = Record;
  Known.ColdUntil_ = ColdUntil;
  Known.IsExpired_ = false;
  Known.RemoveAt_.reset();
}

bool ServerRegistry::removeOrMarkExpired(Entry &Expired, Time Now) {
  if (Expired.IsExpired_)
    return false;
  ++Version_;
  bool IsInGracePeriod =
      StoreRestoredAt_ && Now < *StoreRestoredAt_ + ExpiryGracePeriod;
  if (Expired.Record_.IsDraining_ || !(IsStoreLost_ || IsInGracePeriod)) {
    recordRemoval(Expired, Now);
    return true;
  }
  Expired.IsExpired_ = true;
  if (!IsStoreLost_)
    Expired.RemoveAt_ = *StoreRestoredAt_ + ExpiryGracePeriod;
  return false;
}

void ServerRegistry::onStoreLost() { IsStoreLost_ = true; }

void ServerRegistry::onStoreRestored(Time Now) {
  if (!IsStoreLost_)
    return;
  IsStoreLost_ = false;
  StoreRestoredAt_ = Now;
  for (auto &[Id, Known] : Entries_)
    if (Known.IsExpired_)
      Known.RemoveAt_ = Now + ExpiryGracePeriod;
}

void ServerRegistry::onStoreRolledBack(Time Now) {
  RolledBackAt_ = Now;
  onStoreLost();
  onStoreRestored(Now);
}

void ServerRegistry::setEvacuatedZones(const std::set<std::string> &Zones,
                                       Duration ColdDuration, Time Now) {
  if (Zones == EvacuatedZones_)
    return;
  for (auto &[Id, Known] : Entries_) {
    const std::string &Zone = Known.Record_.Zone_;
    if (EvacuatedZones_.count(Zone) && !Zones.count(Zone))
      Known.ColdUntil_ = std::max(Known.ColdUntil_, Now + ColdDuration);
  }
  EvacuatedZones_ = Zones;
  ++Version_;
}

bool ServerRegistry::recordLeaving(const std::string &Id, int64_t StartTimeMs,
                                   Time Now) {
  auto [Found, IsNew] =
      Leaving_.try_emplace(Id, LeavingStart{StartTimeMs, Now});
  LeavingStart &Known = Found->second;
  Known.RecordedAt_ = Now;
  if (!IsNew && Known.StartTimeMs_ >= StartTimeMs)
    return false;
  Known.StartTimeMs_ = StartTimeMs;
  ++Version_;
  return true;
}

bool ServerRegistry::isLeaving(const ServerRecord &Record) const {
  auto Found = Leaving_.find(Record.InstanceId_);
  return Found != Leaving_.end() &&
         Record.StartTimeMs_ <= Found->second.StartTimeMs_;
}

void ServerRegistry::recordCold(const std::string &Id, Time Until) {
  auto Found = Entries_.find(Id);
  if (Found == Entries_.end() || Found->second.ColdUntil_ >= Until)
    return;
  Found->second.ColdUntil_ = Until;
  ++Version_;
}

void ServerRegistry::removeExpired(Time Now) {
  size_t Before = Entries_.size();
  absl::erase_if(Entries_, [&](const auto &Pair) {
    bool IsOver = Pair.second.RemoveAt_ && *Pair.second.RemoveAt_ <= Now;
    if (IsOver)
      recordRemoval(Pair.second, Now);
    return IsOver;
  });
  std::erase_if(Removed_, [Now](const auto &Pair) {
    return Pair.second.RemovedAt_ + RollbackMemory <= Now;
  });
  // A listed server stays leaving however long it takes.
  std::erase_if(Leaving_, [&](const auto &Pair) {
    return !Entries_.contains(Pair.first) &&
           Pair.second.RecordedAt_ + LeavingMemory <= Now;
  });
  if (Entries_.size() != Before)
    ++Version_;
}

std::vector<UsableServer> ServerRegistry::getUsableServers() const {
  std::vector<UsableServer> Result;
  for (const auto &[Id, Known] : Entries_)
    if (!Known.Record_.IsDraining_ && !isLeaving(Known.Record_) &&
        !EvacuatedZones_.count(Known.Record_.Zone_))
      Result.push_back({Known.Record_, Known.ColdUntil_});
  return Result;
}

} // namespace cranberry
