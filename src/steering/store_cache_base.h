/// \file store_cache_base.h Cache of the objects of one kind.
#ifndef CRANBERRY_STEERING_STORE_CACHE_BASE_H
#define CRANBERRY_STEERING_STORE_CACHE_BASE_H

#include "platform/store_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Caches the objects that a follower has read, so that this VM can relay them
/// to others. Several changes of an object are reported as one, with its last
/// state.
class StoreCache {
public:
  /// Clears the cache if the store was restored. Revisions of different eras
  /// can't be compared.
  void startEra(platform::StoreEra Era);

  platform::StoreEra getEra() const { return Era_; }

  /// \return Revision up to which changes are included.
  Revision getRevision() const { return Revision_; }

  /// Replaces the content by a complete list.
  /// \param Upto Store revision of the list.
  void replaceAll(const std::vector<platform::StoreObject> &Objects,
                  Revision Upto);

  /// Applies the changes of one watch.
  void applyChanges(const platform::StoreChanges &Changes);

  /// \return All objects, sorted by name, and their store revision.
  platform::StorePage getPage() const;

  /// \return Changes after \p Known, or nothing if some were evicted.
  std::optional<platform::StoreChanges> getChangesSince(Revision Known) const;

private:
  struct Entry {
    platform::StoreObject Object_; ///< Last state of the object.
    Revision ChangeRevision_ = 0;  ///< Store revision of the change.
    bool IsRemoved_ = false;       ///< Whether the object was removed.
  };

  void putObject(const platform::StoreObject &Object, Revision Changed);
  void remove(Entry &Gone, Revision Changed);
  void evictRemoved();

  /// Maximum number of removed objects that are kept, which is the number of
  /// servers of a large site.
  static constexpr size_t MaxRemovedEntries = 1000;

  std::map<std::string, Entry> Entries_; ///< Includes removed ones.
  size_t RemovedCount_ = 0;              ///< Number of removed objects.
  platform::StoreEra Era_ = 0;           ///< Era of all revisions.
  Revision Revision_ = 0;     ///< Revision up to which changes are known.
  Revision HistoryStart_ = 0; ///< Revision from which removals are known.
};

} // namespace cranberry

#endif
