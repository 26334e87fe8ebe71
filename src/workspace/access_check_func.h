/// \file access_check_func.h Decides by its key whether a request may be
/// served.
#ifndef CRANBERRY_WORKSPACE_ACCESS_CHECK_FUNC_H
#define CRANBERRY_WORKSPACE_ACCESS_CHECK_FUNC_H

#include "core/result_type.h"
#include "version/workspace_table_base.h"
#include "workspace/client_key_type.h"

namespace cranberry {

/// Workspace of a request, or the reason why the request is rejected.
struct AccessDecision {
  ResultCode Code_ = ResultCode::Ok; ///< Ok if the request may be served.
  const WorkspaceConfig *Workspace_ = nullptr; ///< Null for anonymous requests.
};

/// Identifies the workspace of a request.
/// \param Config Configuration in force; must outlive the result.
/// \param Keys Keys of \p Config.
/// \param Route Route of the request.
/// \param Key Credentials of the request.
/// \param IsConfigCurrent Whether this VM would know of a newer configuration.
/// If not, an unknown key may be a new one, and the client has to ask again.
AccessDecision checkAccess(const RoutingConfig &Config,
                           const WorkspaceTable &Keys, const RouteConfig &Route,
                           const ClientKey &Key, bool IsConfigCurrent);

/// Regions in which a request may run.
struct AllowedRegions {
  bool IsEmpty_ = false;             ///< Whether the request may run nowhere.
  std::vector<std::string> Regions_; ///< Allowed regions; empty for any.
};

/// Combines the homes of a route and of a workspace; both bind.
/// \param Workspace Workspace of the request, or null.
AllowedRegions getAllowedRegions(const RouteConfig &Route,
                                 const WorkspaceConfig *Workspace);

/// \return Priority of a request; the workspace's goes before the route's.
/// \param Workspace Workspace of the request, or null.
unsigned getPriority(const RouteConfig &Route,
                     const WorkspaceConfig *Workspace);

} // namespace cranberry

#endif
