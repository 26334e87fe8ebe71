/// \file workspace_quotas_base.h Limits the requests of workspaces at one VM.
#ifndef CRANBERRY_WORKSPACE_WORKSPACE_QUOTAS_BASE_H
#define CRANBERRY_WORKSPACE_WORKSPACE_QUOTAS_BASE_H

#include "version/workspace_type.h"
#include "workspace/quota_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// What a VM does with a workspace, for operators.
struct QuotaUse {
  std::string Workspace_; ///< Name.
  double Limit_ = 0;      ///< Quota in requests per second.
  double Rate_ = 0;       ///< Rate of this VM's lease.
  uint64_t Taken_ = 0;    ///< Requests admitted so far.
  uint64_t Refused_ = 0;  ///< Requests refused so far.
};

/// Token buckets of an entry VM for its leases of workspaces' quotas.
///
/// Nothing is admitted without a lease, so a restart admits nothing twice and
/// the VMs of a network partition can't use more than their holder leases.
class WorkspaceQuotas {
public:
  /// \param Terms Required accuracy.
  void setTerms(const QuotaTerms &Terms) { Terms_ = Terms; }

  /// Applies the quotas of a version of the configuration.
  void setWorkspaces(const std::vector<WorkspaceConfig> &Workspaces,
                     uint64_t Version);

  /// Decides about a new request.
  QuotaDecision take(const WorkspaceConfig &Workspace, Time Now);

  /// Decides again about a request for which the result was QuotaPending.
  /// \param IsLast Whether it may not wait any longer.
  QuotaDecision retake(const WorkspaceConfig &Workspace, bool IsLast, Time Now);

  /// Takes a token for a request that may have run once already.
  /// \return Whether there is one.
  bool tryTakeRepeat(const WorkspaceConfig &Workspace, Time Now);

  /// Gives back the token of a request that reached no server.
  void giveBack(const std::string &Workspace, const QuotaTaken &Taken,
                Time Now);

  /// \return Requests for leases that are due.
  std::vector<QuotaAsk> takeAsks(Time Now);

  /// \return Time at which takeAsks() has to be called next, at the latest.
  Time getNextAsk(Time Now) const;

  /// Applies the answer to a request for a lease.
  /// \param AskedAt Time of the request.
  void applyLease(const QuotaLease &Lease, Time AskedAt, Time Now);

  /// Records that the holder didn't answer.
  /// \param AskedAt Time of the request.
  void recordNoAnswer(const std::string &Workspace, Time AskedAt, Time Now);

  /// \return The workspaces with the most refusals.
  /// \param Limit Largest number of workspaces.
  std::vector<QuotaUse> getUse(size_t Limit) const;

  /// \return Number of workspaces with a quota that this VM has served.
  size_t getCount() const { return Shares_.size(); }

private:
  /// What is known of the room beyond the lease.
  enum class Room : uint8_t {
    Unknown,   ///< The holder hasn't been asked.
    Left,      ///< The holder met the demand.
    Exhausted, ///< The holder didn't meet the demand, or didn't answer.
  };

  struct Share {
    WorkspaceQuota Quota_;       ///< Quota in force.
    Room Room_ = Room::Unknown;  ///< Room beyond the lease.
    QuotaLeaseId Lease_;         ///< Lease in use.
    double Rate_ = 0;            ///< Its rate per second.
    double Capacity_ = 0;        ///< Largest number of tokens.
    Time EndsAt_;                ///< Its end.
    Time RenewAt_ = Time::max(); ///< When another one is requested.
    double Tokens_ = 0;          ///< Tokens at RefilledAt_.
    Time RefilledAt_;            ///< Time of Tokens_.
    double Demand_ = 0;          ///< Recent requests per second.
    Time DemandAt_;              ///< Time of Demand_.
    double Missing_ = 0;         ///< Requests without a token since the ask.
    double Asked_ = 0;           ///< Tokens requested.
    double AskedRate_ = 0;       ///< Rate requested.
    Time AskedAt_;               ///< Time of the last ask.
    Time AnsweredAt_;            ///< Time of the last answer.
    Time RoomAt_;                ///< Time of Room_.
    bool IsAsking_ = false;      ///< Whether an answer is due.
    Time ReservedUntil_;         ///< End of the wait for the next token.
    Time LastReturn_;            ///< Latest time given to a refused client.
    uint64_t Taken_ = 0;         ///< Requests admitted.
    uint64_t Refused_ = 0;       ///< Requests refused.
  };

  Share &getShare(const WorkspaceConfig &Workspace, Time Now);
  void refill(Share &Known, Time Now) const;
  static void decayDemand(Share &Known, Time Now);
  static bool tryReserve(Share &Known, bool IsNew, Time Now);
  QuotaDecision decide(Share &Known, bool IsNew, bool IsLast, Time Now);
  QuotaExceeded refuse(Share &Known, Time Now) const;
  static double getWanted(const Share &Known);
  static bool isDue(const Share &Known, Time AskedAt);
  static bool isOversized(const Share &Known, Time Now);
  static Time getAskTime(const Share &Known);

  QuotaTerms Terms_;                    ///< Required accuracy.
  uint64_t Version_ = 0;                ///< Version of the configuration.
  std::map<std::string, Share> Shares_; ///< By workspace.
};

} // namespace cranberry

#endif
