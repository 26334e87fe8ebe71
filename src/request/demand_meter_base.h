/// \file demand_meter_base.h Measures the work that clients request.
#ifndef CRANBERRY_REQUEST_DEMAND_METER_BASE_H
#define CRANBERRY_REQUEST_DEMAND_METER_BASE_H

#include "core/time_type.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

namespace cranberry {

/// Measures how many slots the requests of this VM's clients keep busy, whether
/// they are served or refused.
class DemandMeter {
public:
  /// \param Work Typical time that the request occupies a slot.
  void recordArrival(Duration Work, Time Now) {
    // The first requests after a pause would look like little demand.
    if (!StartedAt_ || Now - LastArrival_ > MaxPause) {
      StartedAt_ = Now;
      Work_ = 0;
    }
    LastArrival_ = std::max(LastArrival_, Now);
    decay(Now);
    Work_ += std::chrono::duration<double>(Work).count();
  }

  /// \return Demand in slots, or std::nullopt before enough is known and
  /// without requests.
  std::optional<double> getDemand(Time Now) {
    if (!StartedAt_ || Now - *StartedAt_ < MinObservation ||
        Now - LastArrival_ > MaxPause)
      return std::nullopt;
    decay(Now);
    double Observed = toSeconds(Now - *StartedAt_);
    return Work_ /
           (SmoothingSeconds * (1 - std::exp(-Observed / SmoothingSeconds)));
  }

  /// Time from the first request to the first statement.
  static constexpr Duration MinObservation = seconds(2);

  /// Longest pause between two requests of the same observation.
  static constexpr Duration MaxPause = seconds(5);

private:
  static double toSeconds(Duration Value) {
    return std::chrono::duration<double>(Value).count();
  }

  void decay(Time Now) {
    Work_ *= std::exp(-toSeconds(std::max(Now - UpdatedAt_, Duration(0))) /
                      SmoothingSeconds);
    UpdatedAt_ = std::max(UpdatedAt_, Now);
  }

  static constexpr double SmoothingSeconds = 3;

  double Work_ = 0;               ///< Decaying sum of work, in seconds.
  std::optional<Time> StartedAt_; ///< Time of the first request.
  Time LastArrival_;              ///< Time of the last request.
  Time UpdatedAt_;                ///< Time of the last decay.
};

} // namespace cranberry

#endif
