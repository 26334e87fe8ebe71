/// \file store_type.h Objects of the platform's store.
#ifndef CRANBERRY_PLATFORM_STORE_TYPE_H
#define CRANBERRY_PLATFORM_STORE_TYPE_H

#include "core/time_type.h"
#include "version/object_type.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cranberry::platform {

/// One object.
struct StoreObject {
  std::string Name_;      ///< Name within its kind.
  Revision Revision_ = 0; ///< Store's revision of its last change.
  nlohmann::json Body_;   ///< What its writer put there.
};

/// Part of a list.
struct StorePage {
  std::vector<StoreObject> Objects_; ///< Objects, by name.
  bool HasMore_ = false;             ///< Whether the list goes on.
  Revision Revision_ = 0;            ///< Store's revision.
};

/// One change.
struct StoreChange {
  StoreObject Object_;     ///< Object after the change, or before removal.
  bool IsRemoved_ = false; ///< Whether it is gone.
};

/// Changes in order.
struct StoreChanges {
  std::vector<StoreChange> Changes_; ///< Changes.
  Revision Revision_ = 0;            ///< Revision to go on from.
};

/// What a call to the store asks of a kind.
struct StoreQuery {
  std::string Kind_;                  ///< Kind.
  std::optional<Revision> WatchFrom_; ///< Revision to watch from; else a list.
  Duration Wait_{0};                  ///< Longest wait of a watch.
};

/// How a call to the store ended.
enum class StoreStatus : uint8_t {
  Ok,          ///< Done.
  NotFound,    ///< No such object.
  Conflict,    ///< Another write came first.
  HistoryGone, ///< The revision to watch from is forgotten.
  RateLimited, ///< Beyond the rate; nothing was done.
  Unavailable, ///< Nothing was done.
  NoResponse,  ///< No answer; a write may have been done.
  Malformed,   ///< The answer can't be read.
};

/// Names of statuses, in the order of the enum.
inline constexpr const char *StoreStatusNames[] = {
    "ok",   "not-found",   "conflict", "history-gone",
    "busy", "unavailable", "lost",     "malformed"};

} // namespace cranberry::platform

#endif
