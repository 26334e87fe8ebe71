/// \file dispatcher_base.h Schedules the requests of a service on servers.
#ifndef CRANBERRY_REQUEST_DISPATCHER_BASE_H
#define CRANBERRY_REQUEST_DISPATCHER_BASE_H

#include "request/held_grants_base.h"
#include "request/issued_grants_base.h"
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

/// Settings of a dispatcher, derived from one configuration version.
struct DispatcherLimits {
  QueueOrder Order_ = ShortFirstOrder{}; ///< Order of queued requests.
  unsigned MaxQueue_ = 256;              ///< Maximum number of queued requests.
  unsigned MaxConcurrent_ = ~0U;         ///< This VM's share of the limit.
  double Headroom_ = 0.1; ///< Share of slots that other regions leave free.
  /// Running time of retries and hedges per unit of first attempts.
  double RetryRatio_ = 0.1;
  bool IsHedgingEnabled_ = true; ///< Whether slow attempts are hedged.
  /// Whether slot requests to other regions ramp up.
  bool RampsOtherRegions_ = true;
};

/// A slot request from another entry VM.
struct PeerSlotRequest {
  SlotRequestIndex Index_;   ///< Identifies the request for the reply.
  unsigned Wanted_ = 1;      ///< Maximum number of slots to grant.
  bool OtherRegion_ = false; ///< Whether the peer must leave the headroom.
  Duration Latency_{0};      ///< One-way latency to a peer in another region.
  Time WaitUntil_;           ///< Latest time of the reply.
};

/// A peer's reply to a slot request.
struct PeerSlotReply {
  std::string Vm_;           ///< Issuer of the grant.
  uint64_t Grant_ = 0;       ///< Grant number of the issuer.
  uint64_t Incarnation_ = 0; ///< Incarnation of the issuer.
  unsigned Slots_ = 0;       ///< Granted slots; 0 if it had none free.
  Duration Ttl_{0}; ///< Remaining lifetime of the grant when the reply arrives.
};

/// Statistics for metrics and status.
struct DispatcherStats {
  size_t Queued_ = 0;        ///< Queued requests.
  unsigned InUse_ = 0;       ///< Attempts in flight at own servers.
  unsigned Usable_ = 0;      ///< Slots of own servers that accept requests.
  unsigned Reserved_ = 0;    ///< Unused slots reserved for grants to peers.
  unsigned long Added_ = 0;  ///< Retries and hedges so far.
  unsigned long Hedges_ = 0; ///< Hedges so far.
  unsigned long Silent_ = 0; ///< Attempts cancelled as silent so far.
};

/// Owns the queue of one service on one entry VM.
///
/// Each event is passed in with the time at which it happened, and
/// takeActions() returns the resulting actions. A request is bound to a server
/// as late as possible: only when an own server or a slot granted by a peer is
/// free. These invariants hold at all times:
///   attempts at own servers + reserved slots <= MaxConcurrent_,
///   attempts at a server <= its slots.
class Dispatcher {
public:
  explicit Dispatcher(const DispatcherLimits &Limits);

  /// Applies the settings of a new configuration version.
  void setLimits(const DispatcherLimits &Limits);
  void setServers(const std::vector<ServerSpec> &Specs, Time Now);
  void setPeers(std::vector<PeerSpec> Peers);
  void setHealth(const std::string &Server, ServerHealth Health, Time Now);

  /// Adds a request that has arrived.
  /// \return Its index; a FinishRequest action reports the result.
  RequestIndex addRequest(RequestTraits Traits, Time Now);

  /// Handles a caller that disconnected: a repeatable request is cancelled at
  /// every server and peer.
  void cancelRequest(RequestIndex Request, Time Now);

  /// Handles the end of an attempt; Ok means that the response is complete.
  void finishAttempt(AttemptIndex Attempt, ResultCode Code, Time Now);

  /// Handles a slot request from a peer; an action carries the reply.
  void addSlotRequest(PeerSlotRequest Request, Time Now);

  /// Handles the reply to a slot request; a failed request counts as a reply
  /// without slots.
  void onSlotReply(const PeerSlotReply &Reply, Time Now);

  /// Handles a grant that a peer has returned.
  void releaseGrant(GrantIndex Grant, Time Now);

  /// Handles all timers that are due at \p Now.
  void tick(Time Now);

  /// \return Actions since the last call, in the order in which they arose.
  Actions takeActions();

  /// \return Latest time of the next call of tick(), if one is needed.
  std::optional<Time> getNextWake(Time Now);

  DispatcherStats getStats(Time Now);
  std::vector<ServerStatus> getServerStatus(Time Now) const {
    return Pool_.getStatus(Now);
  }
  const RouteHistory &getHistory() const { return History_; }
  bool isIdle() const { return Requests_.empty(); }

private:
  /// Kinds of timers of a request or an attempt.
  enum class TimerKind : uint8_t {
    Deadline, ///< The deadline of a request.
    Backoff,  ///< The end of a request's backoff.
    Hedge,    ///< An attempt becomes eligible for a hedge.
    Silent,   ///< The silence timeout of an attempt.
  };

