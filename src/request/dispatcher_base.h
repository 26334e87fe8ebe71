/// \file dispatcher_base.h Decides where and when each request of a service
/// runs.
#ifndef CRANBERRY_REQUEST_DISPATCHER_BASE_H
#define CRANBERRY_REQUEST_DISPATCHER_BASE_H

#include "request/grant_ledger_base.h"
#include "request/grant_wallet_base.h"
#include "request/request_queue_base.h"
#include "request/request_type.h"
#include "request/retry_budget_base.h"
#include "request/route_history_base.h"
#include "request/server_pool_base.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <queue>
#include <set>

namespace cranberry {

/// Settings of a dispatcher; derived from one configuration.
struct DispatcherLimits {
  QueueOrder Order_ = ShortFirstOrder{}; ///< Order of waiting requests.
  unsigned MaxQueue_ = 256;              ///< Most requests that wait.
  unsigned MaxConcurrent_ = ~0U;         ///< This VM's share of the limit.
  double Headroom_ = 0.1;   ///< Share of slots kept from other regions.
  double RetryRatio_ = 0.1; ///< Added running time for each unit of useful.
  bool IsHedgingEnabled_ = true; ///< Whether slow attempts get a second one.
  bool RampsOtherRegions_ =
      true; ///< Whether moves to other regions are ramped.
};

/// Another entry VM's question for slots.
struct PeerSlotRequest {
  SlotRequestIndex Index_;   ///< Number of the question.
  unsigned Wanted_ = 1;      ///< Most slots that the peer can use.
  bool OtherRegion_ = false; ///< Whether headroom must be left.
  Duration Latency_{0};      ///< One way, to a VM of another region.
  Time WaitUntil_;           ///< When it must be answered at the latest.
};

/// What a peer answered to AskPeer.
struct PeerSlotReply {
  std::string Vm_;           ///< Giver.
  uint64_t Grant_ = 0;       ///< Giver's number of the grant.
  uint64_t Incarnation_ = 0; ///< Giver's incarnation.
  unsigned Slots_ = 0;       ///< Slots; none if it had no room.
  Duration Ttl_{0};          ///< Life of the grant, without the asker's wait.
};

/// Figures for metrics and status.
struct DispatcherStats {
  size_t Queued_ = 0;        ///< Requests that wait.
  unsigned InUse_ = 0;       ///< Attempts at own servers.
  unsigned Usable_ = 0;      ///< Slots of own servers that take work.
  unsigned Reserved_ = 0;    ///< Slots granted to peers and not in use.
  unsigned long Added_ = 0;  ///< Retries and hedges so far.
  unsigned long Hedges_ = 0; ///< Hedges so far.
  unsigned long Silent_ = 0; ///< Attempts dropped as silent so far.
};

/// Owns the queue of one service on one entry VM.
///
/// Events go in with the time at which they happened; the actions that follow
/// are taken with takeActions(). Requests are bound to a server as late as
/// possible: only when one of the own servers, or a slot that a peer has
/// granted, is free. It holds at all times that
///   attempts at own servers + reserved slots <= MaxConcurrent_,
///   attempts at a server <= its slots.
class Dispatcher {
public:
  explicit Dispatcher(const DispatcherLimits &Limits);

  /// Takes over the settings of a new configuration.
  void setLimits(const DispatcherLimits &Limits);
  void setServers(const std::vector<ServerSpec> &Specs, Time Now);
  void setPeers(std::vector<PeerSpec> Peers);
  void setHealth(const std::string &Server, ServerHealth Health, Time Now);

  /// A request has arrived.
  /// \return Its index; a FinishRequest action ends it.
  RequestIndex addRequest(RequestTraits Traits, Time Now);

  /// The caller is gone: a repeatable request is cancelled everywhere.
  void cancelRequest(RequestIndex Request, Time Now);

  /// An attempt has ended; Ok means that the whole answer is here.
  void finishAttempt(AttemptIndex Attempt, ResultCode Code, Time Now);

  /// A peer asks for slots; an AnswerAsk action ends it.
  void addSlotRequest(PeerSlotRequest Ask, Time Now);

  /// A peer has answered AskPeer, or the question failed (no slots).
  void onSlotReply(const PeerSlotReply &Answer, Time Now);

  /// A peer gives a grant back.
  void releaseGrant(GrantIndex Grant, Time Now);

  /// Time has passed.
  void tick(Time Now);

  /// \return Actions since the last call, in order.
  Actions takeActions();

  /// \return When tick() must be called at the latest, if ever.
  std::optional<Time> getNextWake(Time Now);

  DispatcherStats getStats(Time Now);
  std::vector<ServerStatus> getServerStatus(Time Now) const {
    return Pool_.getStatus(Now);
  }
  const RouteHistory &getHistory() const { return History_; }
  bool isIdle() const { return Requests_.empty(); }

private:
  /// What is due for a request or an attempt.
  enum class TimerKind : uint8_t {
    Deadline, ///< Request's deadline.
    Backoff,  ///< End of a request's back-off.
    Hedge,    ///< An attempt is late enough for a hedge.
    Silent,   ///< An attempt may have gone silent.
  };

  /// Something to look at when its time comes; what has ended by then is
  /// passed over.
  struct Timer {
    Time At_;        ///< When.
    TimerKind Kind_; ///< What.
    uint64_t Id_;    ///< Request or attempt.

    friend bool operator<(const Timer &A, const Timer &B) {
      return A.At_ > B.At_;
    }
  };

