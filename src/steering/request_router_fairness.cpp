/// \file request_router_fairness.cpp Ranks requests by their workspace's share.
#include "steering/request_router_base.h"

namespace cranberry {

void RequestRouter::rankByFairShare(ClientFlow &Flow) {
  if (!Flow.Workspace_)
    return;
  Time Now = getNow();
  FairShare &Fairness = Flow.Pool_->Fairness_;
  const std::string &Name = Flow.Workspace_->Name_;
  Fairness.recordArrival(Name, getFairWeight(*Flow.Config_, *Flow.Workspace_),
                         getExpectedWork(Flow), Now);
  Flow.Request_.FairFactor_ = Fairness.getFactor(Name, Now);
}

} // namespace cranberry
