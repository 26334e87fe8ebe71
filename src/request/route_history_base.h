/// \file route_history_base.h Running times of requests by route.
#ifndef CRANBERRY_REQUEST_ROUTE_HISTORY_BASE_H
#define CRANBERRY_REQUEST_ROUTE_HISTORY_BASE_H

#include "core/time_type.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

namespace cranberry {

/// Estimates the running time of requests by route, from completed attempts.
class RouteHistory {
public:
  /// Records an attempt that completed after \p Ran.
  void recordCompleted(const std::string &Route, Duration Ran);

  /// \return Expected running time; the median over all routes if \p Route is
  /// unknown.
  Duration getEstimate(const std::string &Route) const;

  /// \return Running median of the route, or zero if it is unknown. It tells
  /// long routes from short ones, as a few stragglers move the mean but hardly
  /// the median.
  Duration getMedian(const std::string &Route) const;

  /// \return Longest recent running time of the route, or zero if it is
  /// unknown.
  Duration getLongest(const std::string &Route) const;

  /// Records that an attempt was still running after \p Ran.
  void recordUnfinished(const std::string &Route, Duration Ran);

  /// \return Approximate median of the running times over all routes.
  Duration getOverallMedian() const { return OverallMedian_; }

private:
  struct Entry {
    Duration Mean_{0};    ///< Exponential moving average.
    Duration Median_{0};  ///< Running median.
    Duration Longest_{0}; ///< Longest running time; decays slowly.
  };

  absl::flat_hash_map<std::string, Entry> Routes_; ///< Statistics by route.
  Duration OverallMedian_{0}; ///< Running median over all routes.
};

/// Derives the route of a request: its method and path, with every segment that
/// contains a digit replaced by "#", so that object ids do not split a route.
std::string makeRoute(std::string_view Method, std::string_view Path);

} // namespace cranberry

#endif
