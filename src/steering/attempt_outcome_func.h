/// \file attempt_outcome_func.h Classification of the end of an attempt.
#ifndef CRANBERRY_STEERING_ATTEMPT_OUTCOME_FUNC_H
#define CRANBERRY_STEERING_ATTEMPT_OUTCOME_FUNC_H

#include "net/attempt_type.h"
#include "platform/decode_func.h"
#include "request/balancer_type.h"

namespace cranberry {

/// Outcome of an attempt for its request.
enum class AttemptOutcome : uint8_t {
  Deliver,      ///< The response is sent to the client unchanged.
  ServerFailed, ///< The server ran the request and failed; the response may
                ///< be sent to the client.
  NotSent,      ///< No byte of the request reached a server.
  NotRun,       ///< The server didn't execute the request and won't.
  Unknown,      ///< The request may have been executed.
};

/// Names of the outcomes in logs, in the order of the enum.
inline constexpr const char *AttemptOutcomeNames[] = {
    "deliver", "server-failed", "not-sent", "not-run", "unknown"};

/// Matches a response with the attempt \p AttemptId of a client.
/// \param IsFirstRequest Whether its connection has carried no request before.
ResponseMatch matchResponse(const ResponseMessage &Response,
                            const std::string &AttemptId, bool IsFirstRequest);

/// Classifies the end of an attempt. This is the only place that decides
/// whether a request wasn't executed.
AttemptOutcome classifyAttempt(const AttemptResult &Result,
                               const platform::ServerResponseInfo &Info);

/// \return The outcome as the balancer records it for the server.
ServerAttemptOutcome getVerdict(AttemptOutcome Outcome);

/// \return Whether \p Status tells a client that its request wasn't executed.
bool isNotRunStatus(unsigned Status);

} // namespace cranberry

#endif
