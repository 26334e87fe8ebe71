/// \file attempt_type.h Request and result of one attempt at a server.
#ifndef CRANBERRY_NET_ATTEMPT_TYPE_H
#define CRANBERRY_NET_ATTEMPT_TYPE_H

#include "core/time_type.h"
#include "net/http_message_type.h"

#include <functional>
#include <optional>
#include <string>

namespace cranberry {

/// Result of an attempt as seen by the connection.
enum class AttemptStatus : uint8_t {
  Answered,      ///< A complete, matching response was received.
  ConnectFailed, ///< The connect timed out; no byte was sent.
  ConnectReset,  ///< The connect failed with an error.
  Broken,        ///< Connection lost after the send, no response byte.
  Truncated,     ///< Connection lost in the middle of the response.
  Garbled,       ///< The received data is not a response to the request.
};

/// Names of the statuses in logs, in the order of the enum.
inline constexpr const char *AttemptStatusNames[] = {
    "answered", "connect-failed", "connect-reset",
    "broken",   "truncated",      "garbled"};

/// Outcome of an attempt.
struct AttemptResult {
  AttemptStatus Status_ = AttemptStatus::Broken; ///< How the attempt ended.
  ResponseMessage Response_;        ///< Response, valid if Answered.
  bool IsConnectionReused_ = false; ///< Whether an idle connection was reused.
  std::optional<Duration> ConnectTime_; ///< Time to connect, if new.
};

using AttemptCallback = std::function<void(AttemptResult)>;

/// Result of matching a response with the request on its connection. Extra
/// responses to earlier requests are skipped.
enum class ResponseMatch : uint8_t {
  Matching,     ///< Response to the current request.
  OtherRequest, ///< Response to another request; the next one may match.
  Invalid,      ///< Response to no known request; the connection is closed.
};

/// Matches a response with the current request.
/// \param IsFirstRequest Whether the connection has carried no request before.
using ResponseMatcher = std::function<ResponseMatch(
    const ResponseMessage &Response, bool IsFirstRequest)>;

/// A serialized request and the parameters of its connection.
struct AttemptSpec {
  std::string Bytes_;          ///< Serialized request.
  bool IsHeadRequest_ = false; ///< HEAD request; its response has no body.
  ResponseMatcher Matcher_;    ///< Matches responses with the request.
  Duration ConnectTimeout_{0}; ///< Timeout for a new connection.
  Duration MaxIdleTime_{0};    ///< Maximum idle time of a reused connection.
};

} // namespace cranberry

#endif
