/// \file routing_type.h Routes, services and limits in one version.
#ifndef CRANBERRY_VERSION_ROUTING_TYPE_H
#define CRANBERRY_VERSION_ROUTING_TYPE_H

#include "core/time_type.h"
#include "version/object_type.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberry {

/// A service that gets a share of a route's requests.
struct WeightedService {
  std::string Service_; ///< Service.
  double Weight_ = 1;   ///< Share, relative to the route's other parts.
};

/// Requests of one host under one path prefix.
struct RouteConfig {
  std::string Name_;             ///< Name, unique.
  std::string Host_;             ///< Host, in lower case.
  std::string PathPrefix_;       ///< Path prefix; begins and ends with '/'.
  bool IsIdempotent_ = false;    ///< Whether a request may run twice.
  Duration Timeout_{0};          ///< Longest wait for the answer.
  Duration LatencyObjective_{0}; ///< Latency objective.
  unsigned Priority_ = 0;        ///< Rank; 0 is the most important.
  unsigned MaxServers_ = 1;      ///< Most servers that one request is sent to.
  bool HasAffinity_ = false;     ///< Whether servers keep objects warm.
  std::vector<WeightedService> TrafficSplit_; ///< At least one.
  std::vector<std::string> HomeRegions_; ///< Only here; empty for anywhere.
};

/// What servers of a service have in common.
struct BackendServiceConfig {
  std::string Name_;             ///< Name, unique.
  std::string HealthPath_;       ///< Path of the health check.
  unsigned ConnectionLimit_ = 0; ///< Connections that one server accepts.
  Duration ColdDuration_{0};     ///< How long a server is cold after a start.
  double ColdRate_ = 0;          ///< Requests a second a cold server bears.
};

/// Bounds on what a client may send.
struct ClientLimits {
  size_t HeaderBytes_ = 16384;   ///< Largest head of a request.
  size_t BodyBytes_ = 64U << 20; ///< Largest body of a request.
  Duration HeaderTimeout_ =
      seconds(3);                      ///< From a head's first byte to its end.
  Duration IdleTimeout_ = seconds(15); ///< Between requests.
};

/// One version. Never changed after it is built.
struct RoutingConfig {
  uint64_t Version_ = 0;                       ///< Operator's version.
  Revision Revision_ = 0;                      ///< Store's revision of it.
  std::vector<RouteConfig> Routes_;            ///< Routes.
  std::vector<BackendServiceConfig> Services_; ///< Services.
  ClientLimits Limits_;                        ///< Limits.
};

using RoutingConfigPtr = std::shared_ptr<const RoutingConfig>;

} // namespace cranberry

#endif
