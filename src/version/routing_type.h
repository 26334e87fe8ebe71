/// \file routing_type.h Routes, backend services and client limits.
#ifndef CRANBERRY_VERSION_ROUTING_TYPE_H
#define CRANBERRY_VERSION_ROUTING_TYPE_H

#include "core/result_type.h"
#include "core/time_type.h"
#include "version/object_type.h"
#include "version/workspace_type.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberry {

/// A service that receives a share of a route's requests.
struct WeightedService {
  std::string Service_; ///< Name of the service.
  double Weight_ = 1;   ///< Weight relative to the route's other services.
};

/// Handling of the requests for one host and path prefix.
struct RouteConfig {
  std::string Name_;             ///< Unique name.
  std::string Host_;             ///< Host name, in lower case.
  std::string PathPrefix_;       ///< Path prefix; starts and ends with '/'.
  bool IsIdempotent_ = false;    ///< Whether requests may run more than once.
  Duration Timeout_{0};          ///< Time limit for the response.
  Duration LatencyObjective_{0}; ///< Latency objective of a request.
  unsigned Priority_ = 0;        ///< Priority; 0 is the highest.
  unsigned MaxServers_ = 1;      ///< Maximum servers that a request is sent to.
  bool IsAnonymous_ = false;     ///< Whether requests need no API key.
  bool HasAffinity_ = false; ///< Whether an affinity key selects the server.
  std::vector<WeightedService>
      TrafficSplit_; ///< Services of the route; at least one.
  std::vector<std::string> HomeRegions_; ///< Allowed regions; empty for all.
};

/// Settings that apply to all servers of a service.
struct BackendServiceConfig {
  std::string Name_;             ///< Unique name.
  std::string HealthPath_;       ///< URL path of the health check.
  unsigned ConnectionLimit_ = 0; ///< Maximum connections per server.
  Duration ColdDuration_{0};     ///< Length of the cold phase after a start.
  double ColdRate_ = 0; ///< Requests per second that a cold server can run.
};

/// Limits on client requests and connections.
struct ClientLimits {
  size_t HeaderBytes_ = 16384; ///< Maximum size of a request header, in bytes.
  size_t BodyBytes_ = 64U << 20; ///< Maximum size of a request body, in bytes.
  Duration HeaderTimeout_ =
      seconds(3); ///< Time limit from the first to the last byte of a header.
  Duration IdleTimeout_ = seconds(15); ///< Time limit between requests.
};

/// One version of the routing configuration. Immutable once built.
struct RoutingConfig {
  uint64_t Version_ = 0;            ///< Version number set by the operator.
  Revision Revision_ = 0;           ///< Revision in the store.
  std::vector<RouteConfig> Routes_; ///< Routes; RouteTable holds their indices.
  std::vector<BackendServiceConfig> Services_; ///< Backend services.
  ClientLimits Limits_; ///< Limits that apply to all clients.
  /// Whether requests need API keys. Also set if no workspace is valid.
  bool HasWorkspaces_ = false;
  std::vector<WorkspaceConfig> Workspaces_; ///< Valid workspaces.
  /// Workspaces that were left out, with the reasons.
  std::vector<Reason> RefusedWorkspaces_;
};

using RoutingConfigPtr = std::shared_ptr<const RoutingConfig>;

} // namespace cranberry

#endif
