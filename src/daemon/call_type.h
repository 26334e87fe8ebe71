/// \file call_type.h A caller's request while the daemon processes it.
#ifndef CRANBERRY_DAEMON_CALL_TYPE_H
#define CRANBERRY_DAEMON_CALL_TYPE_H

#include "core/result_type.h"
#include "core/time_type.h"
#include "net/http_type.h"
#include "request/idempotency_table_base.h"

#include <functional>
#include <string>

namespace cranberry {

/// How a request reached this entry VM.
enum class CallOrigin : uint8_t {
  Caller,   ///< From a caller, over HTTP.
  PeerHome, ///< From a peer, because this VM is the home of its key.
  PeerSlot, ///< From a peer, under a grant of this VM.
};

/// Names for logs, in the order of CallOrigin.
inline constexpr const char *CallOriginNames[] = {"caller", "peer-home",
                                                  "peer-slot"};

/// A request as it is passed to a traffic thread.
struct CallSpec {
  std::string RequestId_; ///< Unique over all entry VMs.
  std::string Service_;   ///< Name of the service.
  std::string Method_;    ///< HTTP method.
  std::string Path_;      ///< Path and query for the backend server.
  HttpHeaders Headers_;   ///< Headers to forward.
  std::string Body_;      ///< Complete body.
  std::string Key_;       ///< Idempotency key; may be empty.
  Time Arrived_;          ///< Arrival time at this VM.
  Duration Timeout_{0};   ///< Caller's timeout; zero for the service's.
  CallOrigin Origin_ = CallOrigin::Caller; ///< How it reached this VM.
  uint64_t Grant_ = 0;       ///< Grant that it runs under, if any.
  std::string SenderRegion_; ///< Peer's region, if from a peer.

  /// \return Approximate size in bytes when it is forwarded over a link.
  size_t estimateLinkBytes() const {
    constexpr size_t Overhead = 512; ///< Bytes of headers and framing.
    return Body_.size() + Path_.size() + Overhead;
  }
};

/// Result of a request.
struct CallResult {
  ResultCode Code_ = ResultCode::Ok; ///< Result code.
  RecordedResponsePtr Response_;     ///< Complete response, if Ok.
  std::string ServedBy_;             ///< Server that responded, if Ok.
};

/// Reports the result of a request; called once, on a traffic thread.
using CallCallback = std::function<void(CallResult)>;

} // namespace cranberry

#endif
