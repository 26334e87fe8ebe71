/// \file steering_vm_load.cpp Load of this VM and demand of its clients.
#include "steering/steering_vm_base.h"

namespace cranberry {

namespace {

/// Interval in which the demand of all entry VMs is added up.
constexpr Duration DemandInterval = seconds(1);

} // namespace

void SteeringVm::updateLoad() {
  bool WasBusy = VmLoad_.isBusy();
  VmLoad_.update(Router_.getTraffic(), TickPeriod, getNow());
  if (VmLoad_.isBusy() != WasBusy)
    Log_.write(getNow(), "vm-load",
               {{"busy", VmLoad_.isBusy() ? 1 : 0}, {"use", VmLoad_.getUse()}});
  Peers_.setBusy(VmLoad_.isBusy());
}

void SteeringVm::updateDemand() {
  if (getNow() < NextDemandUpdate_)
    return;
  NextDemandUpdate_ = getNow() + DemandInterval;
  Peers_.setDemand(
      Router_.exchangeDemand(Peers_.getMembers(), Peers_.getRoundLength()));
}

} // namespace cranberry
