/// \file virtual_time_base.h Event queue in virtual time.
#ifndef CRANBERRY_TEST_SUPPORT_VIRTUAL_TIME_BASE_H
#define CRANBERRY_TEST_SUPPORT_VIRTUAL_TIME_BASE_H

#include "core/time_type.h"

#include <functional>
#include <map>
#include <utility>

namespace cranberry::test {

/// Runs scheduled functions in the order of their times without reading a
/// clock.
class VirtualTime {
public:
  using Task = std::function<void()>;

  Time now() const { return Now_; }

  /// Schedules \p Run; a time in the past means now.
  void at(Time When, Task Run) {
    Tasks_.emplace(When < Now_ ? Now_ : When, std::move(Run));
  }

  void after(Duration Delay, Task Run) { at(Now_ + Delay, std::move(Run)); }

  /// Runs the next function.
  /// \return Whether there was one.
  bool step() {
    if (Tasks_.empty())
      return false;
    auto First = Tasks_.begin();
    Now_ = First->first;
    Task Run = std::move(First->second);
    Tasks_.erase(First);
    Run();
    return true;
  }

  /// Runs all functions due by \p End and advances the time to it.
  void runUntil(Time End) {
    while (!Tasks_.empty() && Tasks_.begin()->first <= End)
      step();
    Now_ = End;
  }

private:
  Time Now_{seconds(1000)};         ///< Current time.
  std::multimap<Time, Task> Tasks_; ///< Functions by time, then by insertion.
};

} // namespace cranberry::test

#endif
