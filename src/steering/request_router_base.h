/// \file request_router_base.h Takes clients' requests to backend servers.
#ifndef CRANBERRY_STEERING_REQUEST_ROUTER_BASE_H
#define CRANBERRY_STEERING_REQUEST_ROUTER_BASE_H

#include "daemon/settings_type.h"
#include "observe/event_log_base.h"
#include "observe/metrics_base.h"
#include "request/part_picker_base.h"
#include "steering/attempt_outcome_func.h"
#include "steering/client_flow_type.h"
#include "steering/server_locator_base.h"
#include "version/route_table_base.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberry {

/// Carries out what the balancers decide, for all services of an entry VM.
class RequestRouter {
public:
  RequestRouter(boost::asio::io_context &Loop, const Settings &Config,
                EventLog &Log, Metrics &Counters);

  /// Takes over a version of the configuration.
  void setRouting(RoutingConfigPtr Config);

  /// Takes over the servers that may be given work and the entry VMs that may
  /// give it.
  void setServers(const ServerRegistry &Registry, const MemberList &Members);

  /// Takes over settings that have changed; those of servers come with the
  /// next setServers().
  void applySettings() {
    Gate_.setMaxGrowth(ShiftShare * Settings_.MaxRegionShift_);
  }

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

  /// Closes connections that are too old to be used again.
  void sweep() { Connections_.closeExpired(getNow()); }

  /// Brings the gauges up to date.
  void reportGauges();

private:
  /// Share of the bound on moves between regions that one VM uses; the rest is
  /// for chance, as each sees a part of the region's requests.
  static constexpr double ShiftShare = 0.85;

  ServicePool &getPool(const std::string &Service);
  void reject(const IngressExchangePtr &Exchange, const std::string &Id,
              ResultCode Code);
  std::string pickService(const RouteConfig &Route);
  std::unique_ptr<ClientFlow> makeFlow(const IngressExchangePtr &Exchange,
                                       const RouteConfig &Route,
                                       const platform::ClientRequestInfo &Info);
  void submit(ClientFlow &Flow);
  void scheduleStep(ServicePool &Pool);
  void scheduleWake(ServicePool &Pool);
  void step(ServicePool &Pool);
  void perform(ServicePool &Pool, const StartAttempt &Start);
  void perform(ServicePool &Pool, const RefuseRequest &Refuse);
  void perform(ServicePool &Pool, const SuspectAttempt &Suspect);
  AttemptSpec makeSpec(const ClientFlow &Flow,
                       const ServerRecord &Server) const;
  void endAttempt(FlowIndex Index, const std::string &Server,
                  AttemptResult Result);
  void noteEnd(ClientFlow &Flow, const OpenAttempt &Attempt,
               const AttemptResult &Result,
               const platform::ServerResponseInfo &Info,
               AttemptOutcome Outcome);
  bool tryRepeat(ClientFlow &Flow, AttemptOutcome Outcome);
  void decideEnd(ClientFlow &Flow, AttemptOutcome Outcome,
                 AttemptResult Result);
  void expire(FlowIndex Index);
  void abandon(FlowIndex Index);
  void giveUp(ClientFlow &Flow, ResultCode IfNotRun, ResultCode IfUnknown,
              Duration RetryAfter);
  void deliver(ClientFlow &Flow, ResponseMessage Response);
  void close(ClientFlow &Flow, ResultCode Code, ServerVerdict Verdict);

  boost::asio::io_context &Loop_; ///< Loop.
  const Settings &Settings_;      ///< Settings.
  EventLog &Log_;                 ///< Log.
  Metrics &Metrics_;              ///< Counters.
  ServerLocator Locator_;         ///< Where servers are.
  ConnectionPool Connections_;    ///< To servers.
  ShiftGate Gate_;                ///< Bounds moves between regions.
  RoutingConfigPtr Config_;       ///< In force; null before the first.
  RouteTable Routes_;             ///< Its routes.
  std::map<std::string, std::unique_ptr<ServicePool>> Pools_; ///< By service.
  std::map<std::string, PartPicker> Pickers_;                 ///< By route.
  absl::flat_hash_map<uint64_t, std::unique_ptr<ClientFlow>>
      Flows_;                                              ///< Not answered.
  std::function<void(const std::string &)> OnMisdirected_; ///< See setter.
  Time End_ = Time::max();                                 ///< See setEnd().
  uint64_t NextFlow_ = 1; ///< Number of the next flow.
};

} // namespace cranberry

#endif
