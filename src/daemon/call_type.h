/// \file call_type.h A caller's request on its way through the daemon.
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

/// Names of origins, in the order of the enum.
inline constexpr const char *CallOriginNames[] = {"caller", "peer-home",
                                                  "peer-slot"};

/// A request as the traffic threads get it.
struct CallSpec {
  std::string RequestId_; ///< Unique over all entry VMs.
  std::string Service_;   ///< Service.
  std::string Method_;    ///< HTTP method.
  std::string Path_;      ///< Path and query for the backend server.
  HttpHeaders Headers_;   ///< Headers to pass on.
  std::string Body_;      ///< Whole body.
  std::string Key_;       ///< Idempotency key; may be empty.
  Time Arrived_;          ///< When it reached this VM.
  Duration Timeout_{0};   ///< Caller's deadline; zero for the service's.
  CallOrigin Origin_ = CallOrigin::Caller; ///< How it came.
  uint64_t Grant_ = 0;                     ///< Grant, if under one.
  std::string SenderRegion_;               ///< Peer's region, if from a peer.

  /// \return Bytes that passing it on takes of a link, roughly.
  size_t estimateLinkBytes() const {
    constexpr size_t Overhead = 512; ///< Headers and framing.
    return Body_.size() + Path_.size() + Overhead;
  }
};

/// How a request ended.
struct CallResult {
  ResultCode Code_ = ResultCode::Ok; ///< Result.
  RecordedResponsePtr Response_;     ///< Whole answer, if Ok.
  std::string ServedBy_;             ///< Server that answered, if Ok.
};

/// Tells how a request ended; called once, on a traffic thread.
using CallCallback = std::function<void(CallResult)>;

} // namespace cranberry

#endif
