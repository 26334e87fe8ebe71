/// \file operator_api_base.h Resource API, status and probes for operators.
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

/// Answers everything on the HTTP port that is not for callers.
class OperatorApi {
public:
  using TrafficThreads = std::vector<std::unique_ptr<TrafficThread>>;

  OperatorApi(const Settings &Config, const SnapshotHolder &Holder,
              ControlThread &Control, TrafficThreads &Traffic,
              Metrics &Counters);

  void handleRequest(const HttpRequest &Request, const HttpRespond &Respond);

private:
  void handleObjects(const HttpRequest &Request, const HttpRespond &Respond);
  void listObjects(ObjectKind Kind, const HttpRespond &Respond);
  void getObject(const ObjectId &Id, const HttpRespond &Respond);
  void writeObject(const ObjectId &Id, const HttpRequest &Request,
                   const HttpRespond &Respond);
  void handleWatch(const HttpRequest &Request, const HttpRespond &Respond);
  void handleStatus(const HttpRespond &Respond);
  void handleExplain(const HttpRequest &Request, const HttpRespond &Respond);
  void handleMetrics(const HttpRespond &Respond);
  void handleLiveness(const HttpRespond &Respond);
  void handleReadiness(const HttpRespond &Respond);

  /// Figures of all services, by name.
  using StatsByService = std::map<std::string, ServiceStats>;
  void collectStats(const std::function<void(const StatsByService &)> &Done);

  const Settings &Settings_;        ///< Settings.
  const SnapshotHolder &Snapshots_; ///< Newest control state.
  ControlThread &Control_;          ///< Control thread.
  TrafficThreads &Traffic_;         ///< Traffic threads.
  Metrics &Metrics_;                ///< Counters.
};

} // namespace cranberry

#endif
