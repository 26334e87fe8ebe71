/// \file caller_api_base.h Look-ups and requests of callers.
#ifndef CRANBERRY_DAEMON_CALLER_API_BASE_H
#define CRANBERRY_DAEMON_CALLER_API_BASE_H

#include "daemon/call_type.h"
#include "daemon/settings_type.h"
#include "daemon/snapshot_type.h"
#include "net/http_type.h"
#include "observe/metrics_base.h"

#include <atomic>
#include <functional>
#include <string>

namespace cranberry {

/// Answers "/v1/lookup" and "/v1/call/<service>/<path>".
class CallerApi {
public:
  using SubmitHandler = std::function<void(CallSpec, CallCallback)>;

  CallerApi(const Settings &Config, const SnapshotHolder &Control,
            Metrics &Counters, SubmitHandler Route);

  void handleLookup(const HttpRequest &Request, const HttpRespond &Respond);
  void handleCall(HttpRequest Request, HttpRespond Respond);

private:
  std::string makeRequestId(const Snapshot &Now);
  Duration getJitteredTtl();

  const Settings &Settings_;        ///< Settings.
  const SnapshotHolder &Snapshots_; ///< Newest control state.
  Metrics &Metrics_;                ///< Counters.
  SubmitHandler Submit_;            ///< Hands a request to its thread.
  std::atomic<uint64_t> NextId_{1}; ///< Number of the next request.
};

/// \return An error as every port reports it: a JSON body with code, name,
/// field, reason and outcome, and the same in headers.
HttpResponse makeErrorResponse(const Reason &Why);

} // namespace cranberry

#endif
