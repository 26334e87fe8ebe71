/// \file object_store_base.h Newest known version of every object.
#ifndef CRANBERRY_VERSION_OBJECT_STORE_BASE_H
#define CRANBERRY_VERSION_OBJECT_STORE_BASE_H

#include "version/object_type.h"

#include <map>
#include <optional>

namespace cranberry {

/// Holds objects by id and never goes back to an older version.
///
/// Invariants: the revision only grows, an object's revision only grows, and
/// a deletion is kept so that an older version can't bring an object back.
class ObjectStore {
public:
  /// Takes in changes from the platform or from a peer.
  /// \return Whether the revision or any object moved forward.
  bool applyChanges(const ObjectChanges &Changes);

  /// \return Everything that changed after \p Since.
  ObjectChanges getChangesSince(Revision Since) const;

  /// \return The object, or null if it is absent or deleted.
  const Object *find(const ObjectId &Id) const;

  /// \return All objects, deletions included.
  const std::map<ObjectId, Object> &getObjects() const { return Objects_; }

  /// \return Revision up to which everything is known.
  Revision getRevision() const { return Revision_; }

private:
  std::map<ObjectId, Object> Objects_; ///< Newest version by id.
  Revision Revision_ = 0;              ///< All changes up to it are here.
};

} // namespace cranberry

#endif
