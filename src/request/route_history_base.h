/// \file route_history_base.h Expected running time of each route.
#ifndef CRANBERRY_REQUEST_ROUTE_HISTORY_BASE_H
#define CRANBERRY_REQUEST_ROUTE_HISTORY_BASE_H

#include "core/time_type.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

namespace cranberry {

/// Learns how long requests of a route run, from completed attempts.
class RouteHistory {
public:
  /// Notes a completed attempt.
  void recordCompleted(const std::string &Route, Duration Ran);

  /// \return Expected running time; the typical one for an unknown route.
  Duration getEstimate(const std::string &Route) const;

  /// \return Running median of the route, or zero. A few stragglers move the
  /// mean but not the median, so this one tells long routes from short.
  Duration getMedian(const std::string &Route) const;

  /// \return Longest recent running time of the route, or zero.
  Duration getLongest(const std::string &Route) const;

  /// Notes that an attempt was still running after \p Ran.
  void recordUnfinished(const std::string &Route, Duration Ran);

  /// \return Running time that half of all requests stay under, roughly.
  Duration getOverallMedian() const { return OverallMedian_; }

private:
  struct Entry {
    Duration Mean_{0};    ///< Smoothed running time.
    Duration Median_{0};  ///< Running median.
    Duration Longest_{0}; ///< Longest, which fades slowly.
  };

  absl::flat_hash_map<std::string, Entry> Routes_; ///< By route.
  Duration OverallMedian_{0};                      ///< Running median.
};

/// Derives the route of a request: its method and path with every segment
/// that holds a digit replaced, so that identifiers do not split a route.
std::string makeRoute(std::string_view Method, std::string_view Path);

} // namespace cranberry

#endif
