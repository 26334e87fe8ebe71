/// \file attempt_outcome.cpp Classification of the end of an attempt.
#include "steering/attempt_outcome_func.h"

namespace cranberry {

namespace {

constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned FirstServerError = 500;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned Misdirected = 421;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned Unavailable = 503;

AttemptOutcome classifyResponse(unsigned Status,
                                const platform::ServerResponseInfo &Info) {
  if (Info.IsNotExecuted_)
    return AttemptOutcome::NotRun;
  bool IsSuccess = Status >= FirstSuccess && Status < FirstRedirect;
  // A response without the server's signature doesn't come from the server.
  if (!Info.IsSigned_)
    return AttemptOutcome::Unknown;
  if (IsSuccess || (Status < FirstServerError && !isNotRunStatus(Status)))
    return AttemptOutcome::Deliver;
  return AttemptOutcome::ServerFailed;
}

} // namespace

ResponseMatch matchResponse(const ResponseMessage &Response,
                            const std::string &AttemptId, bool IsFirstRequest) {
  platform::ServerResponseInfo Info = platform::decodeServerResponse(Response);
  if (Info.AttemptId_ == AttemptId)
    return ResponseMatch::Matching;
  if (!Info.AttemptId_.empty())
    return ResponseMatch::OtherRequest;
  // On a connection that was used before, a refusal without an id may be that
  // of an earlier request, sent again.
  return Info.IsNotExecuted_ && IsFirstRequest ? ResponseMatch::Matching
                                               : ResponseMatch::Invalid;
}

bool isNotRunStatus(unsigned Status) {
  return Status == RequestTimeout || Status == Misdirected ||
         Status == TooManyRequests || Status == Unavailable;
}

AttemptOutcome classifyAttempt(const AttemptResult &Result,
                               const platform::ServerResponseInfo &Info) {
  switch (Result.Status_) {
  case AttemptStatus::ConnectFailed:
  case AttemptStatus::ConnectReset:
    return AttemptOutcome::NotSent;
  case AttemptStatus::Broken:
  case AttemptStatus::Truncated:
  case AttemptStatus::Garbled:
    return AttemptOutcome::Unknown;
  case AttemptStatus::Answered:
    return classifyResponse(Result.Response_.result_int(), Info);
  }
  return AttemptOutcome::Unknown;
}

ServerAttemptOutcome getVerdict(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Deliver:
    return ServerAttemptOutcome::Served;
  case AttemptOutcome::ServerFailed:
    return ServerAttemptOutcome::Failed;
  case AttemptOutcome::NotSent:
    return ServerAttemptOutcome::Unreachable;
  case AttemptOutcome::NotRun:
    return ServerAttemptOutcome::Refused;
  case AttemptOutcome::Unknown:
    return ServerAttemptOutcome::Lost;
  }
  return ServerAttemptOutcome::Lost;
}

} // namespace cranberry
