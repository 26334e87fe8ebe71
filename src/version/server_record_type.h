/// \file server_record_type.h What a backend server tells of itself.
#ifndef CRANBERRY_VERSION_SERVER_RECORD_TYPE_H
#define CRANBERRY_VERSION_SERVER_RECORD_TYPE_H

#include "core/time_type.h"

#include <string>
#include <vector>

namespace cranberry {

/// One incarnation of a backend server, as registered.
struct ServerRecord {
  std::string InstanceId_;    ///< Instance, new with most starts.
  std::string Service_;       ///< Service.
  std::string Address_;       ///< "address:port"; may be used again later.
  std::string Zone_;          ///< Availability zone.
  unsigned Slots_ = 1;        ///< Concurrent requests that it runs.
  bool IsDraining_ = false;   ///< Whether it takes no new work.
  Duration ColdRemaining_{0}; ///< Time that it stays cold after the report.
  int64_t StartTimeMs_ = 0;   ///< Unix time of its start, 0 if not told.

  friend bool operator==(const ServerRecord &, const ServerRecord &) = default;
};

/// A record was written or removed.
struct ServerChange {
  ServerRecord Record_;    ///< New record; only Id_ if removed.
  bool IsRemoved_ = false; ///< Whether the entry is gone.
};

} // namespace cranberry

#endif
