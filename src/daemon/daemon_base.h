/// \file daemon_base.h Process of one entry VM.
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

/// Owns the ports, threads and state of an entry VM.
class Daemon {
public:
  /// \param Incarnation Must exceed that of any earlier process of this VM.
  Daemon(Settings Config, uint64_t Incarnation);
  ~Daemon();

  /// Opens the ports and starts the threads.
  /// \param[out] Why Error, if the result is false.
  /// \return Whether the start succeeded.
  bool start(Reason &Why);

  /// Graceful shutdown: removes this VM from look-ups, then serves until cached
  /// look-ups have expired and every request has finished.
  /// \return Whether every request finished within the drain limit.
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
  /// Handles a request that a peer forwards.
  void handleForward(wire::ForwardRequest Body,
                     PeerRespond<wire::ForwardReply> Respond);
  /// Passes a snapshot to all threads.
  void publishSnapshot(const SnapshotPtr &Next);
  /// \return The thread that owns \p Service.
  TrafficThread &getTrafficThread(const std::string &Service);

  Settings Settings_;                 ///< Settings of the process.
  uint64_t Incarnation_;              ///< Incarnation of this process.
  Metrics Metrics_;                   ///< Metrics of all threads.
  SnapshotHolder Snapshots_;          ///< Latest control state.
  std::unique_ptr<PeerClient> Peers_; ///< Connections to other entry VMs.
  std::vector<std::unique_ptr<TrafficThread>>
      TrafficThreads_;                           ///< Own the services.
  std::unique_ptr<ControlThread> ControlThread_; ///< Owns the control state.
  std::unique_ptr<CallerApi> CallerApi_;         ///< Serves callers.
  std::unique_ptr<OperatorApi> OperatorApi_;     ///< Serves operators.
  std::unique_ptr<PeerServer> PeerServer_;       ///< Port for peers.
  std::unique_ptr<HttpServer> HttpServer_; ///< Port for callers and operators.
  std::atomic<int> OpenForwards_{0};       ///< Forwarded requests in progress.
  std::atomic<bool> IsStarted_{
      false}; ///< Whether handlers may use the threads.
};

} // namespace cranberry

#endif
