/// \file region_division.cpp Divides the demand of regions among them.
#include "request/region_division_func.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// \return Uniform number in (0, 1) that is the same on every entry VM.
double getUniform(uint64_t Hash, const std::string &Region) {
  uint64_t Mixed = Hash ^ 0xcbf29ce484222325ULL;
  for (unsigned char C : Region)
    Mixed = (Mixed ^ C) * 0x100000001b3ULL;
  Mixed ^= Mixed >> 33U;
  Mixed *= 0xff51afd7ed558ccdULL;
  Mixed ^= Mixed >> 33U;
  Mixed *= 0xc4ceb9fe1a85ec53ULL;
  Mixed ^= Mixed >> 33U;
  constexpr unsigned DroppedBits = 11; // A double has 53 bits.
  return (static_cast<double>(Mixed >> DroppedBits) + 0.5) * 0x1p-53;
}

} // namespace

RegionShares divideDemand(const std::vector<RegionBalance> &Regions,
                          const std::string &From) {
  double Slots = 0;
  double Demand = 0;
  for (const RegionBalance &Each : Regions) {
    Slots += Each.Slots_;
    Demand += Each.Demand_;
  }
  if (Slots <= 0)
    return {};
  double Use = std::max(TargetSlotUse, Demand / Slots);
  double Spare = 0;
  const RegionBalance *Own = nullptr;
  for (const RegionBalance &Each : Regions) {
    Spare += std::max(0.0, Use * Each.Slots_ - Each.Demand_);
    if (Each.Region_ == From)
      Own = &Each;
  }
  double Away = 0;
  if (!Own || Own->Slots_ <= 0)
    Away = 1;
  else if (Own->Demand_ > 0)
    Away = std::max(0.0, 1 - Use * Own->Slots_ / Own->Demand_);
  if (Away < MinDividedShare || Spare <= 0)
    return {{From, 1}};
  RegionShares Result;
  for (const RegionBalance &Each : Regions)
    if (Each.Region_ == From && Away < 1)
      Result.push_back({From, 1 - Away});
    else if (double Room = Use * Each.Slots_ - Each.Demand_;
             Each.Region_ != From && Room > 0)
      Result.push_back({Each.Region_, Away * Room / Spare});
  std::sort(Result.begin(), Result.end(),
            [](const RegionShare &A, const RegionShare &B) {
              return A.Region_ < B.Region_;
            });
  return Result;
}

const std::string *pickRegion(const RegionShares &Shares, uint64_t Hash,
                              const std::string &Home, double AwayFactor) {
  double Away = 0;
  for (const RegionShare &Each : Shares)
    Away += Each.Region_ == Home ? 0 : Each.Share_;
  double Factor = Away > 0 ? std::min(AwayFactor, 1 / Away) : 1;
  const std::string *Best = nullptr;
  double BestScore = 0;
  for (const RegionShare &Each : Shares) {
    double Weight =
        Each.Region_ == Home ? 1 - Away * Factor : Each.Share_ * Factor;
    if (Weight <= 0)
      continue;
    double Score = -std::log(getUniform(Hash, Each.Region_)) / Weight;
    if (Best && Score >= BestScore)
      continue;
    Best = &Each.Region_;
    BestScore = Score;
  }
  return Best;
}

} // namespace cranberry
