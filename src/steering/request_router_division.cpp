/// \file request_router_division.cpp Divides requests among regions.
#include "steering/request_router_base.h"

namespace cranberry {

void RequestRouter::applySettings() {
  ShiftGate_.setMaxGrowth(ShiftLimitShare * Settings_.MaxRegionShift_);
  for (auto &[Name, Pool] : Pools_)
    applyDivisionSettings(*Pool);
}

void RequestRouter::applyDivisionSettings(ServicePool &Pool) {
  // Until the demand is known, zones are assumed to have the same.
  RegionDivider::DemandByRegion Assumed;
  for (const auto &[Zone, Region] : Settings_.Zones_)
    Assumed[Region] += 1;
  Pool.Balancer_.getDivider().setRegions(Settings_.Region_, std::move(Assumed),
                                         DivisionShiftShare * ShiftLimitShare *
                                             Settings_.MaxRegionShift_);
}

std::vector<ServiceDemand>
RequestRouter::exchangeDemand(const MemberList &Vms, Duration HeartbeatRound) {
  Time Now = getNow();
  Demand_.update(Vms, HeartbeatRound, Now);
  std::vector<ServiceDemand> Own;
  for (auto &[Name, Pool] : Pools_) {
    if (std::optional<double> Slots = Pool->Balancer_.getDemand(Now))
      Own.push_back({Name, *Slots});
    Pool->Balancer_.getDivider().setDemand(Demand_.get(Name));
  }
  return Own;
}

void RequestRouter::logDivision(ServicePool &Pool) {
  RegionDivider &Divider = Pool.Balancer_.getDivider();
  if (!Divider.takeTargetChanged())
    return;
  for (const RegionShare &To : Divider.getTarget())
    Log_.write(getNow(), "region-division",
               {{"service", Pool.Name_},
                {"region", To.Region_},
                {"share", To.Share_}});
}

} // namespace cranberry
