/// \file attempt_outcome_func.h What the end of an attempt means.
#ifndef CRANBERRY_STEERING_ATTEMPT_OUTCOME_FUNC_H
#define CRANBERRY_STEERING_ATTEMPT_OUTCOME_FUNC_H

#include "net/attempt_type.h"
#include "platform/decode_func.h"
#include "request/balancer_type.h"

namespace cranberry {

/// What an attempt's end means for its request.
enum class AttemptOutcome : uint8_t {
  Deliver,      ///< The response goes to the client as it is.
  ServerFailed, ///< It ran and failed; the response may go to the client.
  NotSent,      ///< No byte reached a server.
  NotRun,       ///< The server has not run it and will not.
  Unknown,      ///< It may have run.
};

/// Names of outcomes, in the order of the enum.
inline constexpr const char *AttemptOutcomeNames[] = {
    "deliver", "server-failed", "not-sent", "not-run", "unknown"};

/// Classifies the end of an attempt. Nothing else decides what has not run.
AttemptOutcome classifyAttempt(const AttemptResult &Result,
                               const platform::ServerResponseInfo &Info);

/// \return The same for placing.
ServerAttemptOutcome getVerdict(AttemptOutcome Outcome);

/// \return Whether \p Status tells a client that its request has not run.
bool isNotRunStatus(unsigned Status);

} // namespace cranberry

#endif
