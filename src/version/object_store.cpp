/// \file object_store.cpp Local copy of the newest version of every object.
#include "version/object_store_base.h"

namespace cranberry {

bool ObjectStore::applyChanges(const ObjectChanges &Changes) {
  bool HasAdvanced = false;
  for (const Object &Change : Changes.Objects_) {
    Object &Known = Objects_[Change.Id_];
    if (Known.Revision_ >= Change.Revision_)
      continue;
    Known = Change;
    HasAdvanced = true;
  }
  if (Changes.EndRevision_ <= Revision_)
    return HasAdvanced;
  Revision_ = Changes.EndRevision_;
  return true;
}

ObjectChanges ObjectStore::getChangesSince(Revision Since) const {
  ObjectChanges Changes;
  Changes.EndRevision_ = Revision_;
  for (const auto &[Id, Known] : Objects_)
    if (Known.Revision_ > Since)
      Changes.Objects_.push_back(Known);
  return Changes;
}

const Object *ObjectStore::find(const ObjectId &Id) const {
  auto Found = Objects_.find(Id);
  if (Found == Objects_.end() || Found->second.IsDeleted_)
    return nullptr;
  return &Found->second;
}

} // namespace cranberry
