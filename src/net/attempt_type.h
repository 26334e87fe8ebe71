/// \file attempt_type.h How one try at a backend server ended.
#ifndef CRANBERRY_NET_ATTEMPT_TYPE_H
#define CRANBERRY_NET_ATTEMPT_TYPE_H

#include "core/time_type.h"
#include "net/http_message_type.h"

#include <functional>
#include <optional>
#include <string>

namespace cranberry {

/// What the connection saw of an attempt.
enum class AttemptStatus : uint8_t {
  Answered,      ///< A whole response with the attempt's id came.
  ConnectFailed, ///< No connection was made; no byte was sent.
  ConnectReset,  ///< The server turned the connection away.
  Broken,        ///< Sent, and the connection ended without a response.
  Truncated,     ///< Sent, and the response broke off.
  Garbled,       ///< Sent, and what came is not a response to it.
};

/// Names of ends, in the order of the enum.
inline constexpr const char *AttemptStatusNames[] = {
    "answered", "connect-failed", "connect-reset",
    "broken",   "truncated",      "garbled"};

/// How an attempt ended.
struct AttemptResult {
  AttemptStatus Status_ = AttemptStatus::Broken; ///< End.
  ResponseMessage Response_;                     ///< The response, if Answered.
  bool IsConnectionReused_ = false; ///< Whether the connection was used before.
  std::optional<Duration> ConnectTime_; ///< Time it took to connect, if new.
};

using AttemptCallback = std::function<void(AttemptResult)>;

/// Tells whether a response belongs to the request on its connection. Extra
/// responses to earlier requests are skipped.
enum class ResponseMatch : uint8_t {
  Matching,     ///< Belongs to the request.
  OtherRequest, ///< Belongs to another request; the next one may be ours.
  Invalid,      ///< Belongs to none; the connection can't be trusted.
};

using ResponseMatcher = std::function<ResponseMatch(const ResponseMessage &)>;

/// One request as it is sent.
struct AttemptSpec {
  std::string Bytes_;          ///< Serialized request.
  bool IsHeadRequest_ = false; ///< Whether the response has no body.
  ResponseMatcher Matcher_;    ///< Tells responses apart.
  Duration ConnectTimeout_{0}; ///< Longest wait for a new connection.
  Duration MaxIdleTime_{0};    ///< Longest idle time of a connection to reuse.
};

} // namespace cranberry

#endif
