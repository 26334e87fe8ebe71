/// \file start_rate_limiter_base.h Limits starts within a second.
#ifndef CRANBERRY_REQUEST_START_RATE_LIMITER_BASE_H
#define CRANBERRY_REQUEST_START_RATE_LIMITER_BASE_H

#include "core/time_type.h"

#include <deque>

namespace cranberry {

/// Rate limiter with a sliding window. Unlike a token bucket, it also limits
/// any period that spans two refills.
class StartRateLimiter {
public:
  /// One second, plus a margin for differences in network latency to the
  /// server.
  static constexpr Duration Window = milliseconds(1150);

  /// \return Whether one more start keeps the window at \p Limit or less.
  bool canStart(double Limit, Time Now) {
    removeExpired(Now);
    return static_cast<double>(Starts_.size()) + 1 <= Limit;
  }

  void recordStart(Time Now) {
    removeExpired(Now);
    Starts_.push_back(Now);
  }

  /// \return Number of starts that are kept.
  size_t getKeptCount() const { return Starts_.size(); }

private:
  void removeExpired(Time Now) {
    while (!Starts_.empty() && Starts_.front() + Window <= Now)
      Starts_.pop_front();
  }

  std::deque<Time> Starts_; ///< Starts within the window.
};

} // namespace cranberry

#endif
