/// \file rate_limit_type.h Limit on the request rate of a server.
#ifndef CRANBERRY_CORE_RATE_LIMIT_TYPE_H
#define CRANBERRY_CORE_RATE_LIMIT_TYPE_H

#include "core/time_type.h"

#include <optional>

namespace cranberry {

/// Limit on the request rate that a server names in its responses.
struct NamedRateLimit {
  /// Requests per second from all entry VMs together; none if not limited.
  std::optional<double> PerSecond_;
  Time NamedAt_; ///< Time of the response.
};

} // namespace cranberry

#endif
