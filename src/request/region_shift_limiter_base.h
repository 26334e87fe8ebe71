/// \file region_shift_limiter_base.h Limits traffic shifts between regions.
#ifndef CRANBERRY_REQUEST_REGION_SHIFT_LIMITER_BASE_H
#define CRANBERRY_REQUEST_REGION_SHIFT_LIMITER_BASE_H

#include "core/time_type.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace cranberry {

/// Limits the rate at which the shares of requests that run in other regions
/// change. Each region gets a ramp, even if the requests ran in a third region
/// before. A share that falls faster than the limit, as after a burst, is to be
/// kept up by requests that don't suffer from it. After a failure the limit is
/// lifted for a while, as a region may have lost its servers.
class RegionShiftLimiter {
public:
  /// \param MaxGrowth Maximum growth of all shares together within
  /// GrowthPeriod, as a fraction of all requests.
  explicit RegionShiftLimiter(double MaxGrowth) { setMaxGrowth(MaxGrowth); }

  /// \param MaxGrowth See the constructor.
  void setMaxGrowth(double MaxGrowth);

  /// Records that a request was sent to a server.
  /// \param RegionName Region of the server; empty if it is this VM's region.
  void recordStart(std::string_view RegionName, Time Now);

  /// Records a failure of servers, entry VMs or the network, which lifts the
  /// limit for a while.
  void recordFailure(Time Now) { UnlimitedUntil_ = Now + FailurePeriod; }

  /// Lifts the limit for a while from the first request on. A VM that has
  /// restarted doesn't know the shares from before, and starting them at zero
  /// would move requests back to a region without room for them.
  void liftFromFirstRequest() { IsLiftedFromFirst_ = true; }

  /// \param IsStanding Whether the request follows the standing division of
  /// requests among regions. The first requests may follow it without a limit,
  /// as none ran elsewhere before.
  /// \return Whether one more request may be sent to \p RegionName.
  bool canSendTo(std::string_view RegionName, Time Now,
                 bool IsStanding = false);

  /// \return Whether the share of \p RegionName has fallen by more than the
  /// limit, so that requests should go there even if this region has room.
  bool isFallingTooFast(std::string_view RegionName, Time Now);

private:
  /// Traffic to another region.
  struct Region {
    std::string Name_;         ///< Region name.
    double Requests_ = 0;      ///< Requests within the window.
    double RecentShare_ = 0;   ///< Highest recent share.
    Time ReachedAt_;           ///< Last time at that share.
    double FirstRequests_ = 0; ///< Part of RegionShiftLimiter::FirstRequests_.
  };

  /// Counts for a part of the window.
  struct Step {
    Time Start_;                           ///< Start of the step.
    double TotalRequests_ = 0;             ///< All requests sent.
    std::vector<double> RequestsByRegion_; ///< Requests by index in Regions_.
  };

  /// \return Whether the first requests follow the division, see canSendTo().
  bool isStarting(Time Now) const { return Now < StartsUntil_; }

  Region &getRegion(std::string_view Name);
  void advance(Time Now);
  void endStart();

  /// Period to which the configured maximum growth applies.
  static constexpr Duration GrowthPeriod = seconds(2);

  /// Sliding window over which shares are computed. It is shorter than the
  /// growth period, as a share also grows when fewer requests start in this
  /// region.
  static constexpr Duration Window = seconds(1);
  static constexpr Duration StepLength = milliseconds(200);

  /// How long a failure lifts the limit: queues drain and caches warm up for a
  /// few seconds.
  static constexpr Duration FailurePeriod = seconds(4);

  /// Number of requests from which their shares count while the limit is
  /// lifted.
  static constexpr double MinSampleSize = 20;

  double MaxWindowGrowth_ = 0;  ///< Maximum growth of all shares per window.
  double AvailableGrowth_ = 0;  ///< Growth that is available now.
  double TotalRequests_ = 0;    ///< All requests within the window.
  std::deque<Step> Steps_;      ///< Counts within the window, oldest first.
  std::vector<Region> Regions_; ///< Regions that requests were sent to.
  Time Updated_;                ///< Time of the last update of the window.
  Time UnlimitedUntil_;         ///< The limit is lifted until then.
  /// Until then, requests may follow the standing division without a limit.
  Time StartsUntil_;
  double FirstRequests_ = 0; ///< Requests in a GrowthPeriod from FirstStart_.
  Time FirstStart_;          ///< First request after a pause.
  Time LastStart_;           ///< Time of the last request.
  bool IsLiftedFromFirst_ = false; ///< See liftFromFirstRequest().
};

} // namespace cranberry

#endif
