/// \file shift_gate_base.h Bounds how fast traffic moves to other regions.
#ifndef CRANBERRY_REQUEST_SHIFT_GATE_BASE_H
#define CRANBERRY_REQUEST_SHIFT_GATE_BASE_H

#include "core/time_type.h"

#include <deque>

namespace cranberry {

/// Lets the share of requests that leave the region grow by a bounded step
/// from one window to the next, so that other regions see a ramp. After a
/// failure requests move at once, as the region may have lost its servers.
class ShiftGate {
public:
  /// \param MaxStep Largest growth of the share in a window.
  explicit ShiftGate(double MaxStep) : MaxStep_(MaxStep) {}

  /// A request was sent to a server.
  void noteStart(bool IsFar, Time Now) {
    if (Steps_.empty() || Steps_.back().Start_ + StepLength <= Now)
      Steps_.push_back({Now, 0, 0});
    Steps_.back().All_ += 1;
    Steps_.back().Far_ += IsFar ? 1 : 0;
  }

  /// Something failed: servers, entry VMs or the ways to them.
  void noteFailure(Time Now) { OpenUntil_ = Now + FailureSpan; }

  /// \return Whether one more request may leave the region.
  bool mayLeave(Time Now) {
    if (Now < OpenUntil_)
      return true;
    while (!Steps_.empty() && Steps_.front().Start_ + 2 * Window <= Now)
      Steps_.pop_front();
    double All = 1;
    double Far = 1;
    double AllBefore = 0;
    double FarBefore = 0;
    for (const Step &Each : Steps_) {
      bool IsRecent = Each.Start_ + Window > Now;
      (IsRecent ? All : AllBefore) += Each.All_;
      (IsRecent ? Far : FarBefore) += Each.Far_;
    }
    double Before = AllBefore > 0 ? FarBefore / AllBefore : 0;
    return Far <= (Before + MaxStep_) * All + MinCount;
  }

private:
  struct Step {
    Time Start_; ///< Start of the step.
    double All_; ///< Requests sent.
    double Far_; ///< Of these, to other regions.
  };

  static constexpr Duration Window = seconds(2);
  static constexpr Duration StepLength = milliseconds(200);

  /// A failure is felt for some seconds, while queues drain and caches warm.
  static constexpr Duration FailureSpan = seconds(4);

  /// A few requests are no shift.
  static constexpr double MinCount = 2;

  double MaxStep_;         ///< See the constructor.
  std::deque<Step> Steps_; ///< Two windows.
  Time OpenUntil_;         ///< No bound before.
};

} // namespace cranberry

#endif
