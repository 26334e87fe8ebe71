/// \file workspace_admission.cpp Admits requests by workspace.
#include "steering/workspace_admission_base.h"

#include "net/ingress_server_base.h"

namespace cranberry {

void WorkspaceAdmission::setRouting(const RoutingConfigPtr &Config) {
  Config_ = Config;
  Keys_ = WorkspaceTable(*Config_);
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
                                         const ClientKey &Key) const {
  return checkAccess(*Config_, Keys_, Route, Key,
                     !IsConfigCurrent_ || IsConfigCurrent_());
}

bool WorkspaceAdmission::isStillAdmitted(
    const ClientKey &Key, const WorkspaceConfig *Workspace) const {
  if (!Workspace || !Key.Digest_)
    return true;
  std::optional<size_t> Found = Keys_.find(*Key.Digest_);
  return Found && Config_->Workspaces_[*Found].Name_ == Workspace->Name_;
}

} // namespace cranberry
