/// \file rate_check_base.h The platform's bound on requests at a server.
#ifndef CRANBERRY_TEST_SUPPORT_RATE_CHECK_BASE_H
#define CRANBERRY_TEST_SUPPORT_RATE_CHECK_BASE_H

#include "core/time_type.h"

#include <algorithm>
#include <vector>

namespace cranberry::test {

/// Window of the bound.
constexpr Duration RateWindow = seconds(4);

/// Time after a server named a limit before the bound applies.
constexpr Duration RateSettleTime = seconds(3);

/// \return Requests that a server with \p Limit requests per second may get
/// within RateWindow.
constexpr double getAllowedRuns(double Limit) {
  constexpr double Factor = 1.5;
  constexpr double Slack = 5;
  return Factor * Limit * std::chrono::duration<double>(RateWindow).count() +
         Slack;
}

/// \return Number of \p Runs from \p From until before \p To.
inline size_t countRuns(const std::vector<Time> &Runs, Time From, Time To) {
  return static_cast<size_t>(
      std::count_if(Runs.begin(), Runs.end(),
                    [=](Time At) { return At >= From && At < To; }));
}

/// \return Largest number of \p Runs in any RateWindow that starts at \p From
/// or later.
inline size_t getPeakRuns(const std::vector<Time> &Runs, Time From) {
  size_t Peak = 0;
  for (Time At : Runs)
    if (At >= From)
      Peak = std::max(Peak, countRuns(Runs, At, At + RateWindow));
  return Peak;
}

} // namespace cranberry::test

#endif
