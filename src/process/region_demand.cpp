/// \file region_demand.cpp Demand of regions as entry VMs report it.
#include "process/region_demand_base.h"

namespace cranberry {

void RegionDemand::update(const MemberList &Vms, Duration Round, Time Now) {
  UpdatedAt_ = Now;
  for (auto &[Service, Total] : Services_)
    Total.Regions_.clear();
  for (const Member &Vm : Vms)
    for (const ServiceDemand &Each : Vm.Demand_) {
      auto [Found, IsNew] = Services_.try_emplace(Each.Service_);
      if (IsNew)
        Found->second.KnownFrom_ = Now + Round;
      Found->second.Regions_[Vm.Region_] += Each.Slots_;
    }
  // Without any report, the next one begins a new round.
  std::erase_if(Services_, [](const auto &Entry) {
    return Entry.second.Regions_.empty();
  });
}

std::optional<RegionDemand::ByRegion>
RegionDemand::get(const std::string &Service) const {
  auto Found = Services_.find(Service);
  if (Found == Services_.end() || UpdatedAt_ < Found->second.KnownFrom_)
    return std::nullopt;
  return Found->second.Regions_;
}

} // namespace cranberry
