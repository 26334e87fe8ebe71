/// \file service_time_history_base.h Service times of requests by route.
#ifndef CRANBERRY_REQUEST_SERVICE_TIME_HISTORY_BASE_H
#define CRANBERRY_REQUEST_SERVICE_TIME_HISTORY_BASE_H

#include "core/duration_func.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cranberry {

/// Typical service times of a route's requests.
struct ServiceTimeEstimate {
  Duration HitTime_{0};  ///< Time if the object is in the server's cache.
  Duration MissTime_{0}; ///< Time if it is not.

  /// \return Whether \p Ran is closer to the time of a cache hit, on a log
  /// scale.
  bool isCloserToHit(Duration Ran) const {
    return static_cast<double>(Ran.count()) <
           std::sqrt(static_cast<double>(HitTime_.count()) *
                     static_cast<double>(MissTime_.count()));
  }

  /// \return Expected time if the object is cached with probability \p Chance.
  Duration get(double Chance) const {
    return MissTime_ - scaleDuration(MissTime_ - HitTime_, Chance);
  }
};

/// Estimates service times by route. Each sample moves the median that it is
/// closer to; stragglers hardly shift a median.
class ServiceTimeHistory {
public:
  /// \param Objective Latency objective; the initial estimates derive from it.
  /// \return Estimate for \p Route.
  ServiceTimeEstimate getEstimate(uint64_t Route, Duration Objective) const {
    auto Found = ByRoute_.find(Route);
    if (Found != ByRoute_.end())
      return Found->second;
    constexpr double FirstFast = 0.35;
    return {scaleDuration(Objective, FirstFast), Objective};
  }

  /// Records a service time of \p Ran, network latency excluded.
  /// \param HasObject Whether caching matters; otherwise both times are equal.
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
  /// One sample moves an estimate by 1/24 of its value.
  static constexpr int StepShare = 24;
  static constexpr Duration MinStep = milliseconds(1);

  /// Estimates by route.
  absl::flat_hash_map<uint64_t, ServiceTimeEstimate> ByRoute_;
};

} // namespace cranberry

#endif
