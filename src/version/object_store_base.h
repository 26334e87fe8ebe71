/// \file object_store_base.h Local copy of the newest version of every object.
#ifndef CRANBERRY_VERSION_OBJECT_STORE_BASE_H
#define CRANBERRY_VERSION_OBJECT_STORE_BASE_H

#include "version/object_type.h"

#include <map>
#include <optional>

namespace cranberry {

/// Stores the newest version of each object and rejects older ones.
///
/// Invariants: the revision of the store and of each object never decreases,
/// and a deleted object is kept as a tombstone, so that an older version can't
/// restore it.
class ObjectStore {
public:
  /// Applies changes from the platform or from a peer; versions older than the
  /// stored ones are ignored.
  /// \return Whether the revision of the store or of any object has increased.
  bool applyChanges(const ObjectChanges &Changes);

  /// \return All changes after revision \p Since.
  ObjectChanges getChangesSince(Revision Since) const;

  /// \return The object, or null if it does not exist or is deleted.
  const Object *find(const ObjectId &Id) const;

  /// \return All objects, tombstones included.
  const std::map<ObjectId, Object> &getObjects() const { return Objects_; }

  /// \return Revision up to which all changes have been applied.
  Revision getRevision() const { return Revision_; }

private:
  std::map<ObjectId, Object> Objects_; ///< Newest version of each object.
  Revision Revision_ = 0; ///< All changes up to it have been applied.
};

} // namespace cranberry

#endif
