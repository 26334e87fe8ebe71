/// \file region_division_func.h Divides the demand of regions among them.
#ifndef CRANBERRY_REQUEST_REGION_DIVISION_FUNC_H
#define CRANBERRY_REQUEST_REGION_DIVISION_FUNC_H

#include <cstdint>
#include <string>
#include <vector>

namespace cranberry {

/// Supply and demand of a region for one service.
struct RegionBalance {
  std::string Region_; ///< Region name.
  double Slots_ = 0;   ///< Slots of its servers.
  double Demand_ = 0;  ///< Slots that the requests of its clients keep busy.
};

/// Share of a region's requests that are to run in one region.
struct RegionShare {
  std::string Region_; ///< Region name.
  double Share_ = 0;   ///< From 0 to 1.
};

/// Shares of all regions that are to run some requests; they add up to 1.
using RegionShares = std::vector<RegionShare>;

/// Use of a region's slots up to which all of its requests stay there. Beyond
/// it, random arrivals would wait for a slot while other regions have free
/// ones.
constexpr double TargetSlotUse = 0.9;

/// Smallest share of requests that is sent away; spilling single requests
/// handles less.
constexpr double MinDividedShare = 0.1;

/// Divides the requests that the clients of \p From send. Each region keeps
/// what it has slots for. The rest goes to the regions with spare slots, in
/// proportion to these, so that no region is used more than the others that
/// received some.
/// \param Regions Balance of every region, in any order.
/// \return Shares, ordered by region; only \p From if nothing is to be sent
/// away, and empty if no region has slots.
RegionShares divideDemand(const std::vector<RegionBalance> &Regions,
                          const std::string &From);

/// Weighted rendezvous hash. A change of the shares moves only as many objects
/// as the shares differ by.
/// \param Hash Hash of the object.
/// \param Home Region of the clients.
/// \param AwayFactor Factor of the shares other than that of \p Home.
/// \return Region whose servers cache the object, or nullptr without shares.
const std::string *pickRegion(const RegionShares &Shares, uint64_t Hash,
                              const std::string &Home, double AwayFactor);

} // namespace cranberry

#endif
