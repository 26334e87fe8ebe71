/// \file service_traffic_base.h Runs the requests of one service.
#ifndef CRANBERRY_DAEMON_SERVICE_TRAFFIC_BASE_H
#define CRANBERRY_DAEMON_SERVICE_TRAFFIC_BASE_H

#include "daemon/call_type.h"
#include "daemon/settings_type.h"
#include "daemon/snapshot_type.h"
#include "net/event_loop_base.h"
#include "net/peer_link_base.h"
#include "observe/metrics_base.h"
#include "process/link_budget_base.h"
#include "request/dispatcher_base.h"
#include "request/idempotency_table_base.h"

#include <map>
#include <string>
#include <vector>

namespace cranberry {

/// State shared by all services of a traffic thread.
struct TrafficContext {
  const Settings *Settings_;                ///< Settings of the process.
  EventLoop *Loop_;                         ///< Event loop of the thread.
  PeerClient *Peers_;                       ///< Connections to other entry VMs.
  Metrics *Metrics_;                        ///< Counts requests and attempts.
  SnapshotPtr Snapshot_;                    ///< Latest control state.
  std::map<std::string, LinkBudget> Links_; ///< By destination region.
};

/// Statistics of a service on this entry VM.
struct ServiceStats {
  DispatcherStats Dispatcher_;        ///< Queue and slot usage.
  size_t Keys_ = 0;                   ///< Stored idempotency keys.
  size_t OpenCalls_ = 0;              ///< Requests in progress.
  std::vector<ServerStatus> Servers_; ///< Owned backend servers.
};

/// One service on one traffic thread. It executes the actions that its
/// dispatcher decides on, and owns the idempotency keys and attempts in flight.
class ServiceTraffic {
public:
  ServiceTraffic(std::string Name, TrafficContext &Context);

  /// Applies the latest snapshot: places the servers and updates the limits.
  void refresh();

  /// Starts a request; \p End is called once with its result.
  void submit(CallSpec Call, CallEnd End);

  /// Handles a peer's request for slots; the dispatcher may delay the response.
  void askSlots(const wire::SlotRequest &Ask,
                PeerRespond<wire::SlotReply> Respond);
  /// Frees the slots of a grant.
  void releaseGrant(uint64_t Grant);

  /// Probes the health endpoint of every owned server.
  void probeServers();

  /// Processes the timeouts that are due.
  void tick();

  ServiceStats getStats();

private:
  /// Request in progress.
  struct OpenCall {
    CallSpec Call_;                     ///< Request.
    std::vector<CallEnd> Ends_;         ///< Callbacks of waiting callers.
    std::vector<Time> Deadlines_;       ///< Deadlines in the order of Ends_.
    std::optional<IdempotencyKey> Key_; ///< Key, if this VM is its home.
    bool Started_ = false;              ///< Whether an attempt was started.
    unsigned Attempts_ = 0;             ///< Number of attempts.
  };

  /// Attempt in flight.
  struct OpenAttempt {
    RequestIndex Request_;         ///< Request that it belongs to.
    CallIndex HttpCall_;           ///< Call to a server; invalid for a peer.
    std::function<void()> Cancel_; ///< Cancels a call to a peer.
    CallReply Reply_;              ///< Result, once it is received.
  };

  void startCall(CallSpec Call, CallEnd End, std::optional<IdempotencyKey> Key);
  void submitKeyed(CallSpec Call, CallEnd End);
  /// Forwards a request to the entry VM that is the home of its key.
  void passHome(const IdempotencyKey &Key, const CallSpec &Call,
                const CallEnd &End);
  /// Reports the result to all waiting callers.
  void endCall(OpenCall &Call, const CallReply &Reply);
  /// Stores the outcome of a request for its idempotency key.
  void settleKey(const IdempotencyKey &Key, const CallReply &Reply);
  /// Reports a timeout to callers whose deadline has passed.
  void expireWaiters(Time Now);

  /// Executes all pending actions of the dispatcher.
  void perform();
  void run(const StartServerAttempt &Start);
  void run(const StartPeerAttempt &Start);
  void run(const CancelAttempt &Cancel);
  void run(const FinishRequest &Finish);
  void run(const SettleRequest &Settle);
  void run(const AskPeer &Ask);
  void run(const ReleaseGrant &Release);
  void run(const AnswerAsk &Answer);

  HttpCall makeServerCall(const OpenCall &Open, const std::string &Server,
                          const std::string &AttemptId) const;
  wire::ForwardRequest makeForward(const CallSpec &Call, Duration Left) const;
  void endServerAttempt(AttemptIndex Attempt, const std::string &Server,
                        const std::string &AttemptId, HttpResult Result);
  void endPeerAttempt(AttemptIndex Attempt, const std::string &RequestId,
                      std::optional<wire::ForwardReply> Reply);
  void endAttempt(AttemptIndex Attempt, CallReply Reply);
  /// Marks a server as draining if its response carries X-Draining.
  void noteServerState(const std::string &Server, const HttpResult &Result);
  void logOwnership(const std::vector<std::string> &Before) const;
  bool isRepeatable(const std::string &Method) const;
  Duration getTimeout(const CallSpec &Call) const;
  LinkBudget *findLink(const std::string &Region);
  /// Sets a timer for the next timeout.
  void scheduleWake();
  /// Calls \p Send once the bandwidth limit of the link admits \p Bytes.
  void sendOverLink(const std::string &Region, size_t Bytes,
                    std::function<void()> Send);

  std::string Name_;               ///< Name of the service.
  TrafficContext &Context_;        ///< Shared with the thread's other services.
  Dispatcher Dispatcher_;          ///< Decides on requests and attempts.
  SnapshotPtr Placed_;             ///< Snapshot of the last placement.
  IdempotencyTable Keys_;          ///< Keys whose home is this VM.
  std::vector<std::string> Owned_; ///< Servers owned by this VM.
  std::map<std::string, unsigned>
      ProbeFailures_;                      ///< Consecutive failures by server.
  std::map<RequestIndex, OpenCall> Calls_; ///< Requests in progress.
  std::map<AttemptIndex, OpenAttempt> Attempts_; ///< Attempts in flight.
  std::map<std::string, RequestIndex>
      KeyedCalls_; ///< Requests in progress, by key.
  std::map<AskIndex, PeerRespond<wire::SlotReply>>
      Asks_;                               ///< Pending slot requests.
  std::map<AskIndex, Time> AskTimes_;      ///< Arrival times of slot requests.
  std::map<AskIndex, std::string> AskVms_; ///< Senders of slot requests.
  uint64_t NextAsk_ = 1;                   ///< Number of the next slot request.
  Time NextWake_ = Time::max();            ///< Time of the earliest timer.
};

} // namespace cranberry

#endif
