/// \file traffic_thread_base.h Routes the requests of some services.
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

/// A thread with its own loop that owns some services' queues, servers and
/// idempotency keys. Nothing of them is shared, so nothing is locked.
class TrafficThread {
public:
  TrafficThread(const Settings &Config, PeerClient &Peers, Metrics &Counters);
  ~TrafficThread();

  /// Starts the thread; the loop is not touched from others but by post().
  void start();
  void stop();

  /// Routes a request. Safe from any thread.
  void submit(CallSpec Call, CallEnd End);

  /// A peer asks for slots. Safe from any thread.
  void askSlots(wire::SlotRequest Ask, PeerRespond<wire::SlotReply> Respond);

  /// A peer gives a grant back. Safe from any thread.
  void releaseSlots(const wire::SlotRelease &Release);

  /// A new configuration or list of members. Safe from any thread.
  void setSnapshot(SnapshotPtr Next, std::vector<std::string> Services);

  /// Reports figures on the loop's thread. Safe from any thread.
  void
  reportStats(std::function<void(std::map<std::string, ServiceStats>)> Report);

  Time getLastTurn() const { return Loop_.getLastTick(); }

private:
  void probeServers();

  const Settings &Settings_; ///< Settings.
  EventLoop Loop_;           ///< This thread's loop.
  TrafficContext Context_;   ///< What every service shares.
  std::map<std::string, std::unique_ptr<ServiceTraffic>>
      Services_;       ///< By name.
  std::thread Thread_; ///< The thread.
};

} // namespace cranberry

#endif
