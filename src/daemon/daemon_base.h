/// \file daemon_base.h One entry VM's process.
#ifndef CRANBERRY_DAEMON_DAEMON_BASE_H
#define CRANBERRY_DAEMON_DAEMON_BASE_H

#include "core/result_type.h"
#include "daemon/caller_api_base.h"
#include "daemon/control_thread_base.h"
#include "daemon/operator_api_base.h"
#include "daemon/settings_type.h"
#include "daemon/snapshot_type.h"
#include "daemon/traffic_thread_base.h"
#include "net/http_server_base.h"
#include "net/peer_link_base.h"
#include "observe/metrics_base.h"

#include <atomic>
#include <memory>
#include <vector>

namespace cranberry {

/// Joins ports, threads and state; lives as long as the process.
class Daemon {
public:
  /// \param Incarnation Larger than that of any earlier process of this VM.
  Daemon(Settings Config, uint64_t Incarnation);
  ~Daemon();

  /// Opens the ports and starts the threads.
  /// \param[out] Why Set if the result is false.
  bool start(Reason &Why);

  /// Planned stop: leaves the look-ups, serves on until cached look-ups have
  /// lapsed and every request has ended, then returns.
  /// \return Whether every request had ended within the drain limit.
  bool drain();

  const std::string &getHttpAddress() const {
    return HttpServer_->getAddress();
  }
  const std::string &getPeerAddress() const {
    return PeerServer_->getAddress();
  }

private:
  void handleHttp(HttpRequest Request, HttpRespond Respond);
  PeerHandlers makePeerHandlers();
  void handleForward(wire::ForwardRequest Body,
                     PeerRespond<wire::ForwardReply> Respond);
  void publishSnapshot(const SnapshotPtr &Next);
  TrafficThread &getTrafficThread(const std::string &Service);

  Settings Settings_;                 ///< Settings.
  uint64_t Incarnation_;              ///< Incarnation of this process.
  Metrics Metrics_;                   ///< Counters.
  SnapshotHolder Snapshots_;          ///< Newest control state.
  std::unique_ptr<PeerClient> Peers_; ///< Connections to peers.
  std::vector<std::unique_ptr<TrafficThread>>
      TrafficThreads_;                           ///< Traffic threads.
  std::unique_ptr<ControlThread> ControlThread_; ///< Control thread.
  std::unique_ptr<CallerApi> CallerApi_;         ///< Callers' side.
  std::unique_ptr<OperatorApi> OperatorApi_;     ///< Operators' side.
  std::unique_ptr<PeerServer> PeerServer_;       ///< Port for peers.
  std::unique_ptr<HttpServer> HttpServer_; ///< Port for callers, operators.
  std::atomic<int> OpenForwards_{0};       ///< Peers' requests not ended.
  std::atomic<bool> IsStarted_{false};     ///< Whether handlers may run.
};

} // namespace cranberry

#endif
