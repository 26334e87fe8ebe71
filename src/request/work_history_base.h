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
struct ServiceTimeEstimate {
  Duration HitTime_{0};  ///< Its object is warm there.
  Duration MissTime_{0}; ///< It is not.

  /// \return Which of the two a time is closer to.
  bool isCloserToHit(Duration Ran) const {
    return static_cast<double>(Ran.count()) <
           std::sqrt(static_cast<double>(HitTime_.count()) *
                     static_cast<double>(MissTime_.count()));
  }

  /// \return Expected time if the object is warm with \p Chance.
  Duration get(double Chance) const {
    return MissTime_ - scaleDuration(MissTime_ - HitTime_, Chance);
  }
};

/// Learns the times by route. Each value moves the median that it is closer to,
/// which stragglers hardly shift.
class ServiceTimeHistory {
public:
  /// \param Objective Latency objective; the first estimates are parts of it.
  ServiceTimeEstimate getEstimate(uint64_t Route, Duration Objective) const {
    auto Found = ByRoute_.find(Route);
    if (Found != ByRoute_.end())
      return Found->second;
    constexpr double FirstFast = 0.35;
    return {scaleDuration(Objective, FirstFast), Objective};
  }

  /// A server took \p Ran, way there and back left out.
  /// \param HasObject Whether warmth matters; otherwise both times are one.
  void record(uint64_t Route, Duration Ran, bool HasObject,
              Duration Objective) {
    ServiceTimeEstimate &Known =
        ByRoute_.try_emplace(Route, getEstimate(Route, Objective))
            .first->second;
    Duration &Median =
        Known.isCloserToHit(Ran) ? Known.HitTime_ : Known.MissTime_;
    Duration Step = std::max(Median / StepShare, MinStep);
    Median += Ran > Median ? Step : -Step;
    Median = std::max(Median, MinStep);
    if (!HasObject)
      Known.HitTime_ = Known.MissTime_ = Median;
  }

private:
  /// A single value moves the estimate by a 24th.
  static constexpr int StepShare = 24;
  static constexpr Duration MinStep = milliseconds(1);

  absl::flat_hash_map<uint64_t, ServiceTimeEstimate> ByRoute_; ///< By route.
};

} // namespace cranberry

#endif
