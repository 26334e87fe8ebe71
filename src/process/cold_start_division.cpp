/// \file cold_start_division.cpp Divides the starts at cold servers among entry
/// VMs.
#include "process/cold_start_division_base.h"

#include "process/client_vms_func.h"
#include "process/membership_base.h"
#include "process/peak_count_base.h"

#include <algorithm>

namespace cranberry {

void ColdStartDivision::setMembers(const MemberList &Vms, Time Now) {
  for (const Member &Vm : Vms)
    Vms_[Vm.Vm_] = {Vm, Now};
  std::erase_if(Vms_, [Now](const auto &Entry) {
    return Now - Entry.second.LastSeen_ >= PeakCount::HoldTime;
  });
  selectVms();
}

void ColdStartDivision::selectVms() {
  std::map<std::string, std::vector<const Member *>> Groups;
  for (const auto &[Name, Known] : Vms_)
    Groups[Known.Vm_.Zone_].push_back(&Known.Vm_);
  ByZone_.clear();
  ByRegion_.clear();
  All_.clear();
  for (auto &[Zone, Group] : Groups) {
    keepClientVms(Group);
    for (const Member *Vm : Group)
      for (Names *List : {&ByZone_[Zone], &ByRegion_[Vm->Region_], &All_})
        List->push_back(Vm->Vm_);
    std::sort(ByZone_[Zone].begin(), ByZone_[Zone].end());
  }
  for (auto &[Region, List] : ByRegion_)
    std::sort(List.begin(), List.end());
  std::sort(All_.begin(), All_.end());
}

const ColdStartDivision::Names &
ColdStartDivision::findNearest(const std::string &Zone,
                               const std::string &Region) const {
  if (auto Found = ByZone_.find(Zone); Found != ByZone_.end())
    return Found->second;
  auto Found = ByRegion_.find(Region);
  return Found == ByRegion_.end() ? All_ : Found->second;
}

unsigned ColdStartDivision::getStarts(const std::string &Vm,
                                      const std::string &Server,
                                      const std::string &Zone,
                                      const std::string &Region,
                                      double Starts) const {
  const Names &Nearest = findNearest(Zone, Region);
  auto Found = std::find(Nearest.begin(), Nearest.end(), Vm);
  if (Found == Nearest.end())
    return 0;
  auto Whole = static_cast<size_t>(std::max(0.0, Starts));
  // The first VM differs from server to server, so that a remainder isn't
  // always given to the same VMs.
  size_t Index = static_cast<size_t>(Found - Nearest.begin()) +
                 hashText(Server) % Nearest.size();
  size_t Rank = Index % Nearest.size();
  return static_cast<unsigned>(Whole / Nearest.size() +
                               (Rank < Whole % Nearest.size() ? 1 : 0));
}

} // namespace cranberry
