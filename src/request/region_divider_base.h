/// \file region_divider_base.h Division of a service's requests among regions.
#ifndef CRANBERRY_REQUEST_REGION_DIVIDER_BASE_H
#define CRANBERRY_REQUEST_REGION_DIVIDER_BASE_H

#include "request/balancer_type.h"
#include "request/region_division_func.h"
#include "request/service_time_history_base.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Keeps the division of one service's requests among the regions in force.
///
/// The division follows from the registered servers and the demand of the
/// regions, which all entry VMs know, so that they reach the same one without
/// exchanging messages. It applies from the first request on: a region with few
/// servers would otherwise have to shift its excess step by step, and refuse
/// requests meanwhile. Later it changes slowly, as shifts between regions are
/// limited, and only for differences above random variation.
class RegionDivider {
public:
  /// Demand by region, in any unit.
  using DemandByRegion = std::map<std::string, double>;

  /// Sets what holds without knowledge of the requests. Nothing is divided
  /// before.
  /// \param Own Region of this entry VM.
  /// \param Assumed Relative demand of the regions until it is known.
  /// \param MaxGrowth Maximum change of the shares within GrowthPeriod.
  void setRegions(std::string Own, DemandByRegion Assumed, double MaxGrowth);

  /// Replaces the servers that accept requests.
  void setServers(const std::vector<BackendServerConfig> &Servers);

  /// \param Demand Demand in slots by region, or std::nullopt if unknown.
  void setDemand(std::optional<DemandByRegion> Demand) {
    Demand_ = std::move(Demand);
  }

  /// Records a request and its typical service time.
  void recordArrival(const WaitingRequest &Request, Duration Work);

  /// Adjusts the division. Has to be called before requests are placed.
  void update(Time Now);

  /// \return Region that is to run \p Request, or nullptr if the request isn't
  /// divided.
  const std::string *getRegion(const WaitingRequest &Request) const;

  /// \return Shares of this region's requests in force, by region.
  const RegionShares &getShares() const { return Shares_; }

  /// \return Shares that the division is changing to.
  const RegionShares &getTarget() const { return Target_; }

  /// \return Whether a new target has been set since the previous call.
  bool takeTargetChanged() { return std::exchange(HasNewTarget_, false); }

  /// Period of the maximum change.
  static constexpr Duration GrowthPeriod = seconds(2);

private:
  /// What counts of a server.
  struct Supply {
    std::string Region_; ///< Its region.
    double Slots_;       ///< Requests that it runs concurrently.
    Time ColdUntil_;     ///< End of its cold phase.
  };

  std::vector<RegionBalance> getBalances(Time Now) const;
  bool isEligible(const WaitingRequest &Request) const;
  bool hasLostRegion(const std::vector<RegionBalance> &Balances) const;
  void moveTowardsTarget(Duration Passed);

  /// Interval of the adjustments.
  static constexpr Duration UpdateInterval = milliseconds(200);

  /// The shares start to change when one is off by this much. Hysteresis keeps
  /// objects where they are cached while the estimates vary.
  static constexpr double MinDifference = 0.05;

  /// Capacity of a cold server, relative to a warm one.
  static constexpr double ColdCapacity = 0.5;

  /// Requests are divided if the round trip takes less than this share of the
  /// latency objective.
  static constexpr double MaxRoundTripShare = 0.2;

  /// Weight of the past for each new request, in the share of the work that
  /// may be divided.
  static constexpr double EligibilityDecay = 0.998;

  /// Number of requests that may be divided before those that have arrived.
  static constexpr double EligibilityPrior = 100;

  std::string Own_;                      ///< Region of this VM.
  DemandByRegion Assumed_;               ///< See setRegions().
  double MaxGrowth_ = 0;                 ///< See setRegions().
  std::vector<Supply> Servers_;          ///< Servers that accept requests.
  std::optional<DemandByRegion> Demand_; ///< See setDemand().
  std::map<std::string, Duration> RoundTrips_; ///< To other regions.
  RegionShares Shares_;                        ///< Division in force.
  RegionShares Target_;                        ///< Division that is wanted.
  bool IsChanging_ = false;       ///< Whether Shares_ follow Target_.
  bool HasNewTarget_ = false;     ///< See takeTargetChanged().
  std::optional<Time> UpdatedAt_; ///< Time of the last adjustment.
  double Work_ = 0;               ///< Decaying sum of the work of requests.
  double EligibleWork_ = 0;       ///< The same of requests that may be divided.
};

} // namespace cranberry

#endif
