/// \file vm_load_base.h Decides whether an entry VM is busy.
#ifndef CRANBERRY_PROCESS_VM_LOAD_BASE_H
#define CRANBERRY_PROCESS_VM_LOAD_BASE_H

#include "core/time_type.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cranberry {

/// Decides whether an entry VM needs others of its availability zone to share
/// its clients, from the used part of its processor or its link.
class VmLoad {
public:
  /// Records the use since the last call.
  /// \param Use Used part of what the VM has, from 0 to 1.
  void update(double Use, Time Now) {
    Duration Passed = std::min(Now - Updated_, MaxStep);
    double Gain = 1 - std::exp(-std::chrono::duration<double>(Passed).count() /
                               SmoothingSeconds);
    Updated_ = Now;
    Smoothed_ += (Use - Smoothed_) * Gain;
    if (Smoothed_ > BusyFrom)
      IsBusy_ = true;
    if (Smoothed_ > IdleBelow)
      LastUsed_ = Now;
    // Clients close their connections to a VM that is no longer named to them.
    if (Now - LastUsed_ >= IdlePeriod)
      IsBusy_ = false;
  }

  bool isBusy() const { return IsBusy_; }
  double getUse() const { return Smoothed_; }

private:
  static constexpr double SmoothingSeconds = 2;

  /// The start of a process and a frozen VM count as one short step.
  static constexpr Duration MaxStep = milliseconds(500);

  /// Room is left for the clients of another VM that fails.
  static constexpr double BusyFrom = 0.45;
  static constexpr double IdleBelow = 0.2;

  /// How long the use has to be low before others may stop sharing.
  static constexpr Duration IdlePeriod = seconds(10);

  double Smoothed_ = 0; ///< Smoothed use.
  Time Updated_;        ///< Time of the last update.
  Time LastUsed_;       ///< Last time with more use than IdleBelow.
  bool IsBusy_ = false; ///< See isBusy().
};

} // namespace cranberry

#endif
