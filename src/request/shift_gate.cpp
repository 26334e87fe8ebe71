/// \file shift_gate.cpp Limits how fast traffic moves to other regions.
#include "request/shift_gate_base.h"

#include <algorithm>

namespace cranberry {

void ShiftGate::setMaxGrowth(double MaxGrowth) {
  MaxStep_ = MaxGrowth * static_cast<double>(Window.count()) /
             static_cast<double>(GrowthSpan.count());
}

ShiftGate::Region &ShiftGate::getRegion(std::string_view Name) {
  auto Found =
      std::find_if(Regions_.begin(), Regions_.end(),
                   [Name](const Region &Each) { return Each.Name_ == Name; });
  if (Found != Regions_.end())
    return *Found;
  return Regions_.emplace_back(Region{std::string(Name), 0, 0});
}

void ShiftGate::advance(Time Now) {
  while (!Steps_.empty() && Steps_.front().Start_ + Window <= Now) {
    All_ -= Steps_.front().All_;
    for (size_t I = 0; I < Steps_.front().ToFar_.size(); ++I)
      Regions_[I].Sent_ -= Steps_.front().ToFar_[I];
    Steps_.pop_front();
  }
  Duration Since = std::min(Now - Updated_, Window);
  Updated_ = Now;
  double Rise = MaxStep_ * static_cast<double>(Since.count()) /
                static_cast<double>(Window.count());
  // Unused growth accumulates up to half a window's growth only, or up to one
  // request where traffic is low.
  Growth_ = std::min(Growth_ + Rise, std::max(MaxStep_ / 2, 1 / (All_ + 1)));
  for (Region &Each : Regions_) {
    double Share = All_ > 0 ? Each.Sent_ / All_ : 0;
    // Keep the recent share for a while: otherwise every random dip would use
    // up growth to recover from.
    if (Share >= Each.Ceiling_)
      Each.Reached_ = Now;
    else if (Now - Each.Reached_ > GrowthSpan)
      Each.Ceiling_ = std::max(Each.Ceiling_ - Rise, Share);
  }
}

bool ShiftGate::mayLeaveFor(std::string_view FarRegion, Time Now) {
  if (Now < OpenUntil_)
    return true;
  advance(Now);
  const Region &To = getRegion(FarRegion);
  return (To.Sent_ + 1) / (All_ + 1) <= To.Ceiling_ + Growth_;
}

void ShiftGate::noteStart(std::string_view FarRegion, Time Now) {
  advance(Now);
  if (Steps_.empty() || Steps_.back().Start_ + StepLength <= Now)
    Steps_.push_back({Now, 0, {}});
  Step &Last = Steps_.back();
  Last.All_ += 1;
  All_ += 1;
  if (FarRegion.empty())
    return;
  Region &To = getRegion(FarRegion);
  Last.ToFar_.resize(Regions_.size());
  Last.ToFar_[static_cast<size_t>(&To - Regions_.data())] += 1;
  To.Sent_ += 1;
  double Share = To.Sent_ / All_;
  if (Share <= To.Ceiling_)
    return;
  if (Now >= OpenUntil_)
    Growth_ = std::max(0.0, Growth_ - (Share - To.Ceiling_));
  To.Ceiling_ = Share;
  To.Reached_ = Now;
}

} // namespace cranberry
