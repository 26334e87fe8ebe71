/// \file request_router_base.h Takes clients' requests to backend servers.
#ifndef CRANBERRY_STEERING_REQUEST_ROUTER_BASE_H
#define CRANBERRY_STEERING_REQUEST_ROUTER_BASE_H

#include "core/event_log_base.h"
#include "daemon/settings_type.h"
#include "net/connection_pool_base.h"
#include "net/ingress_server_base.h"
#include "process/member_type.h"
#include "request/part_picker_base.h"
#include "request/repeat_budget_base.h"
#include "request/service_balancer_base.h"
#include "steering/attempt_outcome_func.h"
#include "version/route_table_base.h"
#include "version/server_registry_base.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberry {

/// Figures of the request path since the start.
struct RouterStats {
  uint64_t Requests_ = 0;  ///< Requests on known routes.
  uint64_t Delivered_ = 0; ///< Responses of servers passed on.
  uint64_t Refused_ = 0;   ///< Refused as not run.
  uint64_t Unknown_ = 0;   ///< Ended without a known outcome.
  uint64_t TimedOut_ = 0;  ///< Reached the route's timeout.
  uint64_t Gone_ = 0;      ///< Clients that left.
  uint64_t Unrouted_ = 0;  ///< No route, or no configuration.
  uint64_t Attempts_ = 0;  ///< Sent to servers.
  uint64_t Repeats_ = 0;   ///< Of these, to a further server.
};

/// Carries out what the balancers decide, for all services of an entry VM.
class RequestRouter {
public:
  RequestRouter(boost::asio::io_context &Loop, const Settings &Settings,
                EventLog &Log);

  /// Takes over a version of the configuration.
  void setRouting(RoutingConfigPtr Config);

  /// Takes over the servers that may be given work and the entry VMs that may
  /// give it.
  void setServers(const ServerRegistry &Registry, const MemberList &Members);

  /// Routes a client's request and answers it, now or later.
  void handle(const IngressExchangePtr &Exchange);

  /// \param Action Called when a server proves to be another one than the
  /// registry tells.
  void setOnMisdirected(std::function<void(const std::string &)> Action) {
    OnMisdirected_ = std::move(Action);
  }

  /// Something failed that requests may have to move away from.
  void noteFailure() { Gate_.noteFailure(getNow()); }

  /// The process ends then: what could last longer is refused at once.
  void setEnd(Time End) { End_ = End; }

  size_t getOpenFlows() const { return Flows_.size(); }
  const RouterStats &getStats() const { return Stats_; }
  const ConnectionPool &getConnections() const { return Connections_; }

  /// Closes connections that are too old to be used again.
  void sweep() { Connections_.sweep(getNow()); }

private:
  /// A service's decisions and what is needed to carry them out.
  struct ServicePool {
    explicit ServicePool(ShiftGate &Gate) : Balancer_(Gate) {}

    std::string Name_;         ///< Service.
    ServiceBalancer Balancer_; ///< Decides.
    RepeatBudget Budget_;      ///< Bounds repeats.
    absl::flat_hash_map<std::string, ServerRecord> Servers_; ///< By instance.
    std::unique_ptr<boost::asio::steady_timer> Wake_;        ///< Next step.
    Time WakeAt_ = Time::max(); ///< When it is due.
    bool IsStepPosted_ = false; ///< A step is queued.
  };

  /// An attempt under way.
  struct OpenAttempt {
    std::string Server_;    ///< Instance.
    Time Started_;          ///< When it was sent.
    AttemptHandle Handle_;  ///< To cancel it by.
    bool IsRepeat_ = false; ///< Whether another server was tried before.
  };

  /// A client's request that has not been answered.
  struct Flow {
    FlowIndex Index_;                    ///< Its number.
    IngressExchangePtr Exchange_;        ///< Where the answer goes.
    RoutingConfigPtr Config_;            ///< Version that it is handled by.
    const RouteConfig *Route_ = nullptr; ///< Route in that version.
    ServicePool *Pool_ = nullptr;        ///< Service.
    std::string Id_;                     ///< Client's id of it.
    WaitingRequest Request_;             ///< What the balancer knows of it.
    std::vector<OpenAttempt> Attempts_;  ///< Under way.
    unsigned Arrivals_ = 0;              ///< Servers that it was sent to.
    bool IsWaiting_ = false;             ///< At the balancer.
    bool MayHaveRun_ = false;            ///< An attempt ended as unknown.
    std::unique_ptr<ResponseMessage> Failure_; ///< Server's own failure.
    std::unique_ptr<boost::asio::steady_timer> Timer_; ///< Its deadline.
  };

  using FlowPtr = std::unique_ptr<Flow>;

  ServicePool &getPool(const std::string &Service);
  void answerError(const IngressExchangePtr &Exchange, unsigned Status);
  void submit(Flow &Open);
  void scheduleStep(ServicePool &Pool);
  void scheduleWake(ServicePool &Pool);
  void step(ServicePool &Pool);
  void perform(ServicePool &Pool, const StartAttempt &Start);
  void perform(ServicePool &Pool, const RefuseRequest &Refuse);
  void perform(ServicePool &Pool, const SuspectAttempt &Suspect);
  AttemptSpec makeSpec(const Flow &Open, const std::string &Server,
                       Proximity Where) const;
  void endAttempt(FlowIndex Index, const std::string &Server,
                  AttemptResult Result);
  void noteResponse(Flow &Open, const OpenAttempt &Attempt,
                    const AttemptResult &Result,
                    const platform::ServerResponseInfo &Info,
                    AttemptOutcome Outcome);
  bool tryRepeat(Flow &Open, AttemptOutcome Outcome);
  void decideEnd(Flow &Open, AttemptOutcome Outcome, AttemptResult Result);
  void expire(FlowIndex Index);
  void abandon(FlowIndex Index);
  void refuse(Flow &Open, Duration RetryAfter);
  void fail(Flow &Open, unsigned Status);
  void deliver(Flow &Open, ResponseMessage Response);
  void close(Flow &Open, ServerVerdict Verdict);
  Proximity getProximity(const std::string &Zone) const;
  Duration getRoundTrip(Proximity Where, const std::string &Region) const;
  void noteConnect(const ServerRecord &Server, Duration Took);
  const std::string &getRegion(const std::string &Zone) const;
  BalancedServer makeBalanced(const UsableServer &Server,
                              const MemberList &Members) const;

  boost::asio::io_context &Loop_; ///< Loop.
  const Settings &Settings_;      ///< Settings.
  EventLog &Log_;                 ///< Log.
  ConnectionPool Connections_;    ///< To servers.
  ShiftGate Gate_;                ///< Bounds moves between regions.
  RoutingConfigPtr Config_;       ///< In force; null before the first.
  RouteTable Routes_;             ///< Its routes.
  std::map<std::string, std::unique_ptr<ServicePool>> Pools_; ///< By service.
  std::map<std::string, PartPicker> Pickers_;                 ///< By route.
  absl::flat_hash_map<uint64_t, FlowPtr> Flows_;              ///< Not answered.
  std::map<std::string, Duration> RoundTrips_; ///< Measured, by region.
  std::function<void(const std::string &)> OnMisdirected_; ///< See setter.
  Time End_ = Time::max();                                 ///< See setEnd().
  uint64_t NextFlow_ = 1; ///< Number of the next flow.
  RouterStats Stats_;     ///< Figures.
};

} // namespace cranberry

#endif
