/// \file recent_starts_base.h Counts starts within a sliding window.
#ifndef CRANBERRY_REQUEST_RECENT_STARTS_BASE_H
#define CRANBERRY_REQUEST_RECENT_STARTS_BASE_H

#include "core/time_type.h"

#include <deque>

namespace cranberry {

/// Counts the starts at one server within a sliding window.
class RecentStarts {
public:
  /// Window of the rules on a server's request rate.
  static constexpr Duration Window = seconds(4);

  void recordStart(Time Now) {
    prune(Now);
    Starts_.push_back(Now);
  }

  /// \return Starts within the window that ends at \p Now.
  unsigned getCount(Time Now) {
    prune(Now);
    return static_cast<unsigned>(Starts_.size());
  }

private:
  void prune(Time Now) {
    while (!Starts_.empty() && Starts_.front() + Window <= Now)
      Starts_.pop_front();
  }

  std::deque<Time> Starts_; ///< Starts within the window.
};

} // namespace cranberry

#endif
