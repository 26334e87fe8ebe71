/// \file member_type.h What entry VMs know of each other.
#ifndef CRANBERRY_PROCESS_MEMBER_TYPE_H
#define CRANBERRY_PROCESS_MEMBER_TYPE_H

#include "core/time_type.h"
#include "version/object_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberry {

/// State of an entry VM, in the order in which states override each other
/// within one sequence number.
enum class MemberState : uint8_t {
  Alive,   ///< Serves.
  Suspect, ///< Did not answer; may be gone.
  Leaving, ///< Finishes what it has.
  Gone,    ///< Does not serve.
};

/// Names of states, in the order of the enum.
inline constexpr const char *MemberStateNames[] = {"alive", "suspect",
                                                   "leaving", "gone"};

/// One entry VM, as it or another one describes it.
struct Member {
  std::string Vm_;           ///< Name.
  std::string Region_;       ///< Region.
  std::string Zone_;         ///< Availability zone.
  std::string HttpAddress_;  ///< "address:port" for callers.
  std::string PeerAddress_;  ///< "address:port" for other entry VMs.
  uint64_t Incarnation_ = 0; ///< Grows with each start of the process.
  uint64_t Sequence_ = 0;    ///< Grows with each change that the VM announces.
  MemberState State_ = MemberState::Alive; ///< State.
  uint64_t KeyEpoch_ = 0;                  ///< Epoch for idempotency keys.
  Revision Revision_ = 0;                  ///< Configuration in force.
};

/// Members of one moment, shared with the threads that serve traffic.
using MemberList = std::vector<Member>;

} // namespace cranberry

#endif
