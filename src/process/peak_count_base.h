/// \file peak_count_base.h Largest recent value of a count.
#ifndef CRANBERRY_PROCESS_PEAK_COUNT_BASE_H
#define CRANBERRY_PROCESS_PEAK_COUNT_BASE_H

#include "core/time_type.h"

namespace cranberry {

/// Follows a count up at once and down only after a while. Entry VMs that
/// can't hear each other, and go on using the same servers, would otherwise
/// each take the shares of the others.
class PeakCount {
public:
  /// \return The largest value noted in the last \ref Life.
  unsigned update(unsigned Value, Time Now) {
    if (Value >= Peak_ || Now >= PeakExpiry_) {
      Peak_ = Value;
      PeakExpiry_ = Now + HoldTime;
    }
    return Peak_;
  }

private:
  /// Longer than the partitions that the benches play, most of which take up
  /// to 10 s.
  static constexpr Duration HoldTime = seconds(15);

  unsigned Peak_ = 0; ///< Largest value.
  Time PeakExpiry_;   ///< When smaller ones count again.
};

} // namespace cranberry

#endif
