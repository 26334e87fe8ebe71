/// \file balancer_type.h What a service's balancer is told and what it decides.
#ifndef CRANBERRY_REQUEST_BALANCER_TYPE_H
#define CRANBERRY_REQUEST_BALANCER_TYPE_H

#include "core/strong_index_type.h"
#include "core/time_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranberry {

/// A client's request on this entry VM.
using FlowIndex = StrongIndex<struct FlowTag, uint64_t>;

/// Where a backend server is, seen from this entry VM.
enum class Proximity : uint8_t {
  SameZone,    ///< In the availability zone of this entry VM.
  SameRegion,  ///< In another availability zone of its region.
  OtherRegion, ///< In another region.
};

/// Names of proximities, in the order of the enum.
inline constexpr const char *ProximityNames[] = {"zone", "region", "far"};

/// A backend server that may be given work.
struct BackendServerConfig {
  std::string Id_;                            ///< Instance.
  std::string Zone_;                          ///< Availability zone.
  std::string Region_;                        ///< Region.
  Proximity Proximity_ = Proximity::SameZone; ///< Where it is.
  Duration RoundTrip_{0};                     ///< Way there and back.
  unsigned Slots_ = 1;       ///< Concurrent requests that it runs.
  Time ColdUntil_;           ///< End of its cold phase.
  double ColdStartRate_ = 0; ///< This VM's starts a second while it is cold.
  Time ColdStartsFrom_;      ///< Nothing starts at it before while it is cold.
  int64_t BornMs_ = 0;       ///< Tells restarts under the same id.
};

/// A request that waits for a server.
struct WaitingRequest {
  FlowIndex Flow_;                       ///< Client's request.
  uint64_t Route_ = 0;                   ///< Groups requests of similar length.
  uint64_t Key_ = 0;                     ///< Hash of its object; 0 for none.
  Time Arrived_;                         ///< When it reached this entry VM.
  Time ObjectiveAt_;                     ///< End of its latency objective.
  Time Deadline_;                        ///< When its answer is of no more use.
  double Weight_ = 1;                    ///< Worth of an answer in time.
  std::vector<std::string> HomeRegions_; ///< Regions; empty for any.
  std::vector<std::string> ExcludedServers_; ///< Servers not to be used again.
};

/// What a server told of its load.
struct LoadReport {
  unsigned Running_ = 0;    ///< Requests at work.
  unsigned Queued_ = 0;     ///< Requests that wait in the server.
  double Interference_ = 1; ///< Length of work now, relative to the usual.
};

/// How an attempt ended, as far as placing is concerned.
enum class ServerAttemptOutcome : uint8_t {
  Served,      ///< It answered.
  Failed,      ///< It ran the request and failed it.
  Refused,     ///< It did not run the request.
  Lost,        ///< No usable response came.
  Unreachable, ///< No connection could be made.
  Withdrawn,   ///< The attempt was cancelled.
};

/// Names of verdicts, in the order of the enum.
inline constexpr const char *ServerAttemptOutcomeNames[] = {
    "served", "failed", "refused", "lost", "unreachable", "withdrawn"};

/// An attempt has ended.
struct EndedAttempt {
  FlowIndex Flow_;        ///< Client's request.
  uint64_t Route_ = 0;    ///< Groups requests of similar length.
  Duration Objective_{0}; ///< Latency objective of the route.
  std::string Server_;    ///< Instance.
  ServerAttemptOutcome Outcome_ = ServerAttemptOutcome::Lost; ///< How it ended.
  Duration Ran_{0};                ///< From sending to the end.
  std::optional<LoadReport> Load_; ///< What the server told, if it did.
};

/// Sends a request to a server.
struct StartAttempt {
  FlowIndex Flow_;      ///< Client's request.
  std::string Server_;  ///< Instance.
  Proximity Proximity_; ///< Where it is.
  unsigned Queue_;      ///< Requests that waited, for the log.
  double Busy_;         ///< Server's estimated load, for the log.
  Duration LoadAge_;    ///< Age of its last load report, for the log.
  Duration Expected_;   ///< Predicted time until the answer.
};

/// Why a request is refused.
enum class RefusalCause : uint8_t {
  NoServer, ///< No server may take it.
  NoRoom,   ///< It would not be answered in time.
};

/// Names of causes, in the order of the enum.
inline constexpr const char *RefusalCauseNames[] = {"no-server", "no-room"};

/// Gives a request up before it was sent.
struct RefuseRequest {
  FlowIndex Flow_;        ///< Client's request.
  RefusalCause Cause_;    ///< Cause.
  Duration RetryAfter_;   ///< When there may be room.
  unsigned Queue_;        ///< Requests that waited, for the log.
  Duration Predicted_{0}; ///< Predicted time until an answer, for the log.
};

/// The server of a request under way has gone silent.
struct SuspectAttempt {
  FlowIndex Flow_;     ///< Client's request.
  std::string Server_; ///< Instance.
};

using BalancerAction =
    std::variant<StartAttempt, RefuseRequest, SuspectAttempt>;

} // namespace cranberry

#endif
