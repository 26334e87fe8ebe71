/// \file time_type.h Time points and durations.
#ifndef CRANBERRY_CORE_TIME_TYPE_H
#define CRANBERRY_CORE_TIME_TYPE_H

#include <chrono>

namespace cranberry {

/// Duration with the resolution that all components use.
using Duration = std::chrono::microseconds;

/// Point in monotonic time. Decision logic receives it as a parameter instead
/// of reading a clock, so that tests control time.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts a duration to whole milliseconds, rounded down.
inline int64_t toMilliseconds(Duration Value) {
  return std::chrono::duration_cast<milliseconds>(Value).count();
}

} // namespace cranberry

#endif
