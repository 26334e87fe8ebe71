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
  Time DrainEnd_ = Time::max(); ///< Latest deadline of new requests.
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
  void applySnapshot();

  /// Starts a request; \p End is called once with its result.
  void submit(CallSpec Call, CallCallback End);

  /// Handles a peer's request for slots; the dispatcher may delay the response.
  void handleSlotRequest(const wire::SlotRequest &Ask,
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
    CallSpec Call_;                       ///< Request.
    std::vector<CallCallback> Callbacks_; ///< Callbacks of waiting callers.
    std::vector<Time> Deadlines_; ///< Deadlines in the order of Callbacks_.
    std::optional<IdempotencyKey> Key_; ///< Key, if this VM is its home.
    bool IsStarted_ = false;            ///< Whether an attempt was started.
    unsigned Attempts_ = 0;             ///< Number of attempts.
  };

  /// Attempt in flight.
  struct OpenAttempt {
    RequestIndex Request_;         ///< Request that it belongs to.
    CallIndex HttpCall_;           ///< Call to a server; invalid for a peer.
    std::function<void()> Cancel_; ///< Cancels a call to a peer.
    CallResult Result_;            ///< Result, once it is received.
  };

  void startCall(CallSpec Call, CallCallback End,
                 std::optional<IdempotencyKey> Key);
  void submitKeyed(CallSpec Call, CallCallback End);
  /// Forwards a request to the entry VM that is the home of its key.
  void forwardToHome(const IdempotencyKey &Key, const CallSpec &Call,
                     const CallCallback &End);
  /// Reports the result to all waiting callers.
  void completeCall(OpenCall &Call, const CallResult &Reply);
  /// Stores the outcome of a request for its idempotency key.
  void recordKeyOutcome(const IdempotencyKey &Key, const CallResult &Reply);
  /// Reports a timeout to callers whose deadline has passed.
  void expireWaiters(Time Now);

  /// Executes all pending actions of the dispatcher.
  void runActions();
  void run(const StartServerAttempt &Start);
  void run(const StartPeerAttempt &Start);
  void run(const CancelAttempt &Cancel);
  void run(const FinishRequest &Finish);
  void run(const ReportLateResult &Settle);
  void run(const RequestSlots &Ask);
  void run(const ReleaseGrant &Release);
  void run(const SendSlotReply &Answer);

  HttpCall makeServerCall(const OpenCall &Open, const std::string &Server,
                          const std::string &AttemptId) const;
  wire::ForwardRequest makeForwardRequest(const CallSpec &Call,
                                          Duration Left) const;
  void onServerResponse(AttemptIndex Attempt, const std::string &Server,
                        const std::string &AttemptId, HttpResult Result);
  void onPeerResponse(AttemptIndex Attempt, const std::string &RequestId,
                      std::optional<wire::ForwardReply> Reply);
  void finishAttempt(AttemptIndex Attempt, CallResult Reply);
  /// Marks a server as draining if its response carries X-Draining.
  void applyDrainHeader(const std::string &Server, const HttpResult &Result);
  void logOwnership(const std::vector<std::string> &Before) const;
  bool isRepeatable(const std::string &Method) const;
  Duration getTimeout(const CallSpec &Call) const;
  LinkBudget *findLinkBudget(const std::string &Region);
  /// Sets a timer for the next timeout.
  void scheduleTick();
  /// Calls \p Send once the bandwidth limit of the link admits \p Bytes.
  void sendOverLink(const std::string &Region, size_t Bytes,
                    std::function<void()> Send);

  std::string Name_;           ///< Name of the service.
  TrafficContext &Context_;    ///< Shared with the thread's other services.
  Dispatcher Dispatcher_;      ///< Decides on requests and attempts.
  SnapshotPtr PlacedSnapshot_; ///< Snapshot of the last placement.
  IdempotencyTable Keys_;      ///< Keys whose home is this VM.
  std::vector<std::string> OwnedServers_; ///< Servers owned by this VM.
  std::map<std::string, unsigned>
      ProbeFailures_; ///< Consecutive failures by server.
  std::map<RequestIndex, OpenCall> OpenCalls_;       ///< Requests in progress.
  std::map<AttemptIndex, OpenAttempt> OpenAttempts_; ///< Attempts in flight.
  std::map<std::string, RequestIndex>
      KeyedCalls_; ///< Requests in progress, by key.
  std::map<SlotRequestIndex, PeerRespond<wire::SlotReply>>
      SlotRequests_; ///< Pending slot requests.
  std::map<SlotRequestIndex, Time>
      SlotRequestTimes_; ///< Arrival times of slot requests.
  std::map<SlotRequestIndex, std::string>
      SlotRequestVms_;           ///< Senders of slot requests.
  uint64_t NextSlotRequest_ = 1; ///< Number of the next slot request.
  Time NextTick_ = Time::max();  ///< Time of the earliest timer.
};

} // namespace cranberry

#endif
