/// \file repeat_budget_base.h Limits retries and hedges per service.
#ifndef CRANBERRY_REQUEST_REPEAT_BUDGET_BASE_H
#define CRANBERRY_REQUEST_REPEAT_BUDGET_BASE_H

#include "core/time_type.h"

#include <deque>
#include <utility>

namespace cranberry {

/// Limits for the repeats (retries and hedges) of one service on all entry VMs
/// together.
struct RepeatLimits {
  double Ratio_ = 0.1; ///< Repeats allowed per request.
  double Slack_ = 0;   ///< Repeats allowed per window in addition to the ratio.
  Duration Window_ = seconds(10); ///< Length of the sliding window.
};

/// This entry VM's share of the repeats of a service. Each VM applies the ratio
/// to its own requests and gets an equal part of the slack, so that the VMs
/// together stay within the limits without coordination.
class RepeatBudget {
public:
  void setLimits(const RepeatLimits &Limits, unsigned EntryVms) {
    Limits_ = Limits;
    EntryVms_ = EntryVms == 0 ? 1 : EntryVms;
  }

  /// Records a request for the service.
  void recordRequest(Time Now) { add(Requests_, Now, RequestCount_); }

  /// Takes one repeat from the budget.
  /// \return Whether the budget allowed it.
  bool tryConsume(Time Now) {
    expire(Now);
    double Allowed = SafetyFactor * (Limits_.Ratio_ * RequestCount_ +
                                     Limits_.Slack_ / EntryVms_);
    if (RepeatCount_ + 1 > Allowed)
      return false;
    add(Repeats_, Now, RepeatCount_);
    return true;
  }

  /// \return Number of repeats left now.
  double getRemaining(Time Now) {
    expire(Now);
    return SafetyFactor *
               (Limits_.Ratio_ * RequestCount_ + Limits_.Slack_ / EntryVms_) -
           RepeatCount_;
  }

private:
  using Counts = std::deque<std::pair<Time, int>>;

  /// Share of the limits that is used. The limits apply to requests counted at
  /// their arrival here and repeats counted at their arrival at the server; the
  /// margin covers the time between, and VMs that restart and lose their
  /// counts.
  static constexpr double SafetyFactor = 0.75;

  /// Resolution of the sliding window.
  static constexpr Duration Step = milliseconds(250);

  static void add(Counts &Target, Time Now, int &Total) {
    if (Target.empty() || Target.back().first + Step <= Now)
      Target.emplace_back(Now, 0);
    ++Target.back().second;
    ++Total;
  }

  void expire(Time Now) {
    // Requests expire one step early and repeats one step late, so that
    // rounding never allows a repeat too many.
    expire(Requests_, Now - Limits_.Window_ + Step, RequestCount_);
    expire(Repeats_, Now - Limits_.Window_ - Step, RepeatCount_);
  }

  static void expire(Counts &Target, Time Oldest, int &Total) {
    while (!Target.empty() && Target.front().first < Oldest) {
      Total -= Target.front().second;
      Target.pop_front();
    }
  }

  RepeatLimits Limits_;   ///< Limits for all VMs together.
  unsigned EntryVms_ = 1; ///< Number of entry VMs that share them.
  Counts Requests_;       ///< Requests per step.
  Counts Repeats_;        ///< Repeats per step.
  int RequestCount_ = 0;  ///< Sum of Requests_.
  int RepeatCount_ = 0;   ///< Sum of Repeats_.
};

} // namespace cranberry

#endif
