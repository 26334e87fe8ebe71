/// \file held_grants_base.h Grants of slots received from other VMs.
#ifndef CRANBERRY_REQUEST_HELD_GRANTS_BASE_H
#define CRANBERRY_REQUEST_HELD_GRANTS_BASE_H

#include "core/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Distance class of another entry VM; nearer peers are asked first.
enum class PeerTier : uint8_t {
  SameZone,    ///< In the same availability zone.
  SameRegion,  ///< In another availability zone of the region.
  OtherRegion, ///< In another region.
};

/// Another entry VM that owns backend servers of the service.
struct PeerSpec {
  std::string Vm_;                       ///< VM name.
  PeerTier Tier_ = PeerTier::SameRegion; ///< Distance class.
  Duration Latency_{0};                  ///< One-way network latency.
};

/// A grant that this VM holds.
struct HeldGrant {
  std::string Vm_;           ///< Issuer of the grant.
  uint64_t Grant_ = 0;       ///< Grant number of the issuer.
  uint64_t Incarnation_ = 0; ///< Incarnation of the issuer.
  unsigned FreeSlots_ = 0;   ///< Slots not in use.
  Time Expiry_;              ///< Latest start of a request.
};

/// All grants that this VM holds.
class HeldGrants {
public:
  void add(HeldGrant Grant) { Grants_.push_back(std::move(Grant)); }

  /// Uses one slot of any unexpired grant.
  /// \param Avoid VM whose grants are skipped; may be empty.
  /// \return The grant, or nothing if no slot is free.
  std::optional<HeldGrant> tryUseSlot(Time Now, const std::string &Avoid);

  /// Returns the slot of a request that has ended to its grant.
  void returnSlot(uint64_t Grant, const std::string &Vm);

  /// Removes all grants of \p Vm, after it refused one or became unreachable.
  void removeVm(const std::string &Vm);

  /// Removes expired grants, and those with free slots if \p DropIdle.
  /// \return Unexpired grants to return to their issuers.
  std::vector<HeldGrant> prune(Time Now, bool DropIdle);

private:
  std::vector<HeldGrant> Grants_; ///< In order of arrival.
};

} // namespace cranberry

#endif
