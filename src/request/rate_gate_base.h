/// \file rate_gate_base.h Bounds the requests that start within a second.
#ifndef CRANBERRY_REQUEST_RATE_GATE_BASE_H
#define CRANBERRY_REQUEST_RATE_GATE_BASE_H

#include "core/time_type.h"

#include <deque>

namespace cranberry {

/// Counts starts over a sliding window, which unlike a token bucket also
/// bounds any span that straddles two of its refills.
class StartRateLimiter {
public:
  /// A second, and some for differences in the ways to the server.
  static constexpr Duration Window = milliseconds(1150);

  /// \return Whether another start keeps the window at \p Limit or less.
  bool canStart(double Limit, Time Now) {
    while (!Starts_.empty() && Starts_.front() + Window <= Now)
      Starts_.pop_front();
    return static_cast<double>(Starts_.size()) + 1 <= Limit;
  }

  void recordStart(Time Now) { Starts_.push_back(Now); }

private:
  std::deque<Time> Starts_; ///< Starts within the window.
};

} // namespace cranberry

#endif
