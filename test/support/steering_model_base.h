/// \file steering_model_base.h Simulated steering of one region in virtual
/// time.
#ifndef CRANBERRY_TEST_SUPPORT_STEERING_MODEL_BASE_H
#define CRANBERRY_TEST_SUPPORT_STEERING_MODEL_BASE_H

#include "request/service_balancer_base.h"
#include "test/support/server_model_base.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cranberry::test {

/// How requests are assigned to servers.
enum class SteeringPolicy : uint8_t {
  Balancer,      ///< The product's balancer; queues at the entry VM.
  LeastInFlight, ///< Fewest of the VM's own attempts in flight, own zone
                 ///< first; queues at the server.
  Random,        ///< Random server of the zone; queues at the server.
};

/// Names of policies, in the order of the enum.
inline constexpr const char *SteeringPolicyNames[] = {
    "balancer", "least-in-flight", "random"};

/// Parameters of a simulation.
struct SteeringModelPlan {
  SteeringPolicy Policy_ = SteeringPolicy::Balancer; ///< Policy under test.
  unsigned Zones_ = 3;            ///< Availability zones of the region.
  unsigned VmsPerZone_ = 1;       ///< Entry VMs of each zone.
  unsigned ServersPerZone_ = 4;   ///< Servers of each zone.
  ServerModelPlan Server_;        ///< Parameters of the servers.
  double Load_ = 0.9;             ///< Offered work, if cold, per slot.
  double Wave_ = 0.3;             ///< Relative amplitude of zone load.
  unsigned Objects_ = 55;         ///< Number of objects of each zone.
  double Skew_ = 0.2;             ///< Exponent of their popularity.
  bool AreObjectsShared_ = false; ///< Whether all zones request the same ones.
  double BurstFactor_ = 1;        ///< Load during the burst, relative to Load_.
  Duration BurstFrom_{0};         ///< Start of the burst, after the warm-up.
  Duration BurstLength_{0};       ///< Length of the burst.
  /// When all servers of the first zone become cold, after the warm-up.
  std::optional<Duration> ColdFrom_;
  Duration ColdLength_ = seconds(3); ///< Length of the cold phase.
  double ColdFactor_ = 2;            ///< Run time factor while cold.
  /// Starts per second at a cold server by each VM of its zone.
  double ColdStartRate_ = 0;
  /// When a part of the servers becomes slow, after the warm-up.
  std::optional<Duration> SlowFrom_;
  Duration SlowLength_ = seconds(3); ///< Length of the slowdown.
  double SlowFactor_ = 2;            ///< Run time factor while slow.
  unsigned SlowInterval_ = 6;        ///< One in this many servers becomes slow.
  Duration Objective_ = milliseconds(400); ///< Latency objective.
  /// Deadline from the arrival; open attempts are cut then.
  Duration Deadline_ = seconds(2);
  Duration WarmUp_ = seconds(5);  ///< Time before measuring.
  Duration Length_ = seconds(30); ///< Measured time.
  uint64_t Seed_ = 20261204;      ///< Seed of all draws.
};

/// Results of the requests that arrived after the warm-up.
struct SteeringModelReport {
  unsigned Offered_ = 0;    ///< Requests that arrived.
  unsigned InTime_ = 0;     ///< Answered within the objective.
  unsigned Late_ = 0;       ///< Answered after the objective.
  unsigned Refused_ = 0;    ///< Requests that were not run.
  unsigned Warm_ = 0;       ///< Requests run on a warm object.
  unsigned Cut_ = 0;        ///< Requests cut at their deadline.
  unsigned Repeats_ = 0;    ///< Attempts that servers refused.
  unsigned ColdStarts_ = 0; ///< Attempts at servers while they were cold.
  /// Offered and in time, by the second of the arrival.
  std::vector<std::pair<unsigned, unsigned>> BySecond_;
  std::vector<double> LatencyMs_; ///< Latency of responses, sorted.

  /// \return Latency in ms within which \p Share of the responses came; 0
  /// without responses.
  double getLatency(double Share) const;

  /// \return Share of the requests of seconds \p From to \p To that were
  /// answered within the objective.
  double getInTimeShare(size_t From, size_t To) const;
};

/// Simulates one service of one region with open-loop arrivals at the entry VMs
/// of each zone.
class SteeringModel {
public:
  explicit SteeringModel(const SteeringModelPlan &Plan);

  SteeringModelReport run();

private:
  struct Flow {
    size_t Vm_;              ///< Index of its entry VM.
    WaitingRequest Request_; ///< Request in the balancer's terms.
    Time Sent_;              ///< Start of its last attempt.
    bool IsMeasured_;        ///< Whether it arrived after the warm-up.
    size_t Server_ = 0;      ///< Server of its last attempt.
    uint64_t AtServer_ = 0;  ///< Number of that attempt there; 0 for none.
  };

  struct Vm {
    size_t Zone_; ///< Index of its availability zone.
    std::unique_ptr<ServiceBalancer> Balancer_; ///< Null for the baselines.
    std::vector<unsigned> InFlight_;            ///< Attempts by server.
  };

  std::vector<BackendServerConfig> makeServers(size_t Zone) const;
  void makeZoneCold();
  void addArrival(size_t Zone);
  void handleArrival(size_t Zone);
  void step(size_t Vm);
  void scheduleWake(size_t Vm);
  void start(uint64_t FlowId, size_t Server);
  void end(uint64_t FlowId, size_t Server,
           const ServerModel::Response &Response);
  void refuse(uint64_t FlowId);
  void cut(uint64_t FlowId);
  void recordSecond(const Flow &Open, bool IsInTime);
  size_t pickServer(const Vm &From);
  Duration getRoundTrip(size_t Zone, size_t Server) const;
  uint64_t drawKey(size_t Zone);

  SteeringModelPlan Plan_;                          ///< Parameters.
  VirtualTime Clock_;                               ///< Virtual time.
  std::mt19937_64 Random_;                          ///< Draws arrivals.
  std::discrete_distribution<unsigned> Popularity_; ///< Draws objects.
  RegionShiftLimiter ShiftLimiter_{1}; ///< Never limits: there is one region.
  std::vector<std::unique_ptr<ServerModel>> Servers_; ///< By index.
  std::vector<Vm> Vms_;                               ///< By index.
  std::map<uint64_t, Flow> Flows_; ///< Open requests by number.
  uint64_t NextFlow_ = 1;          ///< Number of the next request.
  Time Measured_;                  ///< End of the warm-up.
  Time End_;                       ///< End of the arrivals.
  Time ColdUntil_;                 ///< End of the first zone's cold phase.
  SteeringModelReport Report_;     ///< Results so far.
};

} // namespace cranberry::test

#endif
