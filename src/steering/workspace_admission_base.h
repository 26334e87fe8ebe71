/// \file workspace_admission_base.h Admits requests by workspace.
#ifndef CRANBERRY_STEERING_WORKSPACE_ADMISSION_BASE_H
#define CRANBERRY_STEERING_WORKSPACE_ADMISSION_BASE_H

#include "observe/event_log_base.h"
#include "observe/metrics_base.h"
#include "request/balancer_type.h"
#include "workspace/access_check_func.h"
#include "workspace/workspace_quotas_base.h"

#include <deque>
#include <functional>
#include <set>

namespace cranberry {

/// Decides for the router which requests a workspace may send.
class WorkspaceAdmission {
public:
  explicit WorkspaceAdmission(EventLog &Log) : Log_(Log) {}

  /// Applies a version of the configuration.
  void setRouting(const RoutingConfigPtr &Config);

  /// \return Whether requests need API keys.
  bool isActive() const { return Config_ && Config_->HasWorkspaces_; }

  /// Identifies the workspace of a request.
  /// \param Route Route in the configuration in force.
  /// \param IsConfigCurrent Whether this VM would know of a newer
  /// configuration.
  AccessDecision check(const RouteConfig &Route, const ClientKey &Key,
                       bool IsConfigCurrent) const;

  /// \return Whether a request that was admitted earlier may still be sent to
  /// a server: its key has not been withdrawn.
  /// \param Workspace Workspace of the request, or null.
  bool isStillAdmitted(const ClientKey &Key,
                       const WorkspaceConfig *Workspace) const;

  /// \param Terms Required accuracy of quotas.
  void setQuotaTerms(const QuotaTerms &Terms) { Quotas_.setTerms(Terms); }

  /// \param Action Called with the time at which holders of quotas have to be
  /// asked.
  void setOnAskDue(std::function<void(Time)> Action) {
    OnAskDue_ = std::move(Action);
  }

  /// \param Action Called to decide again about a request that waits for its
  /// quota. Its second parameter tells whether it may not wait any longer; its
  /// result, whether it still waits.
  void setOnSettle(std::function<bool(FlowIndex, bool)> Action) {
    OnSettle_ = std::move(Action);
  }

  /// Takes a new request out of its workspace's quota. If the result is
  /// QuotaPending, the request waits here until settleHeld().
  /// \param Workspace Workspace of the request, or null.
  QuotaDecision take(const WorkspaceConfig *Workspace, FlowIndex Flow,
                     Time Now);

  /// Decides again about the requests that wait, in order of arrival.
  void settleHeld(Time Now);

  /// \return Time at which asks or waiting requests are due.
  Time getNextQuotaWork(Time Now) const;

  /// Writes the log line of a refusal.
  /// \param Request Id of the request.
  void logRefusal(const std::string &Request, const std::string &Workspace,
                  const QuotaExceeded &Why, Time Now);

  /// Updates the gauges of workspaces. At most MaxSeries of them have gauges of
  /// their own.
  void updateGauges(Metrics &Counters);

  /// \return Leases of this VM.
  WorkspaceQuotas &getQuotas() { return Quotas_; }

private:
  static constexpr size_t MaxSeries = 20;

  /// A request that waits for its quota.
  struct HeldRequest {
    FlowIndex Flow_; ///< Number of the request.
    Time Since_;     ///< Time of arrival.
  };

  EventLog &Log_;                                 ///< Event log.
  RoutingConfigPtr Config_;                       ///< Configuration in force.
  WorkspaceQuotas Quotas_;                        ///< Leases of quotas.
  std::deque<HeldRequest> Held_;                  ///< Requests that wait.
  std::function<void(Time)> OnAskDue_;            ///< See the setter.
  std::function<bool(FlowIndex, bool)> OnSettle_; ///< See the setter.
  std::set<std::string> Series_;                  ///< Workspaces with gauges.
  WorkspaceTable Keys_; ///< Keys of the configuration.
};

} // namespace cranberry

#endif
