/// \file attempt_outcome.cpp What the end of an attempt means.
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
  // Bytes without the server's signature are not its answer.
  if (!Info.IsSigned_)
    return AttemptOutcome::Unknown;
  if (IsSuccess || (Status < FirstServerError && !isPromiseOfNotRun(Status)))
    return AttemptOutcome::Deliver;
  return AttemptOutcome::ServerFailed;
}

} // namespace

bool isPromiseOfNotRun(unsigned Status) {
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

ServerVerdict getVerdict(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Deliver:
    return ServerVerdict::Served;
  case AttemptOutcome::ServerFailed:
    return ServerVerdict::Failed;
  case AttemptOutcome::NotSent:
    return ServerVerdict::Unreachable;
  case AttemptOutcome::NotRun:
    return ServerVerdict::Refused;
  case AttemptOutcome::Unknown:
    return ServerVerdict::Lost;
  }
  return ServerVerdict::Lost;
}

} // namespace cranberry
