/// \file home_confirmation.cpp Whether the home regions in force still hold.
#include "process/home_confirmation_func.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Multiple of the limit after which a version that one VM could read in its
/// attempt at the store has had time to reach all VMs.
constexpr int SettleFactor = 2;

/// A cut may have begun with the loss of these VMs.
bool isOpen(Time Loss, Time Confirmed) {
  return Loss >= Confirmed - LossMargin;
}

} // namespace

size_t countLosses(const std::vector<Time> &Losses, Time Confirmed) {
  return static_cast<size_t>(
      std::count_if(Losses.begin(), Losses.end(),
                    [=](Time Each) { return isOpen(Each, Confirmed); }));
}

bool doHomesHold(const HomeEvidence &Known, Time Now, Duration Limit) {
  if (Now - Known.Confirmed_ < Limit)
    return true;
  Time SettlingSince = std::max(Known.Confirmed_, Known.InForceSince_);
  return Now - SettlingSince >= SettleFactor * Limit &&
         Now - Known.Answered_ < Limit && !Known.IsNewerKnown_ &&
         !(Known.LastLoss_ && isOpen(*Known.LastLoss_, Known.Confirmed_));
}

} // namespace cranberry
