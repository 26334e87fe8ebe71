/// \file client_flow_type.h A client's request on its way to an answer.
#ifndef CRANBERRY_STEERING_CLIENT_FLOW_TYPE_H
#define CRANBERRY_STEERING_CLIENT_FLOW_TYPE_H

#include "net/connection_pool_base.h"
#include "net/ingress_server_base.h"
#include "request/repeat_budget_base.h"
#include "request/service_balancer_base.h"
#include "version/routing_type.h"
#include "version/server_record_type.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace cranberry {

/// A service's decisions and what is needed to carry them out.
struct ServicePool {
  explicit ServicePool(RegionShiftLimiter &Gate) : Balancer_(Gate) {}

  std::string Name_;                                       ///< Service.
  ServiceBalancer Balancer_;                               ///< Decides.
  RepeatBudget RetryBudget_;                               ///< Bounds repeats.
  absl::flat_hash_map<std::string, ServerRecord> Servers_; ///< By instance.
  std::unique_ptr<boost::asio::steady_timer> StepTimer_;   ///< Next step.
  Time NextStepAt_ = Time::max();                          ///< When it is due.
  bool IsStepPosted_ = false; ///< A step is queued.
};

/// An attempt under way.
struct InFlightAttempt {
  StartAttempt Start_;   ///< As the balancer decided.
  Time SentAt_;          ///< When it was sent.
  AttemptHandle Handle_; ///< To cancel it by.
};

/// A client's request that has not been answered.
struct ClientFlow {
  FlowIndex Index_;                       ///< Its number.
  IngressExchangePtr Exchange_;           ///< Where the answer goes.
  RoutingConfigPtr Config_;               ///< Version that it is handled by.
  const RouteConfig *Route_ = nullptr;    ///< Route in that version.
  ServicePool *Pool_ = nullptr;           ///< Service.
  std::string Id_;                        ///< Client's id of it.
  WaitingRequest Request_;                ///< What the balancer knows of it.
  std::vector<InFlightAttempt> Attempts_; ///< Under way.
  unsigned ServerCount_ = 0;              ///< Servers that it was sent to.
  Duration QueueTime_{0};   ///< From its arrival to its first start.
  bool IsQueued_ = false;   ///< At the balancer.
  bool MayHaveRun_ = false; ///< An attempt ended as unknown.
  std::string LastServer_;  ///< Of the last attempt.
  std::unique_ptr<ResponseMessage> FailureResponse_; ///< Server's own failure.
  std::unique_ptr<boost::asio::steady_timer> DeadlineTimer_; ///< Its deadline.
};

} // namespace cranberry

#endif
