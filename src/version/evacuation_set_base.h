/// \file evacuation_set_base.h Availability zones that are evacuated.
#ifndef CRANBERRY_VERSION_EVACUATION_SET_BASE_H
#define CRANBERRY_VERSION_EVACUATION_SET_BASE_H

#include "core/time_type.h"

#include <map>
#include <set>
#include <string>

namespace cranberry {

/// Holds the evacuations that operators have requested.
///
/// An evacuation that a restored store lacks stays in force for
/// UnconfirmedLifetime, in which the operator writes it again.
class EvacuationSet {
public:
  static constexpr Duration UnconfirmedLifetime = seconds(5);

  /// Called when the store was restored from a copy, before the first list
  /// from it.
  void onStoreRolledBack(Time Now);

  /// Replaces the zones by those of a full list of the store.
  void applyList(const std::set<std::string> &Zones);

  /// Applies a single change that the store reported.
  void applyChange(const std::string &Zone, bool IsRemoved);

  /// Removes evacuations that were not confirmed in time.
  /// \return Whether there were any.
  bool removeUnconfirmed(Time Now);

  const std::set<std::string> &getZones() const { return Zones_; }

private:
  std::set<std::string> Zones_; ///< Evacuated zones.
  /// End of the lifetime of each evacuation that is not confirmed.
  std::map<std::string, Time> Unconfirmed_;
};

} // namespace cranberry

#endif
