/// \file store_cache.cpp Cache of the objects of one kind.
#include "steering/store_cache_base.h"

#include "platform/decode_func.h"

#include <algorithm>
#include <set>

using cranberry::platform::StoreChange;
using cranberry::platform::StoreObject;

namespace cranberry {

void StoreCache::put(const StoreObject &Object, Revision Changed) {
  auto [Found, IsNew] = Entries_.try_emplace(Object.Name_);
  Entry &Known = Found->second;
  // Servers renew their entries many times per second. A renewal isn't relayed.
  bool IsNews = IsNew || Known.IsRemoved_ ||
                !platform::isRenewal(Known.Object_.Body_, Object.Body_);
  Removed_ -= Known.IsRemoved_ ? 1 : 0;
  Known.IsRemoved_ = false;
  Known.Object_ = Object;
  if (IsNews)
    Known.Changed_ = Changed;
}

void StoreCache::remove(Entry &Gone, Revision Changed) {
  if (Gone.IsRemoved_)
    return;
  Gone.IsRemoved_ = true;
  Gone.Changed_ = Changed;
  ++Removed_;
}

void StoreCache::replaceAll(const std::vector<StoreObject> &Objects,
                            Revision Upto) {
  if (Revision_ == 0)
    Since_ = Upto;
  std::set<std::string> Listed;
  for (const StoreObject &Object : Objects) {
    Listed.insert(Object.Name_);
    put(Object, Upto);
  }
  for (auto &[Name, Known] : Entries_)
    if (!Listed.contains(Name))
      remove(Known, Upto);
  Revision_ = std::max(Revision_, Upto);
  forgetRemoved();
}

void StoreCache::apply(const platform::StoreChanges &Changes) {
  for (const StoreChange &Change : Changes.Changes_) {
    auto Known = Entries_.find(Change.Object_.Name_);
    if (!Change.IsRemoved_)
      put(Change.Object_, Changes.Revision_);
    else if (Known != Entries_.end())
      remove(Known->second, Changes.Revision_);
  }
  Revision_ = std::max(Revision_, Changes.Revision_);
  forgetRemoved();
}

void StoreCache::forgetRemoved() {
  if (Removed_ <= MaxRemoved)
    return;
  std::erase_if(Entries_,
                [](const auto &Each) { return Each.second.IsRemoved_; });
  Removed_ = 0;
  Since_ = Revision_;
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
  if (Known < Since_)
    return std::nullopt;
  platform::StoreChanges Result;
  Result.Revision_ = Revision_;
  for (const auto &[Name, Each] : Entries_)
    if (Each.Changed_ > Known)
      Result.Changes_.push_back({Each.Object_, Each.IsRemoved_});
  return Result;
}

} // namespace cranberry
