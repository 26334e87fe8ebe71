/// \file server_registry.cpp Registered backend servers.
#include "version/server_registry_base.h"

#include <algorithm>

namespace cranberry {

void ServerRegistry::replaceAll(const std::vector<ServerRecord> &Records,
                                Time Now) {
  IsKnown_ = true;
  std::set<std::string> Present;
  for (const ServerRecord &Record : Records) {
    Present.insert(Record.Id_);
    store(Record, Now);
  }
  absl::erase_if(Entries_, [&](auto &Pair) {
    return !Present.count(Pair.first) && removeOrLapse(Pair.second, Now);
  });
}

RegistryEffect ServerRegistry::apply(const ServerChange &Change, Time Now) {
  if (!Change.IsRemoved_) {
    store(Change.Record_, Now);
    return RegistryEffect::Expected;
  }
  auto Found = Entries_.find(Change.Record_.Id_);
  if (Found == Entries_.end())
    return RegistryEffect::Expected;
  bool WasAnnounced = Found->second.Record_.IsDraining_;
  if (removeOrLapse(Found->second, Now))
    Entries_.erase(Found);
  return WasAnnounced ? RegistryEffect::Expected : RegistryEffect::Lost;
}

void ServerRegistry::store(const ServerRecord &Record, Time Now) {
  Entry &Known = Entries_[Record.Id_];
  bool IsSame = Known.Record_.Address_ == Record.Address_ &&
                Known.Record_.Service_ == Record.Service_ &&
                Known.Record_.Zone_ == Record.Zone_ &&
                Known.Record_.Slots_ == Record.Slots_ &&
                Known.Record_.IsDraining_ == Record.IsDraining_ &&
                Known.Record_.BornMs_ == Record.BornMs_;
  if (Known.Record_.BornMs_ != Record.BornMs_)
    Known.SaysLeaving_ = false;
  Time ColdUntil = Record.ColdLeft_ > Duration(0) ? Now + Record.ColdLeft_
                                                  : Known.ColdUntil_;
  if (!IsSame || Known.IsLapsed_ || ColdUntil != Known.ColdUntil_)
    ++Version_;
  Known.Record_ = Record;
  Known.ColdUntil_ = ColdUntil;
  Known.IsLapsed_ = false;
  Known.GoneAt_.reset();
}

bool ServerRegistry::removeOrLapse(Entry &Lapsed, Time Now) {
  if (Lapsed.IsLapsed_)
    return false;
  ++Version_;
  bool InGrace = RegainedAt_ && Now < *RegainedAt_ + LapseGrace;
  if (Lapsed.Record_.IsDraining_ || !(IsStoreLost_ || InGrace))
    return true;
  Lapsed.IsLapsed_ = true;
  if (!IsStoreLost_)
    Lapsed.GoneAt_ = *RegainedAt_ + LapseGrace;
  return false;
}

void ServerRegistry::noteStoreLost() { IsStoreLost_ = true; }

void ServerRegistry::noteStoreRegained(Time Now) {
  if (!IsStoreLost_)
    return;
  IsStoreLost_ = false;
  RegainedAt_ = Now;
  for (auto &[Id, Known] : Entries_)
    if (Known.IsLapsed_)
      Known.GoneAt_ = Now + LapseGrace;
}

void ServerRegistry::setEvacuated(const std::set<std::string> &Zones,
                                  Duration ColdDuration, Time Now) {
  if (Zones == Evacuated_)
    return;
  for (auto &[Id, Known] : Entries_) {
    const std::string &Zone = Known.Record_.Zone_;
    if (Evacuated_.count(Zone) && !Zones.count(Zone))
      Known.ColdUntil_ = std::max(Known.ColdUntil_, Now + ColdDuration);
  }
  Evacuated_ = Zones;
  ++Version_;
}

void ServerRegistry::noteLeaving(const std::string &Id) {
  auto Found = Entries_.find(Id);
  if (Found == Entries_.end() || Found->second.SaysLeaving_)
    return;
  Found->second.SaysLeaving_ = true;
  ++Version_;
}

void ServerRegistry::noteCold(const std::string &Id, Time Until) {
  auto Found = Entries_.find(Id);
  if (Found == Entries_.end() || Found->second.ColdUntil_ >= Until)
    return;
  Found->second.ColdUntil_ = Until;
  ++Version_;
}

void ServerRegistry::tick(Time Now) {
  size_t Before = Entries_.size();
  absl::erase_if(Entries_, [Now](const auto &Pair) {
    return Pair.second.GoneAt_ && *Pair.second.GoneAt_ <= Now;
  });
  if (Entries_.size() != Before)
    ++Version_;
}

std::vector<UsableServer> ServerRegistry::getUsable() const {
  std::vector<UsableServer> Result;
  for (const auto &[Id, Known] : Entries_)
    if (!Known.Record_.IsDraining_ && !Known.SaysLeaving_ &&
        !Evacuated_.count(Known.Record_.Zone_))
      Result.push_back({Known.Record_, Known.ColdUntil_});
  return Result;
}

} // namespace cranberry
