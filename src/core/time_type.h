/// \file time_type.h Points in time and durations used by all decisions.
#ifndef CRANBERRY_CORE_TIME_TYPE_H
#define CRANBERRY_CORE_TIME_TYPE_H

#include <chrono>

namespace cranberry {

/// Resolution of every duration in a decision.
using Duration = std::chrono::microseconds;

/// A point in monotonic time; tests construct it, the daemon reads a clock.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts a duration to whole milliseconds, rounded down.
inline int64_t toMilliseconds(Duration Value) {
  return std::chrono::duration_cast<milliseconds>(Value).count();
}

} // namespace cranberry

#endif
