/// \file home_confirmation.cpp Whether the home regions in force still hold.
#include "process/home_confirmation_func.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Multiple of the limit after which a version that any VM could read has been
/// reported to all VMs.
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
  Duration Age = Now - Known.Confirmed_;
  if (Age < Limit)
    return true;
  return Age >= SettleFactor * Limit && Now - Known.Answered_ < Limit &&
         !Known.IsNewerKnown_ &&
         !(Known.LastLoss_ && isOpen(*Known.LastLoss_, Known.Confirmed_));
}

} // namespace cranberry
