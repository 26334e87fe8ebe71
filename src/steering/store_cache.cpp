/// \file store_cache.cpp Cache of the objects of one kind.
#include "steering/store_cache_base.h"

#include "platform/decode_func.h"

#include <algorithm>
#include <set>

using cranberry::platform::StoreChange;
using cranberry::platform::StoreObject;

namespace cranberry {

void StoreCache::putObject(const StoreObject &Object, Revision Changed) {
  auto [Found, IsNew] = Entries_.try_emplace(Object.Name_);
  Entry &Known = Found->second;
  // Servers renew their entries many times per second. A renewal isn't relayed.
  bool IsNews = IsNew || Known.IsRemoved_ ||
                !platform::isRenewal(Known.Object_.Body_, Object.Body_);
  RemovedCount_ -= Known.IsRemoved_ ? 1 : 0;
  Known.IsRemoved_ = false;
  Known.Object_ = Object;
  if (IsNews)
    Known.ChangeRevision_ = Changed;
}

void StoreCache::remove(Entry &Gone, Revision Changed) {
  if (Gone.IsRemoved_)
    return;
  Gone.IsRemoved_ = true;
  Gone.ChangeRevision_ = Changed;
  ++RemovedCount_;
}

void StoreCache::startEra(platform::StoreEra Era) {
  if (Era == Era_)
    return;
  *this = StoreCache();
  Era_ = Era;
}

void StoreCache::replaceAll(const std::vector<StoreObject> &Objects,
                            Revision Upto) {
  if (Revision_ == 0)
    HistoryStart_ = Upto;
  std::set<std::string> Listed;
  for (const StoreObject &Object : Objects) {
    Listed.insert(Object.Name_);
    putObject(Object, Upto);
  }
  for (auto &[Name, Known] : Entries_)
    if (!Listed.contains(Name))
      remove(Known, Upto);
  Revision_ = std::max(Revision_, Upto);
  evictRemoved();
}

void StoreCache::applyChanges(const platform::StoreChanges &Changes) {
  for (const StoreChange &Change : Changes.Changes_) {
    auto Known = Entries_.find(Change.Object_.Name_);
    if (!Change.IsRemoved_)
      putObject(Change.Object_, Changes.Revision_);
    else if (Known != Entries_.end())
      remove(Known->second, Changes.Revision_);
  }
  Revision_ = std::max(Revision_, Changes.Revision_);
  evictRemoved();
}

void StoreCache::evictRemoved() {
  if (RemovedCount_ <= MaxRemovedEntries)
    return;
  std::erase_if(Entries_,
                [](const auto &Each) { return Each.second.IsRemoved_; });
  RemovedCount_ = 0;
  HistoryStart_ = Revision_;
}

platform::StorePage StoreCache::getPage() const {
  platform::StorePage Result;
  Result.Revision_ = Revision_;
  for (const auto &[Name, Known] : Entries_)
    if (!Known.IsRemoved_)
      Result.Objects_.push_back(Known.Object_);
  return Result;
}

std::optional<platform::StoreChanges>
StoreCache::getChangesSince(Revision Known) const {
  if (Known < HistoryStart_)
    return std::nullopt;
  platform::StoreChanges Result;
  Result.Revision_ = Revision_;
  for (const auto &[Name, Each] : Entries_)
    if (Each.ChangeRevision_ > Known)
      Result.Changes_.push_back({Each.Object_, Each.IsRemoved_});
  return Result;
}

} // namespace cranberry
