/// \file client_vms.cpp Selects the entry VMs that serve a zone's clients.
#include "process/client_vms_func.h"

#include <algorithm>

namespace cranberry {

void keepClientVms(std::vector<const Member *> &Group) {
  std::sort(Group.begin(), Group.end(), [](const Member *A, const Member *B) {
    return A->Strength_ != B->Strength_ ? A->Strength_ > B->Strength_
                                        : A->Vm_ < B->Vm_;
  });
  size_t Idle = 0;
  auto Last = std::find_if(Group.begin(), Group.end(), [&](const Member *Vm) {
    Idle += Vm->IsBusy_ ? 0 : 1;
    return Idle >= MinVmsPerZone;
  });
  if (Last != Group.end())
    Group.erase(Last + 1, Group.end());
}

} // namespace cranberry
