/// \file work_history_base.h How long servers take for each kind of request.
#ifndef CRANBERRY_REQUEST_WORK_HISTORY_BASE_H
#define CRANBERRY_REQUEST_WORK_HISTORY_BASE_H

#include "core/duration_func.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cranberry {

/// Typical times of a route's requests at a server.
struct WorkEstimate {
  Duration Fast_{0}; ///< Its object is warm there.
  Duration Slow_{0}; ///< It is not.

  /// \return Which of the two a time is closer to.
  bool isFast(Duration Ran) const {
    return static_cast<double>(Ran.count()) <
           std::sqrt(static_cast<double>(Fast_.count()) *
                     static_cast<double>(Slow_.count()));
  }

  /// \return Expected time if the object is warm with \p Chance.
  Duration get(double Chance) const {
    return Slow_ - scale(Slow_ - Fast_, Chance);
  }
};

/// Learns the times by route. Each value moves the median that it is closer to,
/// which stragglers hardly shift.
class WorkHistory {
public:
  /// \param Objective Latency objective; the first estimates are parts of it.
  WorkEstimate getEstimate(uint64_t Route, Duration Objective) const {
    auto Found = ByRoute_.find(Route);
    if (Found != ByRoute_.end())
      return Found->second;
    constexpr double FirstFast = 0.35;
    return {scale(Objective, FirstFast), Objective};
  }

  /// A server took \p Ran, way there and back left out.
  /// \param HasObject Whether warmth matters; otherwise both times are one.
  void note(uint64_t Route, Duration Ran, bool HasObject, Duration Objective) {
    WorkEstimate &Known =
        ByRoute_.try_emplace(Route, getEstimate(Route, Objective))
            .first->second;
    Duration &Median = Known.isFast(Ran) ? Known.Fast_ : Known.Slow_;
    Duration Step = std::max(Median / StepShare, MinStep);
    Median += Ran > Median ? Step : -Step;
    Median = std::max(Median, MinStep);
    if (!HasObject)
      Known.Fast_ = Known.Slow_ = Median;
  }

private:
  /// A single value moves the estimate by a 24th.
  static constexpr int StepShare = 24;
  static constexpr Duration MinStep = milliseconds(1);

  absl::flat_hash_map<uint64_t, WorkEstimate> ByRoute_; ///< By route.
};

} // namespace cranberry

#endif
