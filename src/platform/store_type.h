/// \file store_type.h Types of the platform's store.
#ifndef CRANBERRY_PLATFORM_STORE_TYPE_H
#define CRANBERRY_PLATFORM_STORE_TYPE_H

#include "core/time_type.h"
#include "version/object_type.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cranberry::platform {

/// Number of the store's history. Each time that the store is restored from an
/// older copy it starts a new era, in which it assigns revisions again that
/// other changes had before. 0 precedes the first response.
using StoreEra = uint64_t;

/// An object of the store.
struct StoreObject {
  std::string Name_;      ///< Name, unique within its kind.
  Revision Revision_ = 0; ///< Store revision of its last change.
  nlohmann::json Body_;   ///< Content set by its writer.
};

/// One page of a list.
struct StorePage {
  std::vector<StoreObject> Objects_; ///< Objects, sorted by name.
  bool HasMore_ = false;             ///< Whether more pages follow.
  Revision Revision_ = 0;            ///< Store revision of the page.
  /// Names of the objects whose bytes can't be read; empty if unknown. Those
  /// with a name are in Objects_, without a body.
  std::vector<std::string> Unreadable_;
  /// Name of the last object by the bytes of the store, whether the object can
  /// be read or not; the next page begins after it. Empty if unknown.
  std::string LastName_;
};

/// \param After Name after which \p Page was listed; empty for the first page.
/// \return Whether the next page can be listed. A list that doesn't advance
/// would have no end.
inline bool canListAfter(const StorePage &Page, const std::string &After) {
  return Page.HasMore_ && !Page.LastName_.empty() && Page.LastName_ != After;
}

/// A change of one object.
struct StoreChange {
  StoreObject Object_;     ///< Object after the change, or before removal.
  bool IsRemoved_ = false; ///< Whether the object was removed.
};

/// Result of a watch.
struct StoreChanges {
  std::vector<StoreChange> Changes_;    ///< Changes in the store's order.
  Revision Revision_ = 0;               ///< Revision for the next watch.
  std::vector<std::string> Unreadable_; ///< As in StorePage.
};

/// Parameters of a list or watch request.
struct StoreQuery {
  std::string Kind_;                  ///< Kind of objects.
  std::optional<Revision> WatchFrom_; ///< Unset for a list.
  Duration Wait_{0};                  ///< Longest wait of a watch.
  /// Whether only a VM that reads the store itself may respond.
  bool IsDirect_ = false;
};

/// Status of a call to the store.
enum class StoreStatus : uint8_t {
  Ok,          ///< The call succeeded.
  NotFound,    ///< The object doesn't exist.
  Conflict,    ///< The object exists or has another revision.
  HistoryGone, ///< The store no longer has the changes since that revision.
  RateLimited, ///< Over the rate limit; the call had no effect.
  Unavailable, ///< The store refused; the call had no effect.
  NoResponse,  ///< No response; a write may have taken effect.
  Malformed,   ///< The response can't be decoded.
};

/// Names of the statuses in logs, in the order of the enum.
inline constexpr const char *StoreStatusNames[] = {
    "ok",   "not-found",   "conflict", "history-gone",
    "busy", "unavailable", "lost",     "malformed"};

} // namespace cranberry::platform

#endif