  enum class Phase : uint8_t {
    Waiting,  ///< In the queue.
    Backoff,  ///< Returns to the queue at ReadyAt_.
    Running,  ///< At least one attempt is out.
    Finished, ///< Ended for the caller; an attempt is still out.
  };

  struct Request {
    RequestTraits Traits_;         ///< As it arrived.
    Phase Phase_ = Phase::Waiting; ///< Where it stands.
    bool IsFromOtherRegion_ =
        false; ///< From another region; leaves the headroom.
    std::vector<AttemptIndex> Running_;  ///< Attempts that are out.
    Time ReadyAt_;                       ///< End of back-off.
    unsigned Failures_ = 0;              ///< Attempts that failed.
    std::optional<Duration> NextCharge_; ///< Paid for the next attempt.
    bool MayHaveRun_ = false;            ///< Some attempt's end is unknown.
    ResultCode UnknownResult_ =
        ResultCode::ServerAnswerLost; ///< If MayHaveRun_.
    std::string AvoidVm_;             ///< Peer that refused last.
    ServerIndex AvoidServer_;         ///< Server that failed last.
  };

  struct Attempt {
    RequestIndex Request_;            ///< Its request.
    Time Started_;                    ///< When it was started.
    Duration Expected_{0};            ///< Estimate at that time.
    ServerIndex Server_;              ///< Own server; invalid if at a peer.
    std::string Vm_;                  ///< Peer, if at a peer.
    uint64_t Grant_ = 0;              ///< Peer's grant.
    bool IsLongRunning_ = false;      ///< Long work, by its route's history.
    bool IsCancelled_ = false;        ///< Cancelled; waits for its end.
    std::optional<Duration> Charged_; ///< Paid by the budget, if added.
  };

  unsigned getFreeOwn(Time Now);
  void dispatch(Time Now);
  void startWaiting(Time Now);
  bool startAtServer(RequestIndex Index, Time Now, const char *Why);
  bool startAtPeer(RequestIndex Index, Time Now);
  bool isLongRunning(const std::string &Route) const;
  bool shouldDefer(const Request &R, Time Now);
  AttemptIndex addAttempt(RequestIndex Index, Time Now);
  void requestPeerSlots(Time Now);
  void replyToSlotRequests(Time Now);
  void expireSlotRequests(Time Now);
  void delaySlotRequests(const std::string &Vm, Time Now);
  void sendSlotReply(const PeerSlotRequest &Ask, unsigned Slots, Time Now);
  unsigned getHeadroomSlots(Time Now) const;
  unsigned getFarGrantable(const PeerSlotRequest &Ask, Time Now);
  unsigned getGrantable(const PeerSlotRequest &Ask, Time Now);
  bool chargeAttempt(Request &R);
  void startHedges(Time Now);
  void cancelHedges();
  void handleTimers(Time Now);
  void handleTimer(const Timer &Next, Time Now);
  void expireDeadline(RequestIndex Index, Time Now);
  void checkSilence(AttemptIndex Attempt, Time Now);
  void retryOrFinish(RequestIndex Index, ResultCode Code, Time Now);
  void enqueue(RequestIndex Index);
  void startBackoff(RequestIndex Index, Time Now);
  void finish(RequestIndex Index, ResultCode Code, AttemptIndex Answer,
              Time Now);
  void cancelAttempts(Request &R);
  void removeRequest(RequestIndex Index, Time Now);
  void recordAttemptEnd(const Attempt &A, ResultCode Code, Time Now);
  Time getFarRequestTime(const PeerSpec &Peer) const;
  Duration getHedgeDelay(const Attempt &A) const;
  Time getSilentTime(const Attempt &A) const;

  DispatcherLimits Limits_;     ///< Settings.
  ServerPool Pool_;             ///< Own backend servers.
  RequestQueue Queue_;          ///< Waiting requests.
  RouteHistory History_;        ///< Expected running times.
  RetryBudget Budget_;          ///< Retries after unknown ends, and hedges.
  IssuedGrants IssuedGrants_;   ///< Slots granted to peers.
  HeldGrants HeldGrants_;       ///< Slots granted by peers.
  std::vector<PeerSpec> Peers_; ///< By distance.
  absl::flat_hash_map<std::string, Time>
      PendingSlotRequests_; ///< Open AskPeer, by VM.
  absl::flat_hash_map<std::string, Time>
      NextSlotRequest_; ///< Earliest next AskPeer.
  absl::flat_hash_map<std::string, unsigned>
      SlotRequestSizes_;                         ///< Slots next asked for.
  std::deque<PeerSlotRequest> OpenSlotRequests_; ///< Peers' open questions.
  absl::flat_hash_map<RequestIndex, Request> Requests_; ///< Live requests.
  absl::flat_hash_map<AttemptIndex, Attempt> Attempts_; ///< Live attempts.
  Actions Actions_;                                     ///< Not taken yet.
  std::priority_queue<Timer> Timers_;                   ///< By time.
  std::set<AttemptIndex> HedgeCandidates_; ///< Attempts that are to be hedged.
  uint64_t NextRequest_ = 1;               ///< Number of the next request.
  uint64_t NextAttempt_ = 1;               ///< Number of the next attempt.
  unsigned long Hedges_ = 0;               ///< Hedges so far.
  unsigned LongInUse_ = 0;                 ///< Own slots that run long work.
  unsigned long Silent_ = 0; ///< Attempts dropped as silent so far.
};

} // namespace cranberry

#endif
