/// \file home_confirmation_func.h Whether the home regions in force still hold.
#ifndef CRANBERRY_PROCESS_HOME_CONFIRMATION_FUNC_H
#define CRANBERRY_PROCESS_HOME_CONFIRMATION_FUNC_H

#include "core/time_type.h"

#include <optional>
#include <vector>

namespace cranberry {

/// What an entry VM knows of its configuration's currency.
struct HomeEvidence {
  /// Last time at which the store was known to hold nothing newer.
  Time Confirmed_;
  Time InForceSince_; ///< When the configuration came into force here.
  /// When the last call was sent to which another VM with the same version has
  /// responded.
  Time Answered_;
  bool IsNewerKnown_ = false;    ///< Whether a newer version was reported.
  std::optional<Time> LastLoss_; ///< When the last VM was lost, if any.
};

/// VMs that were lost this long before the last confirmation may be behind the
/// same cut as the store, as a loss and a response are noticed late.
inline constexpr Duration LossMargin = seconds(2);

/// \return Number of \p Losses that leave it open whether others have got a
/// newer version since \p Confirmed.
size_t countLosses(const std::vector<Time> &Losses, Time Confirmed);

/// \return Whether the homes in force are known to hold: the store held nothing
/// newer less than \p Limit ago; or nobody can read the store for twice as
/// long, as all VMs of the fleet are in touch and none has heard of a newer
/// version.
bool doHomesHold(const HomeEvidence &Known, Time Now, Duration Limit);

} // namespace cranberry

#endif
