/// \file service_balancer_base.h Places the requests of one service.
#ifndef CRANBERRY_REQUEST_SERVICE_BALANCER_BASE_H
#define CRANBERRY_REQUEST_SERVICE_BALANCER_BASE_H

#include "request/balanced_server_base.h"
#include "request/balancer_type.h"
#include "request/shift_gate_base.h"
#include "request/work_history_base.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace cranberry {

/// Decides which request goes to which server, when, and which is refused.
///
/// Requests wait here and not in the servers' queues, so that the next free
/// slot goes to the request that earns most by it. All times are passed in.
class ServiceBalancer {
public:
  /// \param Gate Shared by all services; outlives this.
  explicit ServiceBalancer(RegionShiftLimiter &Gate) : Gate_(Gate) {}

  /// Takes over the servers that may be used. Attempts at others go on.
  void setServers(const std::vector<BackendServerConfig> &Servers);

  /// A request wants a server.
  void submit(WaitingRequest Request) {
    Waiting_.push_back(std::move(Request));
  }

  /// A request that waits is not wanted any more.
  /// \return Whether it waited.
  bool cancelWaiting(FlowIndex Flow);

  /// An attempt that step() started has ended.
  void endAttempt(const EndedAttempt &Ended, Time Now);

  /// A server was found to be cold for longer than it told.
  void extendColdPhase(const std::string &Server, Time Until);

  /// \return What to do now.
  std::vector<BalancerAction> step(Time Now);

  /// \return When step() is due again, if nothing else happens.
  Time getNextWake(Time Now) const;

  size_t getWaiting() const { return Waiting_.size(); }
  unsigned getInFlight() const;

  /// \return Servers that are cold, of those that may be given work.
  unsigned getColdServers(Time Now) const;
  const ServiceTimeHistory &getHistory() const { return History_; }

private:
  using ServerMap =
      absl::flat_hash_map<std::string, std::unique_ptr<ServerState>>;

  /// A server that is considered for a request, and what it would cost.
  struct Candidate {
    ServerState *Server_ = nullptr; ///< Server, or null.
    Duration Wait_{0};              ///< Until it has a free slot.
    Duration Finish_{0};            ///< Predicted time until the answer.
    Duration Cost_{0};              ///< Finish_ and what else counts.
    unsigned PreferenceRank_ = 0;   ///< See Home.
  };

  /// A server that an object may be kept at. Each object has a few in each
  /// zone, the same on all VMs, so that its requests find it warm.
  struct PreferredServer {
    ServerState *Server_ = nullptr; ///< Server.
    unsigned Rank_ = 0;             ///< 0 for the first in its zone.
  };
  using PreferredServers = std::vector<PreferredServer>;

  /// Requests that wait on this VM, by the server that they wait for.
  using Plan = absl::flat_hash_map<const ServerState *, unsigned>;

  ServiceTimeEstimate getServiceTime(const WaitingRequest &Request) const;
  double getPriority(const WaitingRequest &Request, Time Now) const;
  void sortWaiting(Time Now);
  const PreferredServers &getPreferredServers(uint64_t Key);
  double getHitProbability(const PreferredServer &Where, uint64_t Key) const;
  Candidate evaluateServer(const WaitingRequest &Request,
                           const PreferredServer &Where,
                           const ServiceTimeEstimate &Work, unsigned Planned,
                           Time Now) const;
  static bool isCheaper(const Candidate &Next, const Candidate &Known);
  bool shouldWarmFirstServer(const WaitingRequest &Request,
                             const Candidate &Home, const Candidate &Best,
                             Time Now);
  Candidate chooseServer(const WaitingRequest &Request, const Plan &Planned,
                         Time Now);
  bool hasServer(const WaitingRequest &Request) const;
  std::optional<RefuseRequest> checkRefusal(const WaitingRequest &Request,
                                            const Candidate &Best,
                                            Time Now) const;
  void startAttempt(const WaitingRequest &Request, const Candidate &Where,
                    Time Now, std::vector<BalancerAction> &Out);
  void reportSuspects(Time Now, std::vector<BalancerAction> &Out);

  RegionShiftLimiter &Gate_;          ///< Bounds moves to other regions.
  ServerMap Servers_;                 ///< By instance.
  std::vector<ServerState *> Usable_; ///< Those that may be given work.
  absl::flat_hash_map<uint64_t, PreferredServers>
      PreferredServers_;                ///< By object, until the
                                        ///< servers change.
  PreferredServers AllServers_;         ///< For requests without an object.
  double FirstServerHitRatio_ = 0.5;    ///< Share of objects not sent from here
                                        ///< that a first home had warm.
  unsigned BypassedFirstServer_ = 0;    ///< Requests served away from an idle
                                        ///< first home in this zone.
  std::vector<WaitingRequest> Waiting_; ///< Not placed.
  ServiceTimeHistory History_;          ///< Lengths of work by route.
};

} // namespace cranberry

#endif
