/// \file grant_wallet_base.h Slots that other VMs have granted to this one.
#ifndef CRANBERRY_REQUEST_GRANT_WALLET_BASE_H
#define CRANBERRY_REQUEST_GRANT_WALLET_BASE_H

#include "core/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// How far away another entry VM is; nearer ones are asked first.
enum class PeerTier : uint8_t {
  SameZone,    ///< Same availability zone.
  SameRegion,  ///< Same region.
  OtherRegion, ///< Another region.
};

/// Another entry VM that owns backend servers of the service.
struct PeerSpec {
  std::string Vm_;                       ///< Name.
  PeerTier Tier_ = PeerTier::SameRegion; ///< Distance class.
  Duration Latency_{0};                  ///< One way.
};

/// A grant as its holder knows it.
struct HeldGrant {
  std::string Vm_;           ///< Giver.
  uint64_t Grant_ = 0;       ///< Giver's number.
  uint64_t Incarnation_ = 0; ///< Giver's incarnation.
  unsigned FreeSlots_ = 0;   ///< Slots that can be used now.
  Time Expiry_;              ///< No request may start after.
};

/// The holder's side of grants.
class HeldGrants {
public:
  /// Adds a grant.
  void add(HeldGrant Grant) { Grants_.push_back(std::move(Grant)); }

  /// Takes a slot of any live grant.
  /// \param Avoid VM whose grants are passed over; may be empty.
  /// \return The grant, or nothing.
  std::optional<HeldGrant> tryUseSlot(Time Now, const std::string &Avoid);

  /// A request under a grant has ended.
  void returnSlot(uint64_t Grant, const std::string &Vm);

  /// Forgets all grants of \p Vm, after it refused one.
  void removeVm(const std::string &Vm);

  /// Removes lapsed grants, and idle ones if \p DropIdle.
  /// \return Grants to give back.
  std::vector<HeldGrant> prune(Time Now, bool DropIdle);

private:
  std::vector<HeldGrant> Grants_; ///< In order of arrival.
};

} // namespace cranberry

#endif
