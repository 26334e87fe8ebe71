/// \file request_router_base.h Routes client requests to backend servers.
#ifndef CRANBERRY_STEERING_REQUEST_ROUTER_BASE_H
#define CRANBERRY_STEERING_REQUEST_ROUTER_BASE_H

#include "daemon/settings_type.h"
#include "observe/event_log_base.h"
#include "observe/metrics_base.h"
#include "process/region_demand_base.h"
#include "request/weighted_round_robin_base.h"
#include "steering/attempt_outcome_func.h"
#include "steering/client_flow_type.h"
#include "steering/server_locator_base.h"
#include "steering/vm_load_monitor_base.h"
#include "steering/workspace_admission_base.h"
#include "version/route_table_base.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberry {

/// Whether this VM would know of a newer configuration than the one in force.
struct ConfigCurrency {
  bool IsCurrent_ = true; ///< False if there may be a newer one.
  Duration Age_{0};       ///< Time since the store's state was last read.
  uint64_t Newest_ = 0;   ///< Newest version that any VM has reported.
  /// Whether a newer one has been in force on other VMs for too long.
  bool IsOutdated_ = false;
  bool AreHomesConfirmed_ = true; ///< Whether home regions still hold.
};

/// Numbers of attempts for requests that have home regions.
struct HomedAttemptCounts {
  uint64_t Current_ = 0; ///< By the newest version known to any VM.
  /// By an older version, whose homes may no longer hold.
  uint64_t Outdated_ = 0;
};

/// Routes client requests and carries out the decisions of the balancers, for
/// all services of an entry VM.
class RequestRouter {
public:
  RequestRouter(boost::asio::io_context &Loop, const Settings &Config,
                EventLog &Log, Metrics &Counters);

  /// Applies a version of the configuration.
  void setRouting(RoutingConfigPtr Config);

  /// Applies the list of usable servers and of the entry VMs that send requests
  /// to them.
  void setServers(const ServerRegistry &Registry, const MemberList &Members);

  /// Applies changed settings. Settings of servers take effect with the next
  /// call of setServers().
  void applySettings();

  /// Routes a client's request and responds to it, now or later.
  void handleRequest(const IngressExchangePtr &Exchange);

  /// Records that the start \p StartTimeMs of a server must get no more
  /// requests.
  /// \return Whether this is news.
  using LeavingHandler =
      std::function<bool(const std::string &Server, int64_t StartTimeMs)>;

  /// \param Action Called when a server says that it leaves, or when another
  /// one responds at its address.
  void setOnLeaving(LeavingHandler Action) { OnLeaving_ = std::move(Action); }

  /// \param Query Tells whether this VM would know of a newer configuration.
  /// If not, what the one in force doesn't allow is refused only for now.
  void setConfigCurrencyQuery(std::function<ConfigCurrency()> Query) {
    GetCurrency_ = std::move(Query);
  }

  /// Records a failure, after which traffic may move to other regions.
  void recordFailure() { ShiftGate_.recordFailure(getNow()); }

  /// Lifts the limit on shifts between regions from the first request on, as
  /// this process has restarted.
  void liftShiftLimit() { ShiftGate_.liftFromFirstRequest(); }

  /// \return Decisions on workspaces.
  WorkspaceAdmission &getWorkspaces() { return Workspaces_; }

  /// \return Counters of the traffic since the start.
  TrafficCounters getTraffic() const { return {NextFlow_ - 1, SentBytes_}; }

  /// Sets the time by which every request must have its response. From now on,
  /// requests with a later deadline are rejected; those that are open already
  /// have until \p End.
  void setShutdownDeadline(Time End);

  /// \return Number of requests without a response so far.
  size_t getOpenFlowCount() const { return Flows_.size(); }

  /// Closes connections that were idle for too long to be reused.
  void closeIdleConnections() { Connections_.closeExpired(getNow()); }

  /// \param Action Called when a server has named another limit on its request
  /// rate than before.
  void setOnRateLimit(std::function<void()> Action) {
    OnRateLimit_ = std::move(Action);
  }

  /// \return Demands for the servers that limit their request rate, since the
  /// previous call.
  std::vector<RateDemand> takeRateDemands();

  /// Sets this VM's share of a server's request rate.
  /// \param Named Limit that the share is part of.
  void setRateShare(const std::string &Server, const NamedRateLimit &Named,
                    double Share);

  /// \return Recent maximum of the number of entry VMs that may serve.
  unsigned getVmCount() const { return Locator_.getVmCount(); }

  /// Logs changes of the divisions of requests among regions, and this VM's use
  /// of servers that limit their request rate, which adds up over all VMs.
  void logDecisions();

  /// Divides the requests by the demand that the entry VMs report.
  /// \param HeartbeatRound Time in which each VM hears from all others.
  /// \return Demand of this VM's clients.
  std::vector<ServiceDemand> exchangeDemand(const MemberList &Vms,
                                            Duration HeartbeatRound);

  /// Updates the gauges of the metrics.
  void updateGauges();

private:
  /// Share of the limit on traffic shifts between regions that one VM uses. The
  /// rest is a margin for variance, as each VM sees only a part of the region's
  /// requests.
  static constexpr double ShiftLimitShare = 0.85;

