/// \file operator_api_base.h Object API, status and probes for operators.
#ifndef CRANBERRY_DAEMON_OPERATOR_API_BASE_H
#define CRANBERRY_DAEMON_OPERATOR_API_BASE_H

#include "daemon/control_thread_base.h"
#include "daemon/settings_type.h"
#include "daemon/snapshot_type.h"
#include "daemon/traffic_thread_base.h"
#include "net/http_type.h"
#include "observe/metrics_base.h"

#include <memory>
#include <vector>

namespace cranberry {

/// Serves the paths of the HTTP port that are meant for operators. Safe from
/// any thread.
class OperatorApi {
public:
  using TrafficThreads = std::vector<std::unique_ptr<TrafficThread>>;

  OperatorApi(const Settings &Config, const SnapshotHolder &Holder,
              ControlThread &Control, TrafficThreads &Traffic,
              Metrics &Counters);

  /// Handles a request or responds with an error.
  void handleRequest(const HttpRequest &Request, const HttpRespond &Respond);

private:
  void handleObjects(const HttpRequest &Request, const HttpRespond &Respond);
  void listObjects(ObjectKind Kind, const HttpRespond &Respond);
  void getObject(const ObjectId &Id, const HttpRespond &Respond);
  /// Handles PUT and DELETE.
  void writeObject(const ObjectId &Id, const HttpRequest &Request,
                   const HttpRespond &Respond);
  void handleWatch(const HttpRequest &Request, const HttpRespond &Respond);
  void handleStatus(const HttpRespond &Respond);
  void handleExplain(const HttpRequest &Request, const HttpRespond &Respond);
  void handleMetrics(const HttpRespond &Respond);
  void handleLiveness(const HttpRespond &Respond);
  void handleReadiness(const HttpRespond &Respond);

  /// Statistics of all services, by name.
  using StatsByService = std::map<std::string, ServiceStats>;
  /// Calls \p Done once with the statistics of all traffic threads, on the last
  /// thread that reports.
  void collectStats(const std::function<void(const StatsByService &)> &Done);

  const Settings &Settings_;        ///< Settings of the process.
  const SnapshotHolder &Snapshots_; ///< Latest control state.
  ControlThread &Control_;          ///< Owns the control state.
  TrafficThreads &Traffic_;         ///< Own the services.
  Metrics &Metrics_;                ///< Exported by "/metrics".
};

} // namespace cranberry

#endif
