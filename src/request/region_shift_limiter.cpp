/// \file region_shift_limiter.cpp Limits shifts of traffic between regions.
#include "request/region_shift_limiter_base.h"

#include <algorithm>

namespace cranberry {

void RegionShiftLimiter::setMaxGrowth(double MaxGrowth) {
  MaxWindowGrowth_ = MaxGrowth * static_cast<double>(Window.count()) /
                     static_cast<double>(GrowthPeriod.count());
}

RegionShiftLimiter::Region &
RegionShiftLimiter::getRegion(std::string_view Name) {
  auto Found =
      std::find_if(Regions_.begin(), Regions_.end(),
                   [Name](const Region &Each) { return Each.Name_ == Name; });
  if (Found != Regions_.end())
    return *Found;
  return Regions_.emplace_back(Region{std::string(Name), 0, 0});
}

void RegionShiftLimiter::endStart() {
  StartsUntil_ = Time();
  for (Region &Each : Regions_)
    if (FirstRequests_ > 0)
      Each.RecentShare_ =
          std::max(Each.RecentShare_, Each.FirstRequests_ / FirstRequests_);
}

void RegionShiftLimiter::advance(Time Now) {
  if (StartsUntil_ != Time() && Now >= StartsUntil_)
    endStart();
  while (!Steps_.empty() && Steps_.front().Start_ + Window <= Now) {
    TotalRequests_ -= Steps_.front().TotalRequests_;
    for (size_t I = 0; I < Steps_.front().RequestsByRegion_.size(); ++I)
      Regions_[I].Requests_ -= Steps_.front().RequestsByRegion_[I];
    Steps_.pop_front();
  }
  Duration Since = std::min(Now - Updated_, Window);
  Updated_ = Now;
  double NewGrowth = MaxWindowGrowth_ * static_cast<double>(Since.count()) /
                     static_cast<double>(Window.count());
  // Unused growth accumulates up to half a window's growth only, or up to one
  // request where traffic is low.
  AvailableGrowth_ =
      std::min(AvailableGrowth_ + NewGrowth,
               std::max(MaxWindowGrowth_ / 2, 1 / (TotalRequests_ + 1)));
  for (Region &Each : Regions_) {
    double Share = TotalRequests_ > 0 ? Each.Requests_ / TotalRequests_ : 0;
    // Keep the recent share for a while: otherwise every random dip would use
    // up growth to recover from.
    if (Share >= Each.RecentShare_)
      Each.ReachedAt_ = Now;
    else if (Now - Each.ReachedAt_ > GrowthPeriod)
      Each.RecentShare_ = std::max(Each.RecentShare_ - NewGrowth, Share);
  }
}

bool RegionShiftLimiter::canSendTo(std::string_view RegionName, Time Now,
                                   bool IsStanding) {
  if (IsLiftedFromFirst_) {
    IsLiftedFromFirst_ = false;
    recordFailure(Now);
  }
  if (Now < UnlimitedUntil_)
    return true;
  if (IsStanding) {
    // The first request of all may be one that isn't divided.
    Time First = Now - LastStart_ >= GrowthPeriod ? Now : FirstStart_;
    if (Now < First + GrowthPeriod) {
      StartsUntil_ = First + GrowthPeriod;
      return true;
    }
  }
  advance(Now);
  const Region &To = getRegion(RegionName);
  return (To.Requests_ + 1) / (TotalRequests_ + 1) <=
         To.RecentShare_ + AvailableGrowth_;
}

bool RegionShiftLimiter::isFallingTooFast(std::string_view RegionName,
                                          Time Now) {
  if (Now < UnlimitedUntil_ || IsLiftedFromFirst_)
    return false;
  advance(Now);
  const Region &To = getRegion(RegionName);
  // The recent share is the highest one, random peaks included.
  double MaxFall = MaxWindowGrowth_ *
                   static_cast<double>(GrowthPeriod.count()) /
                   static_cast<double>(Window.count());
  return To.Requests_ / (TotalRequests_ + 1) < To.RecentShare_ - MaxFall;
}

void RegionShiftLimiter::recordStart(std::string_view RegionName, Time Now) {
  advance(Now);
  if (Steps_.empty() || Steps_.back().Start_ + StepLength <= Now)
    Steps_.push_back({Now, 0, {}});
  Step &Last = Steps_.back();
  Last.TotalRequests_ += 1;
  TotalRequests_ += 1;
  if (Now - LastStart_ >= GrowthPeriod) {
    FirstStart_ = Now;
    FirstRequests_ = 0;
    for (Region &Each : Regions_)
      Each.FirstRequests_ = 0;
  }
  LastStart_ = Now;
  bool IsFirst = Now < FirstStart_ + GrowthPeriod;
  FirstRequests_ += IsFirst ? 1 : 0;
  if (RegionName.empty())
    return;
  Region &To = getRegion(RegionName);
  Last.RequestsByRegion_.resize(Regions_.size());
  Last.RequestsByRegion_[static_cast<size_t>(&To - Regions_.data())] += 1;
  To.Requests_ += 1;
  To.FirstRequests_ += IsFirst ? 1 : 0;
  double Share = To.Requests_ / TotalRequests_;
  bool IsUnlimited = Now < UnlimitedUntil_;
  // Later shares are compared with the mean of the first ones. A peak among
  // these would allow the mean to grow without a limit.
  if (Share <= To.RecentShare_ || (isStarting(Now) && !IsUnlimited))
    return;
  if (IsUnlimited && TotalRequests_ < MinSampleSize)
    return; // One of the first requests alone would be a share of all.
  if (!IsUnlimited)
    AvailableGrowth_ =
        std::max(0.0, AvailableGrowth_ - (Share - To.RecentShare_));
  To.RecentShare_ = Share;
  To.ReachedAt_ = Now;
}

} // namespace cranberry
