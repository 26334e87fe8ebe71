/// \file peak_count_base.h Peak-hold filter for a count.
#ifndef CRANBERRY_PROCESS_PEAK_COUNT_BASE_H
#define CRANBERRY_PROCESS_PEAK_COUNT_BASE_H

#include "core/time_type.h"

namespace cranberry {

/// Peak-hold filter: follows increases of a count immediately and decreases
/// only after HoldTime. Without it, partitioned entry VMs that still use the
/// same servers would each claim the shares of the VMs that they can't see.
class PeakCount {
public:
  /// Exceeds most network partitions in the benchmarks, which last up to 10 s.
  static constexpr Duration HoldTime = seconds(15);

  /// Adds a sample.
  /// \return The held peak; at least \p Value.
  unsigned update(unsigned Value, Time Now) {
    if (Value >= Peak_ || Now >= PeakExpiry_) {
      Peak_ = Value;
      PeakExpiry_ = Now + HoldTime;
    }
    return Peak_;
  }

private:
  unsigned Peak_ = 0; ///< Largest sample since the peak was last reset.
  Time PeakExpiry_;   ///< End of the hold time.
};

} // namespace cranberry

#endif
