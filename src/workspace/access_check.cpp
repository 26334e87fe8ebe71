/// \file access_check.cpp Decides by its key whether a request may be served.
#include "workspace/access_check_func.h"

#include <algorithm>

namespace cranberry {

AccessDecision checkAccess(const RoutingConfig &Config,
                           const WorkspaceTable &Keys, const RouteConfig &Route,
                           const ClientKey &Key, bool IsConfigCurrent) {
  if (!Config.HasWorkspaces_)
    return {};
  std::optional<size_t> Found;
  if (Key.Digest_)
    Found = Keys.find(*Key.Digest_);
  if (Found)
    return {ResultCode::Ok, &Config.Workspaces_[*Found]};
  if (Route.IsAnonymous_)
    return {};
  // A newer configuration may hold the key, or serve the route without one.
  if (!IsConfigCurrent)
    return {ResultCode::WorkspaceKeyUnverified, nullptr};
  return {Key.Digest_ ? ResultCode::WorkspaceKeyUnknown
                      : ResultCode::WorkspaceKeyMissing,
          nullptr};
}

AllowedRegions getAllowedRegions(const RouteConfig &Route,
                                 const WorkspaceConfig *Workspace) {
  if (!Workspace || Workspace->HomeRegions_.empty())
    return {false, Route.HomeRegions_};
  if (Route.HomeRegions_.empty())
    return {false, Workspace->HomeRegions_};
  AllowedRegions Result;
  for (const std::string &Region : Route.HomeRegions_)
    if (std::find(Workspace->HomeRegions_.begin(),
                  Workspace->HomeRegions_.end(),
                  Region) != Workspace->HomeRegions_.end())
      Result.Regions_.push_back(Region);
  Result.IsEmpty_ = Result.Regions_.empty();
  return Result;
}

unsigned getPriority(const RouteConfig &Route,
                     const WorkspaceConfig *Workspace) {
  return Workspace ? Workspace->Priority_.value_or(Route.Priority_)
                   : Route.Priority_;
}

} // namespace cranberry