  /// A timer; it is ignored if its request or attempt has ended before it
  /// fires.
  struct Timer {
    Time At_;        ///< Time at which it fires.
    TimerKind Kind_; ///< Selects the handler.
    uint64_t Id_;    ///< Index of the request or attempt.

    friend bool operator<(const Timer &A, const Timer &B) {
      return A.At_ > B.At_;
    }
  };

  enum class Phase : uint8_t {
    Waiting,  ///< Queued.
    Backoff,  ///< Returns to the queue at ReadyAt_.
    Running,  ///< At least one attempt is in flight.
    Finished, ///< Finished for the caller; an attempt is still in flight.
  };

  struct Request {
    RequestTraits Traits_;         ///< Properties at arrival.
    Phase Phase_ = Phase::Waiting; ///< Current phase.
    /// From another region; must leave the headroom.
    bool IsFromOtherRegion_ = false;
    std::vector<AttemptIndex> Running_;  ///< Attempts in flight.
    Time ReadyAt_;                       ///< End of the backoff.
    unsigned Failures_ = 0;              ///< Number of failed attempts.
    std::optional<Duration> NextCharge_; ///< Charge for the next attempt.
    /// Whether an attempt ended without it being known if the request ran.
    bool MayHaveRun_ = false;
    /// Result of that attempt, if MayHaveRun_.
    ResultCode UnknownResult_ = ResultCode::ServerAnswerLost;
    std::string AvoidVm_;     ///< Peer of the last failed attempt.
    ServerIndex AvoidServer_; ///< Server of the last failed attempt.
  };

  struct Attempt {
    RequestIndex Request_; ///< Request that it belongs to.
    Time Started_;         ///< Time of the start.
    Duration Expected_{0}; ///< Estimated running time at the start.
    ServerIndex Server_;   ///< Own server; invalid if it runs through a peer.
    std::string Vm_;       ///< Peer that it runs through, if any.
    uint64_t Grant_ = 0;   ///< Grant number of that peer.
    bool IsLongRunning_ = false; ///< Whether its route counts as long-running.
    bool IsCancelled_ = false; ///< Cancelled, and its end is not reported yet.
    std::optional<Duration> Charged_; ///< Charge of a retry or a hedge.
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
  void sendSlotReply(const PeerSlotRequest &Request, unsigned Slots, Time Now);
  unsigned getHeadroomSlots(Time Now) const;
  unsigned getFarGrantable(const PeerSlotRequest &Request, Time Now);
  unsigned getGrantable(const PeerSlotRequest &Request, Time Now);
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
  void finish(RequestIndex Index, ResultCode Code, AttemptIndex ResponseAttempt,
              Time Now);
  void cancelAttempts(Request &R);
  void removeRequest(RequestIndex Index, Time Now);
  void recordAttemptEnd(const Attempt &A, ResultCode Code, Time Now);
  Time getFarRequestTime(const PeerSpec &Peer) const;
  Duration getHedgeDelay(const Attempt &A) const;
  Time getSilentTime(const Attempt &A) const;

  DispatcherLimits Limits_; ///< Current settings.
  ServerPool Pool_;         ///< Backend servers of this VM.
  RequestQueue Queue_;      ///< Requests that wait for a slot.
  RouteHistory History_;    ///< Running times by route.
  /// Limits hedges, and retries of attempts that may have run.
  RetryBudget Budget_;
  IssuedGrants IssuedGrants_;   ///< Grants to peers.
  HeldGrants HeldGrants_;       ///< Grants from peers.
  std::vector<PeerSpec> Peers_; ///< Sorted by distance.

  /// Timeouts of slot requests in flight, by VM.
  absl::flat_hash_map<std::string, Time> PendingSlotRequests_;
  /// Earliest time of the next slot request, by VM.
  absl::flat_hash_map<std::string, Time> NextSlotRequest_;
  /// Ramped size of the next slot request, by VM.
  absl::flat_hash_map<std::string, unsigned> SlotRequestSizes_;
  /// Slot requests of peers without a reply.
  std::deque<PeerSlotRequest> OpenSlotRequests_;
  absl::flat_hash_map<RequestIndex, Request> Requests_; ///< Requests.
  absl::flat_hash_map<AttemptIndex, Attempt> Attempts_; ///< In flight.
  Actions Actions_;                   ///< Actions since the last takeActions().
  std::priority_queue<Timer> Timers_; ///< Earliest first.
  std::set<AttemptIndex> HedgeCandidates_; ///< Attempts eligible for a hedge.
  uint64_t NextRequest_ = 1;               ///< Index of the next request.
  uint64_t NextAttempt_ = 1;               ///< Index of the next attempt.
  unsigned long Hedges_ = 0;               ///< Hedges so far.
  unsigned LongInUse_ = 0;   ///< Own slots with long-running requests.
  unsigned long Silent_ = 0; ///< Attempts cancelled as silent so far.
};

} // namespace cranberry

#endif
