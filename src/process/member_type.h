/// \file member_type.h Membership records of entry VMs.
#ifndef CRANBERRY_PROCESS_MEMBER_TYPE_H
#define CRANBERRY_PROCESS_MEMBER_TYPE_H

#include "core/time_type.h"
#include "version/object_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberry {

/// State of an entry VM. Of two records with the same incarnation and sequence
/// number, the one with the higher state wins.
enum class MemberState : uint8_t {
  Alive,   ///< Serves requests.
  Suspect, ///< Missed a heartbeat; may have failed.
  Leaving, ///< Completes requests in flight, then stops.
  Gone,    ///< Has failed or stopped.
};

/// Names of states, indexed by MemberState.
inline constexpr const char *MemberStateNames[] = {"alive", "suspect",
                                                   "leaving", "gone"};

/// Demand of one VM's clients for a service.
struct ServiceDemand {
  std::string Service_; ///< Name of the service.
  double Slots_ = 0;    ///< Slots that their requests keep busy.
};

/// Membership record of one entry VM, published by itself or by a peer that
/// suspects it.
struct Member {
  std::string Vm_;           ///< Name of the entry VM.
  std::string Region_;       ///< Region of the entry VM.
  std::string Zone_;         ///< Availability zone of the entry VM.
  std::string HttpAddress_;  ///< "address:port" of the client interface.
  std::string PeerAddress_;  ///< "address:port" of the peer interface.
  uint64_t Incarnation_ = 0; ///< Increases with each process start.
  uint64_t Sequence_ = 0;    ///< Increases with each change the VM announces.
  MemberState State_ = MemberState::Alive; ///< Last known state.
  uint64_t KeyEpoch_ = 0; ///< Current epoch of idempotency keys.
  Revision Revision_ = 0; ///< Revision of the active configuration.
  double Strength_ = 1;   ///< Relative strength, in cores.
  bool IsBusy_ = false;   ///< Whether others should share its clients.
  /// Demand of its clients, as of its last heartbeat.
  std::vector<ServiceDemand> Demand_;
};

/// Snapshot of the members, shared with the threads that serve traffic.
using MemberList = std::vector<Member>;

} // namespace cranberry

#endif
