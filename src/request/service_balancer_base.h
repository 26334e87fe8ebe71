/// \file service_balancer_base.h Places the requests of one service.
#ifndef CRANBERRY_REQUEST_SERVICE_BALANCER_BASE_H
#define CRANBERRY_REQUEST_SERVICE_BALANCER_BASE_H

#include "request/balanced_server_base.h"
#include "request/balancer_type.h"
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
  /// Takes over the servers that may be used. Attempts at others go on.
  void setServers(const std::vector<BalancedServer> &Servers, Time Now);

  /// A request wants a server.
  void submit(WaitingRequest Request) {
    Waiting_.push_back(std::move(Request));
  }

  /// A request that waits is not wanted any more.
  /// \return Whether it waited.
  bool withdraw(FlowIndex Flow);

  /// An attempt that step() started has ended.
  void endAttempt(const EndedAttempt &Ended, Time Now);

  /// A server was found to be cold for longer than it told.
  void noteCold(const std::string &Server, Time Until);

  /// \return What to do now.
  std::vector<BalancerAction> step(Time Now);

  /// \return When step() is due again, if nothing else happens.
  Time getNextWake(Time Now) const;

  size_t getWaiting() const { return Waiting_.size(); }
  unsigned getInFlight() const;
  const WorkHistory &getHistory() const { return History_; }

private:
  using ServerMap =
      absl::flat_hash_map<std::string, std::unique_ptr<ServerState>>;

  /// A server and what it would cost a request to go there.
  struct Candidate {
    ServerState *Server_ = nullptr; ///< Server, or null.
    Duration Finish_{0};            ///< Predicted time until the answer.
    Duration Cost_{0};              ///< Finish_ and what else counts.
  };

  /// Slots near this VM and the work that waits for them.
  struct Backlog {
    double Slots_ = 0;      ///< Slots of the zone, less others' use.
    Duration AheadWork_{0}; ///< Work of requests that wait before.
    unsigned Count_ = 0;    ///< Requests that wait before.
  };

  Duration getWork(const WaitingRequest &Request) const;
  double getRank(const WaitingRequest &Request, Time Now) const;
  void sortWaiting(Time Now);
  Backlog makeBacklog() const;
  static Duration getWait(const Backlog &Ahead, Duration Work);
  Candidate pick(const WaitingRequest &Request, Proximity Farthest,
                 Time Now) const;
  Candidate choose(const WaitingRequest &Request, const Backlog &Ahead,
                   Time Now) const;
  bool hasServer(const WaitingRequest &Request) const;
  std::optional<RefuseRequest> refuse(const WaitingRequest &Request,
                                      const Backlog &Ahead, Time Now) const;
  void start(const WaitingRequest &Request, const Candidate &Where, Time Now,
             std::vector<BalancerAction> &Out);
  void findSilent(Time Now, std::vector<BalancerAction> &Out);

  ServerMap Servers_;                   ///< By instance.
  std::vector<ServerState *> Usable_;   ///< Those that may be given work.
  std::vector<WaitingRequest> Waiting_; ///< Not placed.
  WorkHistory History_;                 ///< Lengths of work by route.
};

} // namespace cranberry

#endif
