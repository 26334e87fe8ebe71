/// \file request_type.h Identifiers and traits of requests and attempts.
#ifndef CRANBERRY_REQUEST_REQUEST_TYPE_H
#define CRANBERRY_REQUEST_REQUEST_TYPE_H

#include "core/result_type.h"
#include "core/strong_index_type.h"
#include "core/time_type.h"

#include <string>
#include <variant>
#include <vector>

namespace cranberry {

/// A request within one dispatcher.
using RequestIndex = StrongIndex<struct RequestTag, uint64_t>;
/// One try of a request at a backend server or another entry VM.
using AttemptIndex = StrongIndex<struct AttemptTag, uint64_t>;
/// A grant of slots that this VM gave.
using GrantIndex = StrongIndex<struct GrantTag, uint64_t>;
/// A peer's question for slots that waits for an answer.
using SlotRequestIndex = StrongIndex<struct AskTag, uint64_t>;

/// What a decision needs to know of a request.
struct RequestTraits {
  std::string Route_;        ///< Groups requests of similar length.
  Time Arrived_;             ///< When it reached this VM.
  Time Deadline_;            ///< When its caller stops waiting.
  bool IsRepeatable_ = true; ///< Whether running it twice is harmless.
  GrantIndex Grant_;         ///< Grant it came under; invalid if from a caller.
};

/// Starts an attempt at a backend server.
struct StartServerAttempt {
  AttemptIndex Attempt_; ///< Attempt.
  RequestIndex Request_; ///< Its request.
  std::string Server_;   ///< "address:port".
  const char *Why_;      ///< Reason for the log.
};

/// Starts an attempt by way of another entry VM.
struct StartPeerAttempt {
  AttemptIndex Attempt_; ///< Attempt.
  RequestIndex Request_; ///< Its request.
  std::string Vm_;       ///< Entry VM that granted a slot.
  uint64_t Grant_;       ///< Grant as the giver numbers it.
  uint64_t Incarnation_; ///< Giver's incarnation.
};

/// Stops an attempt whose answer is no longer wanted.
struct CancelAttempt {
  AttemptIndex Attempt_; ///< Attempt.
};

/// Tells the caller how its request ended.
struct FinishRequest {
  RequestIndex Request_; ///< Request.
  ResultCode Code_;      ///< Result.
  AttemptIndex
      ResponseAttempt_; ///< Attempt that has the answer, if Code_ is Ok.
};

/// A request that already ended for its caller has ended for good.
struct ReportLateResult {
  RequestIndex Request_; ///< Request.
  ResultCode Code_;      ///< Ok if an answer came after all.
  AttemptIndex
      ResponseAttempt_; ///< Attempt that has the answer, if Code_ is Ok.
};

/// Asks another entry VM for slots.
struct RequestSlots {
  std::string Vm_;  ///< Entry VM.
  unsigned Wanted_; ///< Most slots that can be used.
  Duration Wait_;   ///< How long the question may stay open.
};

/// Gives back a grant that is not needed.
struct ReleaseGrant {
  std::string Vm_; ///< Entry VM that gave it.
  uint64_t Grant_; ///< Grant as the giver numbers it.
};

/// Answers another entry VM's question for slots.
struct SendSlotReply {
  SlotRequestIndex Request_; ///< Question.
  GrantIndex Grant_;         ///< Grant; invalid if there are no slots.
  unsigned Slots_;           ///< Number of slots.
  Duration Ttl_;             ///< Life of the grant.
};

/// Everything that a dispatcher can ask its owner to do.
using Action = std::variant<StartServerAttempt, StartPeerAttempt, CancelAttempt,
                            FinishRequest, ReportLateResult, RequestSlots,
                            ReleaseGrant, SendSlotReply>;
using Actions = std::vector<Action>;

} // namespace cranberry

#endif
