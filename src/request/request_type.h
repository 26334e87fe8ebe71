/// \file request_type.h Requests, attempts and the actions of a dispatcher.
#ifndef CRANBERRY_REQUEST_REQUEST_TYPE_H
#define CRANBERRY_REQUEST_REQUEST_TYPE_H

#include "core/result_type.h"
#include "core/strong_index_type.h"
#include "core/time_type.h"

#include <string>
#include <variant>
#include <vector>

namespace cranberry {

/// Identifies a request within one dispatcher.
using RequestIndex = StrongIndex<struct RequestTag, uint64_t>;
/// Identifies one attempt of a request at a backend server or through another
/// entry VM.
using AttemptIndex = StrongIndex<struct AttemptTag, uint64_t>;
/// Identifies a grant of slots that this VM issued.
using GrantIndex = StrongIndex<struct GrantTag, uint64_t>;
/// Identifies a peer's slot request that has no reply yet.
using SlotRequestIndex = StrongIndex<struct AskTag, uint64_t>;

/// Properties of a request that the dispatcher uses.
struct RequestTraits {
  std::string Route_;        ///< Groups requests of similar running time.
  Time Arrived_;             ///< Arrival at this VM.
  Time Deadline_;            ///< Time at which the caller stops waiting.
  bool IsRepeatable_ = true; ///< Whether it is safe to run twice.
  /// Grant that a peer sent it under; invalid if it came from a caller.
  GrantIndex Grant_;
};

/// Starts an attempt at a backend server.
struct StartServerAttempt {
  AttemptIndex Attempt_; ///< Index of the new attempt.
  RequestIndex Request_; ///< Request that it belongs to.
  std::string Server_;   ///< "address:port".
  const char *Why_;      ///< Reason, for the log.
};

/// Starts an attempt through another entry VM.
struct StartPeerAttempt {
  AttemptIndex Attempt_; ///< Index of the new attempt.
  RequestIndex Request_; ///< Request that it belongs to.
  std::string Vm_;       ///< Entry VM that granted a slot.
  uint64_t Grant_;       ///< Grant number of the issuer.
  uint64_t Incarnation_; ///< Incarnation of the issuer.
};

/// Cancels an attempt whose response is no longer needed.
struct CancelAttempt {
  AttemptIndex Attempt_; ///< Attempt to cancel.
};

/// Reports the result of a request to its caller.
struct FinishRequest {
  RequestIndex Request_;         ///< Request that ended.
  ResultCode Code_;              ///< Result for the caller.
  AttemptIndex ResponseAttempt_; ///< Attempt with the response, if Code_ is Ok.
};

/// Reports the end of the last attempt of a request that was already finished
/// for its caller.
struct ReportLateResult {
  RequestIndex Request_;         ///< Request that is complete.
  ResultCode Code_;              ///< Ok if a late response arrived.
  AttemptIndex ResponseAttempt_; ///< Attempt with the response, if Code_ is Ok.
};

/// Requests slots from another entry VM.
struct RequestSlots {
  std::string Vm_;  ///< Entry VM to ask.
  unsigned Wanted_; ///< Maximum number of slots to grant.
  Duration Wait_;   ///< How long the peer may delay its reply.
};

/// Returns an unused grant to its issuer.
struct ReleaseGrant {
  std::string Vm_; ///< Entry VM that issued it.
  uint64_t Grant_; ///< Grant number of the issuer.
};

/// Replies to another entry VM's slot request.
struct SendSlotReply {
  SlotRequestIndex Request_; ///< Slot request.
  GrantIndex Grant_;         ///< New grant; invalid if no slots are granted.
  unsigned Slots_;           ///< Number of granted slots.
  Duration Ttl_;             ///< Lifetime of the grant.
};

/// Any action that a dispatcher returns to its owner.
using Action = std::variant<StartServerAttempt, StartPeerAttempt, CancelAttempt,
                            FinishRequest, ReportLateResult, RequestSlots,
                            ReleaseGrant, SendSlotReply>;
using Actions = std::vector<Action>;

} // namespace cranberry

#endif
