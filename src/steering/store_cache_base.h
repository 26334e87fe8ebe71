/// \file store_cache_base.h Last state of one kind of objects.
#ifndef CRANBERRY_STEERING_STORE_CACHE_BASE_H
#define CRANBERRY_STEERING_STORE_CACHE_BASE_H

#include "platform/store_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Keeps what a follower heard, so that other entry VMs can hear it from here.
/// Changes are told by the state that they led to, however many there were.
class StoreCache {
public:
  /// Takes over a whole list.
  /// \param Upto Store's revision of the list.
  void replaceAll(const std::vector<platform::StoreObject> &Objects,
                  Revision Upto);

  /// Takes over the changes of one watch.
  void applyChanges(const platform::StoreChanges &Changes);

  /// \return All objects, by name, and the revision that they stand for.
  platform::StorePage getPage() const;

  /// \return Changes after \p Known, or nothing if some are forgotten.
  std::optional<platform::StoreChanges> getChangesSince(Revision Known) const;

private:
  struct Entry {
    platform::StoreObject Object_; ///< Last state.
    Revision ChangeRevision_ = 0;  ///< Store's revision when it was heard.
    bool IsRemoved_ = false;       ///< Whether it is gone.
  };

  void putObject(const platform::StoreObject &Object, Revision Changed);
  void remove(Entry &Gone, Revision Changed);
  void evictRemoved();

  /// Removed objects that are remembered; as many as a large site's servers.
  static constexpr size_t MaxRemovedEntries = 1000;

  std::map<std::string, Entry> Entries_; ///< By name, removed ones too.
  size_t RemovedCount_ = 0;              ///< Number of removed ones.
  Revision Revision_ = 0;                ///< Up to which changes are known.
  Revision HistoryStart_ = 0;            ///< From which on removals are known.
};

} // namespace cranberry

#endif
