/// \file caller_api_base.h Handles look-ups and requests of callers.
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

/// Serves "/v1/lookup" and "/v1/call/<service>/<path>". Safe from any thread.
class CallerApi {
public:
  using SubmitHandler = std::function<void(CallSpec, CallCallback)>;

  CallerApi(const Settings &Config, const SnapshotHolder &Control,
            Metrics &Counters, SubmitHandler Route);

  /// Responds with the entry VMs for a client address, in order of preference.
  void handleLookup(const HttpRequest &Request, const HttpRespond &Respond);
  /// Validates a request and submits it to the service's traffic thread.
  void handleCall(HttpRequest Request, HttpRespond Respond);

private:
  std::string makeRequestId(const Snapshot &Now);
  /// \return Lifetime of a look-up response, with jitter.
  Duration getJitteredTtl();

  const Settings &Settings_;        ///< Settings of the process.
  const SnapshotHolder &Snapshots_; ///< Latest control state.
  Metrics &Metrics_;                ///< Counts look-ups by result.
  SubmitHandler Submit_;            ///< Passes a request to its traffic thread.
  std::atomic<uint64_t> NextId_{1}; ///< Number of the next request.
};

/// \return Error response in the format of all ports: a JSON body with code,
/// name, field, reason and outcome. Headers repeat the outcome and the code.
HttpResponse makeErrorResponse(const Reason &Why);

} // namespace cranberry

#endif
