/// \file service_traffic_base.h Carries out the decisions of one service.
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

/// What all services of a traffic thread share.
struct TrafficContext {
  const Settings *Settings_;                ///< Settings.
  EventLoop *Loop_;                         ///< Thread's loop.
  PeerClient *Peers_;                       ///< Connections to peers.
  Metrics *Metrics_;                        ///< Counters.
  SnapshotPtr Snapshot_;                    ///< Newest control state.
  std::map<std::string, LinkBudget> Links_; ///< By receiving region.
};

/// Figures of a service on this entry VM.
struct ServiceStats {
  DispatcherStats Dispatcher_;        ///< Queue and slots.
  size_t Keys_ = 0;                   ///< Idempotency keys remembered.
  size_t OpenCalls_ = 0;              ///< Requests that have not ended.
  std::vector<ServerStatus> Servers_; ///< Backend servers owned.
};

/// One service on one traffic thread: a dispatcher, its keys, and the calls
/// that are out.
class ServiceTraffic {
public:
  ServiceTraffic(std::string Name, TrafficContext &Context);

  /// Takes over a new snapshot.
  void applySnapshot();

  void submit(CallSpec Call, CallCallback End);
  void handleSlotRequest(const wire::SlotRequest &Ask,
                         PeerRespond<wire::SlotReply> Respond);
  void releaseGrant(uint64_t Grant);

  /// Asks every owned server's health endpoint.
  void probeServers();

  /// Moves time on.
  void tick();

  ServiceStats getStats();

private:
  /// A request that has not ended for its callers.
  struct OpenCall {
    CallSpec Call_;                       ///< Request.
    std::vector<CallCallback> Callbacks_; ///< Callers that wait for it.
    std::vector<Time> Deadlines_;         ///< Theirs, in the same order.
    std::optional<IdempotencyKey> Key_;   ///< Key, if this VM is its home.
    bool IsStarted_ = false;              ///< Whether an attempt was made.
    unsigned Attempts_ = 0;               ///< Attempts made.
  };

  /// An attempt that is out.
  struct OpenAttempt {
    RequestIndex Request_;         ///< Its request.
    CallIndex HttpCall_;           ///< Call to a server; invalid for a peer.
    std::function<void()> Cancel_; ///< Cancels a call to a peer.
    CallResult Result_;            ///< Answer, once it is there.
  };

  void startCall(CallSpec Call, CallCallback End,
                 std::optional<IdempotencyKey> Key);
  void submitKeyed(CallSpec Call, CallCallback End);
  void forwardToHome(const IdempotencyKey &Key, const CallSpec &Call,
                     const CallCallback &End);
  void completeCall(OpenCall &Call, const CallResult &Reply);
  void recordKeyOutcome(const IdempotencyKey &Key, const CallResult &Reply);
  void expireWaiters(Time Now);

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
  void applyDrainHeader(const std::string &Server, const HttpResult &Result);
  void logOwnership(const std::vector<std::string> &Before) const;
  bool isRepeatable(const std::string &Method) const;
  Duration getTimeout(const CallSpec &Call) const;
  LinkBudget *findLinkBudget(const std::string &Region);
  void scheduleTick();
  void sendOverLink(const std::string &Region, size_t Bytes,
                    std::function<void()> Send);

  std::string Name_;           ///< Service.
  TrafficContext &Context_;    ///< Shared with the thread's other services.
  Dispatcher Dispatcher_;      ///< Decisions.
  SnapshotPtr PlacedSnapshot_; ///< Snapshot that servers were last placed for.
  IdempotencyTable Keys_;      ///< Keys whose home is this VM.
  std::vector<std::string> OwnedServers_; ///< Servers that this VM gives work.
  std::map<std::string, unsigned> ProbeFailures_;    ///< In a row, by server.
  std::map<RequestIndex, OpenCall> OpenCalls_;       ///< Not ended.
  std::map<AttemptIndex, OpenAttempt> OpenAttempts_; ///< Out.
  std::map<std::string, RequestIndex> KeyedCalls_;   ///< Running, by key.
  std::map<SlotRequestIndex, PeerRespond<wire::SlotReply>>
      SlotRequests_;                                       ///< Not answered.
  std::map<SlotRequestIndex, Time> SlotRequestTimes_;      ///< When they came.
  std::map<SlotRequestIndex, std::string> SlotRequestVms_; ///< Who asked.
  uint64_t NextSlotRequest_ = 1; ///< Number of the next question.
  Time NextTick_ = Time::max();  ///< Earliest timer that is set.
};

} // namespace cranberry

#endif
