/// \file server_record_type.h Registration records of backend servers.
#ifndef CRANBERRY_VERSION_SERVER_RECORD_TYPE_H
#define CRANBERRY_VERSION_SERVER_RECORD_TYPE_H

#include "core/time_type.h"

#include <string>
#include <vector>

namespace cranberry {

/// Registration of one instance of a backend server.
struct ServerRecord {
  std::string InstanceId_;  ///< Instance id; most restarts change it.
  std::string Service_;     ///< Name of the service it runs.
  std::string Address_;     ///< "address:port"; a later instance may reuse it.
  std::string Zone_;        ///< Name of its availability zone.
  unsigned Slots_ = 1;      ///< Maximum concurrent requests.
  bool IsDraining_ = false; ///< Whether it refuses new requests.
  Duration ColdRemaining_{
      0};                ///< Rest of the cold phase at the time of the report.
  int64_t Sequence_ = 0; ///< Increases with each entry that the server writes.
  int64_t StartTimeMs_ = 0; ///< Start time, in Unix milliseconds; 0 if unknown.

  friend bool operator==(const ServerRecord &, const ServerRecord &) = default;
};

/// Update or removal of a registration.
struct ServerChange {
  ServerRecord Record_; ///< New record, or the last one if removed; InstanceId_
                        ///< is always set.
  bool IsRemoved_ = false; ///< Whether the registration was removed.
};

} // namespace cranberry

#endif