  /// Share of that limit that a change of a division uses. The rest is left for
  /// requests that avoid queues.
  static constexpr double DivisionShiftShare = 0.25;

  void applyDivisionSettings(ServicePool &Pool);
  void logDivision(ServicePool &Pool);
  void logRateUse();
  ServicePool &getPool(const std::string &Service);
  void reject(const IngressExchangePtr &Exchange, const std::string &Id,
              ResultCode Code, const ClientKey &Key = {});
  ConfigCurrency getCurrency() const {
    return GetCurrency_ ? GetCurrency_() : ConfigCurrency();
  }
  void refuseWithdrawnKeys();
  void updateHomes();
  bool applyHomes(ClientFlow &Flow, AllowedRegions Homes);
  std::string pickService(const RouteConfig &Route);
  std::unique_ptr<ClientFlow> makeFlow(const IngressExchangePtr &Exchange,
                                       const RouteConfig &Route,
                                       const WorkspaceConfig *Workspace,
                                       const platform::ClientRequestInfo &Info);
  void admit(ClientFlow &Flow);
  bool settleHeld(FlowIndex Index, bool IsLast);
  bool applyQuotaDecision(ClientFlow &Flow, const QuotaDecision &Decision);
  bool canRepeat(const ClientFlow &Flow, AttemptOutcome Outcome);
  void giveBackQuota(const ClientFlow &Flow, ResultCode Code);
  Duration getExpectedWork(const ClientFlow &Flow) const;
  void rankByFairShare(ClientFlow &Flow);
  void submit(ClientFlow &Flow);
  void scheduleStep(ServicePool &Pool);
  void scheduleTimedStep(ServicePool &Pool);
  void runStep(ServicePool &Pool);
  void performAction(ServicePool &Pool, const StartAttempt &Start);
  void performAction(ServicePool &Pool, const RefuseRequest &Refuse);
  void performAction(ServicePool &Pool, const SuspectAttempt &Suspect);
  AttemptSpec makeAttemptSpec(const ClientFlow &Flow,
                              const ServerRecord &Server) const;
  void onAttemptEnd(FlowIndex Index, const std::string &Server,
                    AttemptResult Result);
  void recordAttemptEnd(ClientFlow &Flow, const InFlightAttempt &Attempt,
                        const AttemptResult &Result,
                        const platform::ServerResponseInfo &Info,
                        AttemptOutcome Outcome);
  void checkLeaving(const ClientFlow &Flow, const InFlightAttempt &Attempt,
                    const AttemptResult &Result,
                    const platform::ServerResponseInfo &Info);
  bool tryRetry(ClientFlow &Flow, AttemptOutcome Outcome);
  void handleOutcome(ClientFlow &Flow, AttemptOutcome Outcome,
                     AttemptResult Result);
  void startDeadlineTimer(ClientFlow &Flow);
  void shortenDeadline(ClientFlow &Flow, Time End);
  void onDeadline(FlowIndex Index);
  void onClientGone(FlowIndex Index);
  void sendFailure(ClientFlow &Flow, ResultCode IfNotRun, ResultCode IfUnknown,
                   Duration RetryAfter);
  void sendResponse(ClientFlow &Flow, ResponseMessage Response);
  void closeFlow(ClientFlow &Flow, ResultCode Code,
                 ServerAttemptOutcome Verdict);

  boost::asio::io_context &Loop_; ///< Event loop.
  const Settings &Settings_;      ///< Settings of this VM.
  EventLog &Log_;                 ///< Event log.
  Metrics &Metrics_;              ///< Metrics of the daemon.
  ServerLocator Locator_;         ///< Locations of servers.
  ConnectionPool Connections_;    ///< Connections to servers.
  RegionShiftLimiter ShiftGate_;  ///< Limits traffic shifts between regions.
  RoutingConfigPtr Config_;       ///< Active configuration; null until known.
  RouteTable Routes_;             ///< Routes of the configuration.
  WorkspaceAdmission Workspaces_; ///< Admits requests by workspace.
  std::map<std::string, std::unique_ptr<ServicePool>> Pools_; ///< By service.
  std::map<std::string, WeightedRoundRobin> Pickers_;         ///< By route.
  absl::flat_hash_map<uint64_t, std::unique_ptr<ClientFlow>>
      Flows_;                                   ///< Requests in flight.
  LeavingHandler OnLeaving_;                    ///< See the setter.
  std::function<ConfigCurrency()> GetCurrency_; ///< See the setter.
  std::function<void()> OnRateLimit_;           ///< See the setter.
  HomedAttemptCounts HomedAttempts_;            ///< Since the start.
  RegionDemand Demand_;                 ///< Demand of all entry VMs' clients.
  Time ShutdownDeadline_ = Time::max(); ///< Latest deadline during shutdown.
  uint64_t NextFlow_ = 1;               ///< Index of the next flow.
  uint64_t SentBytes_ = 0;              ///< See getTraffic().
};

} // namespace cranberry

#endif
