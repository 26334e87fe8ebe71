/// \file request_router_workspaces.cpp Keys and quotas of open requests.
#include "core/overload_type.h"
#include "core/result_func.h"
#include "steering/request_router_base.h"

namespace cranberry {

void RequestRouter::refuseWithdrawnKeys() {
  std::vector<FlowIndex> Withdrawn;
  for (const auto &[Index, Flow] : Flows_)
    if (Flow->Attempts_.empty() &&
        !Workspaces_.isStillAdmitted(Flow->Key_, Flow->Workspace_))
      Withdrawn.push_back(Flow->Index_);
  for (FlowIndex Index : Withdrawn)
    sendFailure(*Flows_.at(Index.get()), ResultCode::WorkspaceKeyUnknown,
                ResultCode::ServerAnswerLost, Duration(0));
}

void RequestRouter::admit(ClientFlow &Flow) {
  applyQuotaDecision(Flow,
                     Workspaces_.take(Flow.Workspace_, Flow.Index_, getNow()));
}

bool RequestRouter::settleHeld(FlowIndex Index, bool IsLast) {
  auto Found = Flows_.find(Index.get());
  if (Found == Flows_.end())
    return false;
  ClientFlow &Flow = *Found->second;
  return applyQuotaDecision(
      Flow, Workspaces_.getQuotas().retake(*Flow.Workspace_, IsLast, getNow()));
}

bool RequestRouter::applyQuotaDecision(ClientFlow &Flow,
                                       const QuotaDecision &Decision) {
  return std::visit(
      Overload{[&](const QuotaTaken &Taken) {
                 Flow.Quota_ = Taken;
                 rankByFairShare(Flow);
                 submit(Flow);
                 return false;
               },
               [&](const QuotaExceeded &Why) {
                 Workspaces_.logRefusal(Flow.Id_, Flow.Workspace_->Name_, Why,
                                        getNow());
                 sendFailure(Flow, ResultCode::QuotaExceeded,
                             ResultCode::ServerAnswerLost, Why.RetryAfter_);
                 return false;
               },
               [](const QuotaPending &) { return true; }},
      Decision);
}

bool RequestRouter::canRepeat(const ClientFlow &Flow, AttemptOutcome Outcome) {
  bool HasRun =
      Outcome != AttemptOutcome::NotSent && Outcome != AttemptOutcome::NotRun;
  return !HasRun || !Flow.Workspace_ ||
         Workspaces_.getQuotas().tryTakeRepeat(*Flow.Workspace_, getNow());
}

void RequestRouter::giveBackQuota(const ClientFlow &Flow, ResultCode Code) {
  if (Flow.Quota_ && Flow.Workspace_ && Code != ResultCode::Ok &&
      !Flow.MayHaveRun_ && Flow.Attempts_.empty())
    Workspaces_.getQuotas().giveBack(Flow.Workspace_->Name_, *Flow.Quota_,
                                     getNow());
}

} // namespace cranberry
