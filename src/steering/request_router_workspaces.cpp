/// \file request_router_workspaces.cpp Keys, homes and quotas of open requests.
#include "core/overload_type.h"
#include "core/result_func.h"
#include "steering/request_router_base.h"

#include <absl/container/flat_hash_map.h>

#include <string_view>

namespace cranberry {

namespace {

/// Retry-After of requests that no region may run any more.
constexpr Duration HomelessRetryAfter = milliseconds(300);

template <typename T>
using ByName = absl::flat_hash_map<std::string_view, const T *>;

template <typename T> ByName<T> makeIndex(const std::vector<T> &List) {
  ByName<T> Result;
  for (const T &Each : List)
    Result.emplace(Each.Name_, &Each);
  return Result;
}

template <typename T> const T *find(const ByName<T> &Index, const T &Old) {
  auto Found = Index.find(Old.Name_);
  return Found == Index.end() ? nullptr : Found->second;
}

} // namespace

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

void RequestRouter::updateHomes() {
  if (Flows_.empty())
    return;
  ByName<RouteConfig> Routes = makeIndex(Config_->Routes_);
  ByName<WorkspaceConfig> Workspaces = makeIndex(Config_->Workspaces_);
  std::vector<FlowIndex> Homeless;
  for (const auto &[Index, Flow] : Flows_) {
    const RouteConfig *Route = find(Routes, *Flow->Route_);
    const WorkspaceConfig *Workspace =
        Flow->Workspace_ ? find(Workspaces, *Flow->Workspace_) : nullptr;
    // Without its workspace, a request would lose the homes that it set.
    if (!Route || (Flow->Workspace_ && !Workspace))
      continue;
    if (!applyHomes(*Flow, getAllowedRegions(*Route, Workspace)))
      Homeless.push_back(Flow->Index_);
  }
  for (FlowIndex Index : Homeless)
    sendFailure(*Flows_.at(Index.get()), ResultCode::HomesDisjoint,
                ResultCode::ServerAnswerLost, HomelessRetryAfter);
}

bool RequestRouter::applyHomes(ClientFlow &Flow, AllowedRegions Homes) {
  ServiceBalancer &Balancer = Flow.Pool_->Balancer_;
  Flow.IsHomeless_ = Homes.IsEmpty_;
  if (Homes.IsEmpty_) {
    // A queued retry must not start; the attempt in flight goes on.
    if (Flow.IsQueued_ && Balancer.cancelWaiting(Flow.Index_))
      Flow.IsQueued_ = false;
    return !Flow.Attempts_.empty();
  }
  std::vector<std::string> &Known = Flow.Request_.HomeRegions_;
  if (Known == Homes.Regions_)
    return true;
  Known = std::move(Homes.Regions_);
  // The balancer has a copy of a queued request.
  if (Flow.IsQueued_ && Balancer.setHomeRegions(Flow.Index_, Known))
    scheduleStep(*Flow.Pool_);
  return true;
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
