/// \file traffic_thread_base.h Thread that routes the requests of its services.
#ifndef CRANBERRY_DAEMON_TRAFFIC_THREAD_BASE_H
#define CRANBERRY_DAEMON_TRAFFIC_THREAD_BASE_H

#include "daemon/service_traffic_base.h"
#include "daemon/settings_type.h"
#include "daemon/snapshot_type.h"
#include "net/event_loop_base.h"
#include "net/peer_link_base.h"
#include "observe/metrics_base.h"

#include <map>
#include <memory>
#include <string>
#include <thread>

namespace cranberry {

/// Thread with its own event loop that owns the queues, servers and idempotency
/// keys of its services. No other thread accesses them, so that no locks are
/// needed.
class TrafficThread {
public:
  TrafficThread(const Settings &Config, PeerClient &Peers, Metrics &Counters);
  ~TrafficThread();

  /// Starts the thread. Afterwards other threads use the loop by post() only.
  void start();
  void stop();

  /// Makes each request that is submitted from now on end by \p End. Safe from
  /// any thread.
  void startDrain(Time End);

  /// Routes a request. Safe from any thread.
  void submit(CallSpec Call, CallCallback End);

  /// Handles a peer's request for slots. Safe from any thread.
  void handleSlotRequest(wire::SlotRequest Ask,
                         PeerRespond<wire::SlotReply> Respond);

  /// Handles a peer's release of a grant. Safe from any thread.
  void handleSlotRelease(const wire::SlotRelease &Release);

  /// Applies a new snapshot. Safe from any thread.
  /// \param Services Services that this thread owns.
  void setSnapshot(SnapshotPtr Next, std::vector<std::string> Services);

  /// Calls \p Report with statistics by service, on this thread. Safe from any
  /// thread.
  void
  collectStats(std::function<void(std::map<std::string, ServiceStats>)> Report);

  /// \return Time of the loop's last iteration, for the liveness check.
  Time getLastIterationTime() const { return Loop_.getLastTick(); }

private:
  /// Probes the servers of all services, and schedules the next round.
  void probeServers();

  const Settings &Settings_; ///< Settings of the process.
  EventLoop Loop_;           ///< This thread's loop.
  TrafficContext Context_;   ///< Shared by the services.
  std::map<std::string, std::unique_ptr<ServiceTraffic>>
      Services_;       ///< Services by name.
  std::thread Thread_; ///< Runs Loop_.
};

} // namespace cranberry

#endif
