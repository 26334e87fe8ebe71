/// \file work_history_base.h How long servers take for each kind of request.
#ifndef CRANBERRY_REQUEST_WORK_HISTORY_BASE_H
#define CRANBERRY_REQUEST_WORK_HISTORY_BASE_H

#include "core/time_type.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>

namespace cranberry {

/// Typical time at a server, by route. It follows the median, which stragglers
/// do not move.
class WorkHistory {
public:
  /// \param Objective Latency objective; the first estimate is a part of it.
  Duration getEstimate(uint64_t Route, Duration Objective) const {
    auto Found = Median_.find(Route);
    constexpr double FirstShare = 0.6;
    return Found != Median_.end()
               ? Found->second
               : std::chrono::duration_cast<Duration>(Objective * FirstShare);
  }

  /// A server took \p Ran, way there and back left out.
  void note(uint64_t Route, Duration Ran, Duration Objective) {
    Duration &Median =
        Median_.try_emplace(Route, getEstimate(Route, Objective)).first->second;
    Duration Step = std::max(Median / StepShare, MinStep);
    Median += Ran > Median ? Step : -Step;
    Median = std::max(Median, MinStep);
  }

private:
  /// A single value moves the estimate by a 32nd, so that twenty are needed to
  /// double it.
  static constexpr int StepShare = 32;
  static constexpr Duration MinStep = milliseconds(1);

  absl::flat_hash_map<uint64_t, Duration> Median_; ///< By route.
};

} // namespace cranberry

#endif
