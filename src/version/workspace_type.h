/// \file workspace_type.h Workspaces: customers that share the services.
#ifndef CRANBERRY_VERSION_WORKSPACE_TYPE_H
#define CRANBERRY_VERSION_WORKSPACE_TYPE_H

#include "version/workspace_key_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Limit on the requests of a workspace, over all entry VMs together.
struct WorkspaceQuota {
  double RatePerSecond_ = 0; ///< Requests per second.
  double Burst_ = 0;         ///< Requests beyond the rate, once saved up.
};

/// Rights and limits of one workspace.
struct WorkspaceConfig {
  std::string Name_;                     ///< Unique name.
  std::vector<WorkspaceKeyDigest> Keys_; ///< Its API keys; any one identifies.
  std::optional<unsigned> Priority_;     ///< Replaces the route's, if set.
  std::optional<WorkspaceQuota> Quota_;  ///< Empty for no limit.
  std::vector<std::string> HomeRegions_; ///< Allowed regions; empty for all.
};

} // namespace cranberry

#endif
