/// \file issued_grants_base.h Grants of slots issued to other VMs.
#ifndef CRANBERRY_REQUEST_ISSUED_GRANTS_BASE_H
#define CRANBERRY_REQUEST_ISSUED_GRANTS_BASE_H

#include "request/request_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>

namespace cranberry {

/// Grants of this VM as their issuer.
///
/// Within a region, each slot of a grant is reserved until it is used, returned
/// or expired. Between regions nothing is reserved: a slot would stay idle for
/// a round trip, which is many times the running time of a request. There a
/// grant limits the requests in flight, and they are queued like any other. The
/// issuer keeps a grant for a margin longer than the holder may use it, so that
/// the two need no common clock.
class IssuedGrants {
public:
  /// Issues a grant.
  /// \param Slots Number of slots; at least one.
  /// \param Ttl How long the holder may start requests.
  /// \param Reserves Whether the slots are kept free until they are used.
  /// \return Index of the grant.
  GrantIndex add(unsigned Slots, Duration Ttl, bool Reserves, Time Now);

  /// Uses one slot of \p Grant for a request that has arrived.
  /// \return Whether the grant had a free slot.
  bool tryUseSlot(GrantIndex Grant, Time Now);

  /// Returns the slot of a request that has ended to \p Grant; the holder can
  /// use it again until the grant expires.
  void returnSlot(GrantIndex Grant, Time Now);

  /// \return Whether a slot is kept free for requests under \p Grant.
  bool isReserving(GrantIndex Grant) const;

  /// \return Total slots of all grants that reserve nothing: requests that may
  /// still arrive under them and those that are running.
  unsigned getUnreservedSlots(Time Now);

  /// Removes a grant before it expires.
  void release(GrantIndex Grant);

  /// \return Slots that are reserved and not in use.
  unsigned getReservedSlots(Time Now);

  /// \return Expiry time of the next grant to expire, if there is any.
  std::optional<Time> getNextExpiry() const;

private:
  struct Grant {
    unsigned FreeSlots_; ///< Slots not in use.
    Time Expiry_;        ///< Time at which the issuer drops the grant.
    bool IsReserving_;   ///< Whether its slots are kept free.
    unsigned Slots_;     ///< Granted slots.
  };

  void expire(Time Now);

  absl::flat_hash_map<GrantIndex, Grant> Grants_; ///< Unexpired grants.
  uint64_t NextGrant_ = 1;                        ///< Index of the next grant.
};

} // namespace cranberry

#endif
