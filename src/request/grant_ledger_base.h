/// \file grant_ledger_base.h Slots that this VM has granted to other VMs.
#ifndef CRANBERRY_REQUEST_GRANT_LEDGER_BASE_H
#define CRANBERRY_REQUEST_GRANT_LEDGER_BASE_H

#include "request/request_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>

namespace cranberry {

/// The giver's side of grants.
///
/// Within a region a slot of a grant is reserved until it is used, given back
/// or lapsed. Between regions nothing is reserved: a slot would stand idle for
/// the way there and back, which is many times its use. There a grant bounds
/// the requests that may be under way, and they queue like others. The giver
/// keeps it for a margin longer than the holder may use it, so that the two
/// need no common clock.
class IssuedGrants {
public:
  /// Reserves slots.
  /// \param Slots Number of slots; at least one.
  /// \param Ttl How long the holder may start requests.
  /// \param Reserves Whether the slots are kept free until they are used.
  GrantIndex add(unsigned Slots, Duration Ttl, bool Reserves, Time Now);

  /// Uses one slot of \p Grant for a request that has arrived.
  /// \return Whether the grant still had one.
  bool tryUseSlot(GrantIndex Grant, Time Now);

  /// A request under \p Grant has ended; its slot is free for the holder's
  /// next request until the grant lapses.
  void returnSlot(GrantIndex Grant, Time Now);

  /// \return Whether a slot is kept free for requests under \p Grant.
  bool isReserving(GrantIndex Grant) const;

  /// \return Requests that may still come under grants that reserve nothing,
  /// and those that are here.
  unsigned getUnreservedSlots(Time Now);

  /// Drops a grant before it lapses.
  void release(GrantIndex Grant);

  /// \return Slots reserved and not in use.
  unsigned getReservedSlots(Time Now);

  /// \return When the next grant lapses, if any is out.
  std::optional<Time> getNextExpiry() const;

private:
  struct Grant {
    unsigned FreeSlots_; ///< Reserved slots not in use.
    Time Expiry_;        ///< When they become free again.
    bool IsReserving_;   ///< Whether slots are kept free for it.
    unsigned Slots_;     ///< As it was given.
  };

  void expire(Time Now);

  absl::flat_hash_map<GrantIndex, Grant> Grants_; ///< Unexpired grants.
  uint64_t NextGrant_ = 1;                        ///< Number of the next one.
};

} // namespace cranberry

#endif
