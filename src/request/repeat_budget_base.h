/// \file repeat_budget_base.h Bounds the requests sent more than once.
#ifndef CRANBERRY_REQUEST_REPEAT_BUDGET_BASE_H
#define CRANBERRY_REQUEST_REPEAT_BUDGET_BASE_H

#include "core/time_type.h"

#include <deque>
#include <utility>

namespace cranberry {

/// What all entry VMs together may repeat for one service.
struct RepeatLimits {
  double Ratio_ = 0.1;            ///< Repeats for each request.
  double Slack_ = 0;              ///< Repeats beside the ratio, in a window.
  Duration Window_ = seconds(10); ///< Length of any window.
};

/// This entry VM's part of a service's repeats. The ratio is kept by each VM
/// on its own requests and the slack is divided, so that the sum holds without
/// any exchange.
class RepeatBudget {
public:
  void setLimits(const RepeatLimits &Limits, unsigned EntryVms) {
    Limits_ = Limits;
    EntryVms_ = EntryVms == 0 ? 1 : EntryVms;
  }

  /// A request for the service has come in.
  void recordRequest(Time Now) { add(Requests_, Now, RequestCount_); }

  /// Takes a repeat from the budget.
  /// \return Whether there was one.
  bool tryConsume(Time Now) {
    expire(Now);
    double Allowed = SafetyFactor * (Limits_.Ratio_ * RequestCount_ +
                                     Limits_.Slack_ / EntryVms_);
    if (RepeatCount_ + 1 > Allowed)
      return false;
    add(Repeats_, Now, RepeatCount_);
    return true;
  }

  /// \return Repeats left now.
  double getRemaining(Time Now) {
    expire(Now);
    return SafetyFactor *
               (Limits_.Ratio_ * RequestCount_ + Limits_.Slack_ / EntryVms_) -
           RepeatCount_;
  }

private:
  using Counts = std::deque<std::pair<Time, int>>;

  /// Requests are counted where they come in and repeats where they arrive;
  /// the rest allows for the time between, and for VMs that restart and do
  /// not know what they spent.
  static constexpr double SafetyFactor = 0.75;

  /// Resolution of the window.
  static constexpr Duration Step = milliseconds(250);

  static void add(Counts &Target, Time Now, int &Total) {
    if (Target.empty() || Target.back().first + Step <= Now)
      Target.emplace_back(Now, 0);
    ++Target.back().second;
    ++Total;
  }

  void expire(Time Now) {
    // Requests leave a step early and repeats a step late.
    expire(Requests_, Now - Limits_.Window_ + Step, RequestCount_);
    expire(Repeats_, Now - Limits_.Window_ - Step, RepeatCount_);
  }

  static void expire(Counts &Target, Time Oldest, int &Total) {
    while (!Target.empty() && Target.front().first < Oldest) {
      Total -= Target.front().second;
      Target.pop_front();
    }
  }

  RepeatLimits Limits_;   ///< Limits of all VMs together.
  unsigned EntryVms_ = 1; ///< Entry VMs that share them.
  Counts Requests_;       ///< Requests by step.
  Counts Repeats_;        ///< Repeats by step.
  int RequestCount_ = 0;  ///< Sum of Requests_.
  int RepeatCount_ = 0;   ///< Sum of Repeats_.
};

} // namespace cranberry

#endif
