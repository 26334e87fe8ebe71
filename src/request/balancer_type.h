/// \file balancer_type.h Inputs and actions of the service balancer.
#ifndef CRANBERRY_REQUEST_BALANCER_TYPE_H
#define CRANBERRY_REQUEST_BALANCER_TYPE_H

#include "core/rate_limit_type.h"
#include "core/strong_index_type.h"
#include "core/time_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberry {

/// Identifies a client request on this entry VM.
using FlowIndex = StrongIndex<struct FlowTag, uint64_t>;

/// Location of a backend server relative to this entry VM.
enum class Proximity : uint8_t {
  SameZone,    ///< In the availability zone of this entry VM.
  SameRegion,  ///< In another availability zone of the same region.
  OtherRegion, ///< In another region.
};

/// Log names of Proximity, in the order of the enum.
inline constexpr const char *ProximityNames[] = {"zone", "region", "far"};

/// Configuration of a backend server that accepts requests.
struct BackendServerConfig {
  std::string Id_;                            ///< Instance id.
  std::string Zone_;                          ///< Its availability zone.
  std::string Region_;                        ///< Region of that zone.
  Proximity Proximity_ = Proximity::SameZone; ///< Relative location.
  Duration RoundTrip_{0};                     ///< Network round-trip time.
  unsigned Slots_ = 1;       ///< Requests that it runs concurrently.
  Time ColdUntil_;           ///< End of the cold start.
  double ColdStartRate_ = 0; ///< Starts per second by this VM while it is cold.
  Time ColdStartsFrom_;      ///< Earliest start of a request while it is cold.
  int64_t BornMs_ = 0;       ///< Distinguishes restarts under the same id.
};

/// A queued request that has no server yet.
struct WaitingRequest {
  FlowIndex Flow_;     ///< Client request.
  uint64_t Route_ = 0; ///< Groups requests of similar service time.
  uint64_t Key_ = 0;   ///< Hash of the requested object; 0 for none.
  Time Arrived_;       ///< Arrival at this entry VM.
  Time ObjectiveAt_;   ///< Arrival plus the latency objective.
  Time Deadline_;      ///< Time after which no response is useful.
  double Weight_ = 1;  ///< Value of a response within the objective.
  /// Factor on the priority in the queue, below 1 if others have a right to go
  /// first.
  double FairFactor_ = 1;
  std::vector<std::string> HomeRegions_; ///< Allowed regions; empty for any.
  std::vector<std::string> ExcludedServers_; ///< Servers to exclude.
};

/// Load that a server reports with a response.
struct LoadReport {
  unsigned Running_ = 0;    ///< Requests that are running.
  unsigned Queued_ = 0;     ///< Requests in the server's own queue.
  double Interference_ = 1; ///< Current service time relative to the usual.
};

/// Outcome of an attempt, as far as server selection is concerned.
enum class ServerAttemptOutcome : uint8_t {
  Served,      ///< The server responded.
  Failed,      ///< The server ran the request and returned an error.
  Refused,     ///< The server did not run the request.
  Lost,        ///< No usable response arrived.
  Unreachable, ///< No connection could be made.
  Withdrawn,   ///< The attempt was cancelled.
};

/// Log names of the outcomes, in the order of the enum.
inline constexpr const char *ServerAttemptOutcomeNames[] = {
    "served", "failed", "refused", "lost", "unreachable", "withdrawn"};

/// Describes an attempt that has ended.
struct EndedAttempt {
  FlowIndex Flow_;        ///< Client request.
  uint64_t Route_ = 0;    ///< Groups requests of similar service time.
  Duration Objective_{0}; ///< Latency objective of the route.
  std::string Server_;    ///< Instance id.
  /// Outcome of the attempt.
  ServerAttemptOutcome Outcome_ = ServerAttemptOutcome::Lost;
  Duration Ran_{0};                ///< Time from send to end.
  std::optional<LoadReport> Load_; ///< Load report in the response, if any.
  /// Time for which the server wants no more requests, if it named one.
  std::optional<Duration> RetryAfter_;
};

/// Use of a server that limits its request rate.
struct RateUse {
  std::string Server_;  ///< Instance id.
  double Limit_ = 0;    ///< Requests per second from all entry VMs.
  double Share_ = 0;    ///< Part of it that this VM may use.
  unsigned Starts_ = 0; ///< This VM's attempts within RecentStarts::Window.
};

/// Need of this VM for the request rate of a server.
struct RateDemand {
  std::string Server_;   ///< Instance id.
  std::string Zone_;     ///< Availability zone of the server.
  std::string Region_;   ///< Region of that zone.
  NamedRateLimit Limit_; ///< Limit that this VM knows.
  double PerSecond_ = 0; ///< Starts per second.
  bool IsInUse_ = false; ///< Whether this VM has used or needed the server.
};

/// Sends a request to a server.
struct StartAttempt {
  FlowIndex Flow_;      ///< Client request.
  std::string Server_;  ///< Instance id.
  Proximity Proximity_; ///< Relative location of the server.
  unsigned Queue_;      ///< Number of queued requests, for the log.
  double Busy_;         ///< Estimated load of the server, for the log.
  Duration LoadAge_;    ///< Age of its last load report, for the log.
  Duration Expected_;   ///< Predicted time until the response.
};

/// Reason for refusing a request.
enum class RefusalCause : uint8_t {
  NoServer, ///< No server is allowed to run it.
  NoRoom,   ///< The predicted response would be too late.
};

/// Log names of RefusalCause, in the order of the enum.
inline constexpr const char *RefusalCauseNames[] = {"no-server", "no-room"};

/// Refuses a request that was not sent to any server.
struct RefuseRequest {
  FlowIndex Flow_;        ///< Client request.
  RefusalCause Cause_;    ///< Reason, for the response and the log.
  Duration RetryAfter_;   ///< Delay after which a retry may succeed.
  unsigned Queue_;        ///< Number of queued requests, for the log.
  Duration Predicted_{0}; ///< Predicted time until the response, for the log.
};

/// Reports that the server of an attempt in flight stopped responding.
struct SuspectAttempt {
  FlowIndex Flow_;     ///< Client request.
  std::string Server_; ///< Instance id.
};

using BalancerAction =
    std::variant<StartAttempt, RefuseRequest, SuspectAttempt>;

} // namespace cranberry

#endif
