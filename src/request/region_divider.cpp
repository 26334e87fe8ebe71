/// \file region_divider.cpp Division of a service's requests among regions.
#include "request/region_divider_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberry {

namespace {

double getShare(const RegionShares &Shares, const std::string &Region) {
  for (const RegionShare &Each : Shares)
    if (Each.Region_ == Region)
      return Each.Share_;
  return 0;
}

std::map<std::string, double> getDifferences(const RegionShares &From,
                                             const RegionShares &To) {
  std::map<std::string, double> Result;
  for (const RegionShare &Each : From)
    Result[Each.Region_] -= Each.Share_;
  for (const RegionShare &Each : To)
    Result[Each.Region_] += Each.Share_;
  return Result;
}

} // namespace

void RegionDivider::setRegions(std::string Own, DemandByRegion Assumed,
                               double MaxGrowth) {
  Own_ = std::move(Own);
  Assumed_ = std::move(Assumed);
  MaxGrowth_ = MaxGrowth;
}

void RegionDivider::setServers(
    const std::vector<BackendServerConfig> &Servers) {
  Servers_.clear();
  RoundTrips_.clear();
  for (const BackendServerConfig &Each : Servers) {
    Servers_.push_back(
        {Each.Region_, static_cast<double>(Each.Slots_), Each.ColdUntil_});
    if (Each.Proximity_ == Proximity::OtherRegion)
      RoundTrips_[Each.Region_] = Each.RoundTrip_;
  }
}

bool RegionDivider::isEligible(const WaitingRequest &Request) const {
  if (!Request.HomeRegions_.empty())
    return false;
  Duration Longest{0};
  for (const auto &[Region, RoundTrip] : RoundTrips_)
    Longest = std::max(Longest, RoundTrip);
  return Longest < scaleDuration(Request.ObjectiveAt_ - Request.Arrived_,
                                 MaxRoundTripShare);
}

void RegionDivider::recordArrival(const WaitingRequest &Request,
                                  Duration Work) {
  if (Shares_.size() < 2)
    return;
  double Size = std::chrono::duration<double>(Work).count();
  if (Work_ == 0)
    Work_ = EligibleWork_ = EligibilityPrior * Size;
  Work_ = Work_ * EligibilityDecay + Size;
  EligibleWork_ =
      EligibleWork_ * EligibilityDecay + (isEligible(Request) ? Size : 0);
}

std::vector<RegionBalance> RegionDivider::getBalances(Time Now) const {
  std::map<std::string, RegionBalance> ByRegion;
  double Slots = 0;
  for (const Supply &Server : Servers_) {
    double Usable =
        Now < Server.ColdUntil_ ? Server.Slots_ * ColdCapacity : Server.Slots_;
    ByRegion[Server.Region_].Slots_ += Usable;
    Slots += Usable;
  }
  double Assumed = 0;
  for (const auto &[Region, Weight] : Assumed_)
    Assumed += Weight;
  // Until the demand is known, all slots are assumed to be needed.
  for (const auto &[Region, Weight] : Demand_ ? *Demand_ : Assumed_)
    ByRegion[Region].Demand_ = Demand_ ? Weight : Weight * Slots / Assumed;
  std::vector<RegionBalance> Result;
  for (auto &[Region, Balance] : ByRegion) {
    Balance.Region_ = Region;
    Result.push_back(std::move(Balance));
  }
  return Result;
}

bool RegionDivider::hasLostRegion(
    const std::vector<RegionBalance> &Balances) const {
  return std::any_of(
      Shares_.begin(), Shares_.end(), [&Balances](const RegionShare &Each) {
        auto Found = std::find_if(Balances.begin(), Balances.end(),
                                  [&Each](const RegionBalance &Balance) {
                                    return Balance.Region_ == Each.Region_;
                                  });
        return Found == Balances.end() || Found->Slots_ <= 0;
      });
}

void RegionDivider::update(Time Now) {
  if (Assumed_.empty() || (UpdatedAt_ && Now - *UpdatedAt_ < UpdateInterval))
    return;
  std::vector<RegionBalance> Balances = getBalances(Now);
  RegionShares Wanted = divideDemand(Balances, Own_);
  Duration Passed = UpdatedAt_ ? Now - *UpdatedAt_ : Duration(0);
  UpdatedAt_ = Now;
  if (Shares_.empty() || Wanted.empty() || hasLostRegion(Balances)) {
    HasNewTarget_ = Shares_.size() != Wanted.size() || Wanted.size() > 1;
    Shares_ = Target_ = std::move(Wanted);
    IsChanging_ = false;
    return;
  }
  if (!IsChanging_) {
    for (const auto &[Region, Difference] : getDifferences(Shares_, Wanted))
      IsChanging_ = IsChanging_ || std::abs(Difference) > MinDifference;
    HasNewTarget_ = HasNewTarget_ || IsChanging_;
  }
  if (!IsChanging_)
    return;
  Target_ = std::move(Wanted);
  moveTowardsTarget(Passed);
}

void RegionDivider::moveTowardsTarget(Duration Passed) {
  std::map<std::string, double> Differences = getDifferences(Shares_, Target_);
  double Moved = 0;
  for (const auto &[Region, Difference] : Differences)
    Moved += std::max(0.0, Difference);
  double MaxMoved =
      MaxGrowth_ * static_cast<double>(std::min(Passed, GrowthPeriod).count()) /
      static_cast<double>(GrowthPeriod.count());
  if (Moved <= MaxMoved) {
    Shares_ = Target_;
    IsChanging_ = false;
    return;
  }
  RegionShares Next;
  for (const auto &[Region, Difference] : Differences)
    Next.push_back(
        {Region, getShare(Shares_, Region) + Difference * MaxMoved / Moved});
  Shares_ = std::move(Next);
}

const std::string *
RegionDivider::getRegion(const WaitingRequest &Request) const {
  if (Shares_.size() < 2 || !isEligible(Request))
    return nullptr;
  double AwayFactor = EligibleWork_ > 0 ? Work_ / EligibleWork_ : 1;
  // Requests without an object are divided one by one.
  uint64_t Hash = Request.Key_ != 0 ? Request.Key_ : Request.Flow_.get();
  return pickRegion(Shares_, Hash, Own_, AwayFactor);
}

} // namespace cranberry
