/// \file fair_share_base.h Divides room among workspaces when it is short.
#ifndef CRANBERRY_WORKSPACE_FAIR_SHARE_BASE_H
#define CRANBERRY_WORKSPACE_FAIR_SHARE_BASE_H

#include "core/time_type.h"
#include "version/routing_type.h"

#include <absl/container/flat_hash_map.h>

#include <string>

namespace cranberry {

/// Ranks the requests of workspaces that have used more than their share of a
/// service behind the requests of the others, while not all can be served.
///
/// Answers the load of one workspace that sends many times its usual. Shares
/// are weighted max-min fair: a workspace that needs less than its part gets
/// what it needs, and the others divide the rest by weight. Demand and use are
/// sums of work that decay with time, as in a fair-share scheduler (Kay and
/// Lauder, 1988), so that unused room is nobody's.
class FairShare {
public:
  /// Priority of a workspace that has used far more than its share, relative
  /// to that of the others. It stays above the ratio of two ranks.
  static constexpr double MinFactor = 0.45;

  /// Records that a request has arrived.
  /// \param Weight Part of the workspace relative to others; above 0.
  /// \param Work Expected time in a slot.
  void recordArrival(const std::string &Workspace, double Weight, Duration Work,
                     Time Now);

  /// Records that a request was started, whether or not it is answered.
  void recordStart(const std::string &Workspace, Duration Work, Time Now);

  /// \return Factor on the priority of the workspace's requests, from MinFactor
  /// to 1; 1 as long as there is room for all.
  double getFactor(const std::string &Workspace, Time Now);

private:
  /// Recent work of one workspace, in seconds of slots.
  struct Account {
    double Weight_ = 1;
    double Demand_ = 0; ///< Work of requests that arrived.
    double Use_ = 0;    ///< Work of requests that were started.
  };

  void update(Time Now);
  void computeLevel();

  absl::flat_hash_map<std::string, Account> Accounts_; ///< By workspace.
  double Level_ = 0; ///< Share for each unit of weight; 0 for no limit.
  Time Updated_;     ///< Time up to which the sums have decayed.
};

/// \return Weight of a workspace in the division of room: the rate of its
/// quota, which is what its customer has agreed with the operator. Without a
/// quota it is the highest rate of all; 1 if there are no quotas.
double getFairWeight(const RoutingConfig &Config,
                     const WorkspaceConfig &Workspace);

} // namespace cranberry

#endif
