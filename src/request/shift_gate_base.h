/// \file shift_gate_base.h Bounds how fast traffic moves to other regions.
#ifndef CRANBERRY_REQUEST_SHIFT_GATE_BASE_H
#define CRANBERRY_REQUEST_SHIFT_GATE_BASE_H

#include "core/time_type.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace cranberry {

/// Lets the shares of requests that run in other regions grow at a bounded
/// rate, so that each region sees a ramp, also of requests that ran in a third
/// region before. Shares may fall at any rate. After a failure requests move at
/// once, as a region may have lost its servers.
class RegionShiftLimiter {
public:
  /// \param MaxGrowth Largest growth of all shares together in \ref GrowthSpan.
  explicit RegionShiftLimiter(double MaxGrowth) { setMaxGrowth(MaxGrowth); }

  /// \param MaxGrowth See the constructor.
  void setMaxGrowth(double MaxGrowth);

  /// A request was sent to a server.
  /// \param FarRegion Where it runs; empty if it stays in its region.
  void recordStart(std::string_view FarRegion, Time Now);

  /// Something failed: servers, entry VMs or the ways to them.
  void recordFailure(Time Now) { UnlimitedUntil_ = Now + FailurePeriod; }

  /// \return Whether one more request may run in \p FarRegion.
  bool canSendTo(std::string_view FarRegion, Time Now);

private:
  /// Another region.
  struct Region {
    std::string Name_;       ///< Name.
    double Requests_ = 0;    ///< Requests within the window.
    double RecentShare_ = 0; ///< Share that it had of late.
    Time ReachedAt_;         ///< When it had that share.
  };

  /// Part of the window.
  struct Step {
    Time Start_;                           ///< Start.
    double TotalRequests_ = 0;             ///< Requests sent.
    std::vector<double> RequestsByRegion_; ///< Of these, by index in Regions_.
  };

  Region &getRegion(std::string_view Name);
  void advance(Time Now);

  /// Time for which operators bound the growth.
  static constexpr Duration GrowthPeriod = seconds(2);

  /// Over which shares are taken. Short against the span, as a share also grows
  /// when less starts in the region.
  static constexpr Duration Window = seconds(1);
  static constexpr Duration StepLength = milliseconds(200);

  /// A failure is felt for some seconds, while queues drain and caches warm.
  static constexpr Duration FailurePeriod = seconds(4);

  double MaxWindowGrowth_ = 0;  ///< Growth of all shares in a window.
  double AvailableGrowth_ = 0;  ///< Growth that is left to them now.
  double TotalRequests_ = 0;    ///< Requests within the window.
  std::deque<Step> Steps_;      ///< Window.
  std::vector<Region> Regions_; ///< Regions that requests were sent to.
  Time Updated_;                ///< When Growth_ was last raised.
  Time UnlimitedUntil_;         ///< No bound before.
};

} // namespace cranberry

#endif
