/// \file workspace_admission.cpp Admits requests by workspace.
#include "steering/workspace_admission_base.h"

#include "net/ingress_server_base.h"

namespace cranberry {

namespace {

/// Longest wait for the answer of a quota's holder.
constexpr Duration MaxHoldTime = milliseconds(450);

/// Period in which waiting requests are looked at.
constexpr Duration SettlePeriod = milliseconds(25);

} // namespace

void WorkspaceAdmission::setRouting(const RoutingConfigPtr &Config) {
  Config_ = Config;
  Keys_ = WorkspaceTable(*Config_);
  Quotas_.setWorkspaces(Config_->Workspaces_, Config_->Version_);
  Time Now = getNow();
  for (const Reason &Why : Config_->RefusedWorkspaces_)
    Log_.write(Now, "workspace-refused",
               {{"version", Config_->Version_},
                {"code", static_cast<unsigned>(Why.Code_)},
                {"field", Why.Field_},
                {"text", Why.Message_}});
  if (Keys_.getAmbiguousKeyCount() > 0)
    Log_.write(Now, "workspace-keys-ambiguous",
               {{"version", Config_->Version_},
                {"keys", static_cast<uint64_t>(Keys_.getAmbiguousKeyCount())}});
}

AccessDecision WorkspaceAdmission::check(const RouteConfig &Route,
                                         const ClientKey &Key,
                                         bool IsConfigCurrent) const {
  return checkAccess(*Config_, Keys_, Route, Key, IsConfigCurrent);
}

bool WorkspaceAdmission::isStillAdmitted(
    const ClientKey &Key, const WorkspaceConfig *Workspace) const {
  if (!Workspace || !Key.Digest_)
    return true;
  std::optional<size_t> Found = Keys_.find(*Key.Digest_);
  return Found && Config_->Workspaces_[*Found].Name_ == Workspace->Name_;
}

QuotaDecision WorkspaceAdmission::take(const WorkspaceConfig *Workspace,
                                       FlowIndex Flow, Time Now) {
  if (!Workspace || !Workspace->Quota_)
    return QuotaTaken{Time::min()};
  QuotaDecision Result = Quotas_.take(*Workspace, Now);
  if (std::holds_alternative<QuotaTaken>(Result))
    return Result;
  if (std::holds_alternative<QuotaPending>(Result))
    Held_.push_back({Flow, Now});
  if (OnAskDue_)
    OnAskDue_(getNextQuotaWork(Now));
  return Result;
}

void WorkspaceAdmission::settleHeld(Time Now) {
  std::deque<HeldRequest> Waiting;
  Waiting.swap(Held_);
  for (const HeldRequest &Each : Waiting)
    if (OnSettle_ && OnSettle_(Each.Flow_, Now - Each.Since_ >= MaxHoldTime))
      Held_.push_back(Each);
}

Time WorkspaceAdmission::getNextQuotaWork(Time Now) const {
  Time Next = Quotas_.getNextAsk(Now);
  return Held_.empty() ? Next : std::min(Next, Now + SettlePeriod);
}

void WorkspaceAdmission::logRefusal(const std::string &Request,
                                    const std::string &Workspace,
                                    const QuotaExceeded &Why, Time Now) {
  Log_.write(Now, "quota-exceeded",
             {{"request", Request},
              {"workspace", Workspace},
              {"limit", Why.Limit_},
              {"rate", Why.Rate_},
              {"left", Why.Left_},
              {"ageMs", Why.Age_},
              {"retryAfterMs", Why.RetryAfter_}});
}

void WorkspaceAdmission::updateGauges(Metrics &Counters) {
  QuotaUse Others;
  for (const QuotaUse &Each : Quotas_.getUse(Quotas_.getCount())) {
    if (Each.Refused_ > 0 && Series_.size() < MaxSeries)
      Series_.insert(Each.Workspace_);
    if (!Series_.contains(Each.Workspace_)) {
      Others.Taken_ += Each.Taken_;
      continue;
    }
    Counters.setGauge("cranberry_workspace_quota", Each.Workspace_,
                      Each.Limit_);
    Counters.setGauge("cranberry_workspace_lease", Each.Workspace_, Each.Rate_);
    Counters.setGauge("cranberry_workspace_admitted", Each.Workspace_,
                      static_cast<double>(Each.Taken_));
    Counters.setGauge("cranberry_workspace_refused", Each.Workspace_,
                      static_cast<double>(Each.Refused_));
  }
  Counters.setGauge("cranberry_workspace_admitted", "others",
                    static_cast<double>(Others.Taken_));
}

} // namespace cranberry
