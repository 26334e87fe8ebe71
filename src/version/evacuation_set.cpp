/// \file evacuation_set.cpp Availability zones that are evacuated.
#include "version/evacuation_set_base.h"

namespace cranberry {

void EvacuationSet::onStoreRolledBack(Time Now) {
  for (const std::string &Zone : Zones_)
    Unconfirmed_.try_emplace(Zone, Now + UnconfirmedLifetime);
}

void EvacuationSet::applyList(const std::set<std::string> &Zones) {
  for (const std::string &Zone : Zones)
    Unconfirmed_.erase(Zone);
  Zones_ = Zones;
  for (const auto &[Zone, End] : Unconfirmed_)
    Zones_.insert(Zone);
}

void EvacuationSet::applyChange(const std::string &Zone, bool IsRemoved) {
  Unconfirmed_.erase(Zone);
  if (IsRemoved)
    Zones_.erase(Zone);
  else
    Zones_.insert(Zone);
}

bool EvacuationSet::removeUnconfirmed(Time Now) {
  size_t Before = Zones_.size();
  std::erase_if(Unconfirmed_, [&](const auto &Entry) {
    bool IsOver = Entry.second <= Now;
    if (IsOver)
      Zones_.erase(Entry.first);
    return IsOver;
  });
  return Zones_.size() != Before;
}

} // namespace cranberry
