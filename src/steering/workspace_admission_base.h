/// \file workspace_admission_base.h Admits requests by workspace.
#ifndef CRANBERRY_STEERING_WORKSPACE_ADMISSION_BASE_H
#define CRANBERRY_STEERING_WORKSPACE_ADMISSION_BASE_H

#include "observe/event_log_base.h"
#include "workspace/access_check_func.h"

#include <functional>

namespace cranberry {

/// Decides for the router which requests a workspace may send.
class WorkspaceAdmission {
public:
  explicit WorkspaceAdmission(EventLog &Log) : Log_(Log) {}

  /// Applies a version of the configuration.
  void setRouting(const RoutingConfigPtr &Config);

  /// \param Predicate Whether this VM would know of a newer configuration.
  void setConfigCurrentPredicate(std::function<bool()> Predicate) {
    IsConfigCurrent_ = std::move(Predicate);
  }

  /// \return Whether requests need API keys.
  bool isActive() const { return Config_ && Config_->HasWorkspaces_; }

  /// Identifies the workspace of a request.
  /// \param Route Route in the configuration in force.
  AccessDecision check(const RouteConfig &Route, const ClientKey &Key) const;

  /// \return Whether a request that was admitted earlier may still be sent to
  /// a server: its key has not been withdrawn.
  /// \param Workspace Workspace of the request, or null.
  bool isStillAdmitted(const ClientKey &Key,
                       const WorkspaceConfig *Workspace) const;

private:
  EventLog &Log_;                         ///< Event log.
  std::function<bool()> IsConfigCurrent_; ///< See the setter.
  RoutingConfigPtr Config_;               ///< Configuration in force.
  WorkspaceTable Keys_;                   ///< Keys of the configuration.
};

} // namespace cranberry

#endif
