/// \file steering_model_base.h Entry VMs and servers of a region in virtual
/// time.
#ifndef CRANBERRY_TEST_SUPPORT_STEERING_MODEL_BASE_H
#define CRANBERRY_TEST_SUPPORT_STEERING_MODEL_BASE_H

#include "request/service_balancer_base.h"
#include "test/support/server_model_base.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cranberry::test {

/// How requests are given to servers.
enum class SteeringPolicy : uint8_t {
  Balancer,      ///< As the product does; waits at the entry VM.
  LeastInFlight, ///< Least of the VM's own in flight, nearest zone first;
                 ///< waits at the server.
  Random,        ///< Any server of the zone; waits at the server.
};

/// Names of policies, in the order of the enum.
inline constexpr const char *SteeringPolicyNames[] = {
    "balancer", "least-in-flight", "random"};

/// What is played.
struct SteeringModelPlan {
  SteeringPolicy Policy_ = SteeringPolicy::Balancer; ///< Policy.
  unsigned Zones_ = 3;          ///< Availability zones of the region.
  unsigned VmsPerZone_ = 1;     ///< Entry VMs of each.
  unsigned ServersPerZone_ = 4; ///< Servers of each.
  ServerModelPlan Server_;      ///< What they are like.
  double Load_ = 0.9;           ///< Work on cold objects, by all slots.
  double Wave_ = 0.3;           ///< Swing of each zone's load.
  unsigned Objects_ = 55;       ///< Objects of each zone's clients.
  double Skew_ = 0.2;           ///< Exponent of their popularity.
  Duration Objective_ = milliseconds(400); ///< Latency objective.
  Duration Deadline_ = seconds(2);         ///< When answers are of no use.
  Duration WarmUp_ = seconds(5);           ///< Not measured.
  Duration Length_ = seconds(30);          ///< Measured.
  uint64_t Seed_ = 20261204;               ///< Arrivals, objects, servers.
};

/// What came of it, of the requests that arrived after the warm-up.
struct SteeringModelReport {
  unsigned Offered_ = 0;          ///< Requests.
  unsigned InTime_ = 0;           ///< Answered within the objective.
  unsigned Late_ = 0;             ///< Answered later.
  unsigned Refused_ = 0;          ///< Not run.
  unsigned Warm_ = 0;             ///< Run on a warm object.
  unsigned Repeats_ = 0;          ///< Arrivals that servers refused.
  std::vector<double> LatencyMs_; ///< Of the answers, sorted.

  /// \return Latency that a share of the answers keeps, or 0.
  double getLatency(double Share) const;
};

/// Plays one service of one region: open arrivals at each zone's entry VMs.
class SteeringModel {
public:
  explicit SteeringModel(const SteeringModelPlan &Plan);

  SteeringModelReport run();

private:
  struct Flow {
    size_t Vm_;              ///< Entry VM.
    WaitingRequest Request_; ///< As the balancer sees it.
    Time Sent_;              ///< Start of its last attempt.
    bool IsMeasured_;        ///< Whether it arrived after the warm-up.
  };

  struct Vm {
    size_t Zone_;                               ///< Availability zone.
    std::unique_ptr<ServiceBalancer> Balancer_; ///< Null for the baselines.
    std::vector<unsigned> InFlight_;            ///< Own attempts, by server.
  };

  void addArrival(size_t Zone);
  void arrive(size_t Zone);
  void step(size_t Vm);
  void wake(size_t Vm);
  void start(uint64_t FlowId, size_t Server);
  void end(uint64_t FlowId, size_t Server, const ServerModel::Answer &Answer);
  void refuse(uint64_t FlowId);
  size_t pickServer(const Vm &From);
  Duration getWay(size_t Zone, size_t Server) const;
  uint64_t drawKey(size_t Zone);

  SteeringModelPlan Plan_;                          ///< Plan.
  VirtualTime Clock_;                               ///< Time.
  std::mt19937_64 Random_;                          ///< Arrivals and objects.
  std::discrete_distribution<unsigned> Popularity_; ///< Of objects.
  RegionShiftLimiter Gate_{1}; ///< Open: there is one region.
  std::vector<std::unique_ptr<ServerModel>> Servers_; ///< By index.
  std::vector<Vm> Vms_;                               ///< By index.
  std::map<uint64_t, Flow> Flows_;                    ///< Open requests.
  uint64_t NextFlow_ = 1;      ///< Number of the next request.
  Time Measured_;              ///< End of the warm-up.
  Time End_;                   ///< No arrivals after.
  SteeringModelReport Report_; ///< So far.
};

} // namespace cranberry::test

#endif
