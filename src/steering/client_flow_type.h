/// \file client_flow_type.h State of client requests in flight.
#ifndef CRANBERRY_STEERING_CLIENT_FLOW_TYPE_H
#define CRANBERRY_STEERING_CLIENT_FLOW_TYPE_H

#include "net/connection_pool_base.h"
#include "net/ingress_server_base.h"
#include "request/repeat_budget_base.h"
#include "request/service_balancer_base.h"
#include "version/routing_type.h"
#include "version/server_record_type.h"
#include "workspace/client_key_type.h"
#include "workspace/fair_share_base.h"
#include "workspace/quota_type.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Balancer of a service and the state to carry out its decisions.
struct ServicePool {
  ServicePool(std::string Name, RegionShiftLimiter &Gate,
              boost::asio::io_context &Loop)
      : Name_(std::move(Name)), Balancer_(Gate),
        StepTimer_(std::make_unique<boost::asio::steady_timer>(Loop)) {}

  std::string Name_;         ///< Name of the service.
  ServiceBalancer Balancer_; ///< Places requests on servers.
  RepeatBudget RetryBudget_; ///< Limits retries.
  FairShare Fairness_;       ///< Divides room among workspaces.
  absl::flat_hash_map<std::string, ServerRecord> Servers_; ///< By instance id.
  std::unique_ptr<boost::asio::steady_timer>
      StepTimer_;                 ///< Next balancer step.
  Time NextStepAt_ = Time::max(); ///< Time of the next step.
  bool IsStepPosted_ = false;     ///< A step is queued on the loop.
};

/// An attempt in flight.
struct InFlightAttempt {
  StartAttempt Start_;   ///< Decision of the balancer.
  Time SentAt_;          ///< Time of sending.
  int64_t StartTimeMs_;  ///< Start of the server, as registered.
  AttemptHandle Handle_; ///< Cancels the attempt.
};

/// A client request without a response so far.
struct ClientFlow {
  FlowIndex Index_;                    ///< Number of the request.
  IngressExchangePtr Exchange_;        ///< Connection for the response.
  RoutingConfigPtr Config_;            ///< Configuration in force on arrival.
  const RouteConfig *Route_ = nullptr; ///< Route in that configuration.
  /// Workspace in that configuration; null for an anonymous request.
  const WorkspaceConfig *Workspace_ = nullptr;
  std::optional<QuotaTaken> Quota_;       ///< Token of the workspace's quota.
  ClientKey Key_;                         ///< Credentials of the request.
  ServicePool *Pool_ = nullptr;           ///< Pool of its service.
  std::string Id_;                        ///< Request id set by the client.
  WaitingRequest Request_;                ///< Balancer's view of the request.
  std::vector<InFlightAttempt> Attempts_; ///< Attempts in flight.
  unsigned ServerCount_ = 0;              ///< Number of servers it was sent to.
  Duration QueueTime_{0};        ///< From arrival to the first attempt.
  bool IsQueued_ = false;        ///< Whether the balancer queues it.
  bool MayHaveRun_ = false;      ///< Whether it may have been executed.
  bool IsCutByShutdown_ = false; ///< Whether the shutdown set its deadline.
  bool IsHomeless_ = false;      ///< Whether it may run nowhere any more.
  std::string LastServer_;       ///< Server of the last attempt.
  std::unique_ptr<ResponseMessage>
      FailureResponse_; ///< Failure response of a server.
  std::unique_ptr<boost::asio::steady_timer>
      DeadlineTimer_; ///< Deadline timer.

  /// \return Name of the workspace, or an empty string.
  std::string getWorkspaceName() const {
    return Workspace_ ? Workspace_->Name_ : std::string();
  }
};

} // namespace cranberry

#endif
