/// \file rate_report_type.h Reports on servers with a limited request rate.
#ifndef CRANBERRY_STEERING_RATE_REPORT_TYPE_H
#define CRANBERRY_STEERING_RATE_REPORT_TYPE_H

#include "core/rate_limit_type.h"

#include <string>
#include <vector>

namespace cranberry {

/// Demand for one server, or the share of it.
struct RateEntry {
  std::string Server_;   ///< Instance id.
  NamedRateLimit Limit_; ///< Newest limit that the sender knows.
  double PerSecond_ = 0; ///< Demand or share in starts per second.
};

/// Demands of an entry VM.
struct RateReport {
  std::string Vm_;                 ///< Name of the entry VM.
  std::vector<RateEntry> Demands_; ///< By server.
};

/// Shares of an entry VM.
struct RateReply {
  std::vector<RateEntry> Shares_; ///< By server.
};

} // namespace cranberry

#endif
