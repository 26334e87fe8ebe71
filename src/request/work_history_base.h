/// \file work_history_base.h How long servers take for each kind of request.
#ifndef CRANBERRY_REQUEST_WORK_HISTORY_BASE_H
#define CRANBERRY_REQUEST_WORK_HISTORY_BASE_H

#include "core/duration_func.h"
#include "request/warm_set_base.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cranberry {

/// Typical times of a route's requests at a server.
struct WorkEstimate {
  Duration Warm_{0}; ///< Its object is warm there.
  Duration Cold_{0}; ///< It is not.

  Duration get(Warmth State) const {
    return State == Warmth::Warm ? Warm_ : Cold_;
  }

  /// \return Whether a time is that of a warm object, if the two differ.
  bool isFast(Duration Ran) const {
    return Ran.count() < std::sqrt(static_cast<double>(Warm_.count()) *
                                   static_cast<double>(Cold_.count()));
  }
};

/// Learns the times by route. It follows medians, which stragglers do not move.
class WorkHistory {
public:
  /// \param Objective Latency objective; the first estimate is a part of it.
  WorkEstimate getEstimate(uint64_t Route, Duration Objective) const {
    auto Found = ByRoute_.find(Route);
    if (Found != ByRoute_.end())
      return Found->second;
    constexpr double FirstCold = 0.6;
    constexpr double FirstWarm = 0.4;
    return {scale(Objective, FirstWarm), scale(Objective, FirstCold)};
  }

  /// A server took \p Ran, way there and back left out, for a request whose
  /// object was thought to be in \p State.
  void note(uint64_t Route, Warmth State, Duration Ran, Duration Objective) {
    if (State == Warmth::Evicted)
      return; // Tells neither of the two.
    WorkEstimate &Known =
        ByRoute_.try_emplace(Route, getEstimate(Route, Objective))
            .first->second;
    Duration &Median = State == Warmth::Warm ? Known.Warm_ : Known.Cold_;
    Duration Step = std::max(Median / StepShare, MinStep);
    Median += Ran > Median ? Step : -Step;
    Median = std::max(Median, MinStep);
    Known.Warm_ = std::min(Known.Warm_, Known.Cold_);
  }

private:
  /// A single value moves the estimate by a 24th.
  static constexpr int StepShare = 24;
  static constexpr Duration MinStep = milliseconds(1);

  absl::flat_hash_map<uint64_t, WorkEstimate> ByRoute_; ///< By route.
};

} // namespace cranberry

#endif
