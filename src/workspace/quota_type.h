/// \file quota_type.h Leases of workspaces' quotas.
#ifndef CRANBERRY_WORKSPACE_QUOTA_TYPE_H
#define CRANBERRY_WORKSPACE_QUOTA_TYPE_H

#include "core/time_type.h"
#include "version/workspace_type.h"

#include <cstdint>
#include <string>
#include <variant>

namespace cranberry {

/// Accuracy that is required of quotas.
struct QuotaTerms {
  Duration Window_{0}; ///< Window in which requests are counted; 0 if quotas
                       ///< aren't enforced.
  double Slack_ = 0;   ///< Requests allowed in a window beyond the quota.

  bool isEnforced() const { return Window_ > Duration(0); }

  /// Lifetime of a lease of a quota that is nearly used up.
  Duration getShortLease() const { return Window_ * 3 / 25; }

  /// Lifetime of a lease of a quota that isn't nearly used up.
  Duration getLongLease() const { return Window_ * 4 / 5; }

  /// How long a new holder waits for the short leases of the previous one, and
  /// for all VMs to learn of the change.
  Duration getTakeoverDelay() const { return Window_ / 5; }

  /// Tokens that may be saved up by all VMs together. Half of the slack is for
  /// whole tokens at VMs with small shares.
  double getCapacity(const WorkspaceQuota &Quota) const {
    return Quota.Burst_ + Slack_ / 2;
  }
};

/// Since when a VM holds a quota.
struct QuotaTerm {
  Time Since_;                 ///< Start of the term.
  bool HasPredecessor_ = true; ///< Whether leases of another holder, or of an
                               ///< earlier process, may be in use.
};

/// Identifies a lease.
struct QuotaLeaseId {
  uint64_t Issuer_ = 0; ///< Incarnation of the holder.
  uint64_t Number_ = 0; ///< Increases with each lease of the holder.
};

/// An entry VM's request for a part of a quota.
struct QuotaAsk {
  std::string Workspace_; ///< Name of the workspace.
  WorkspaceQuota Quota_;  ///< Quota that the VM knows.
  uint64_t Version_ = 0;  ///< Version of the configuration with that quota.
  double Demand_ = 0;     ///< Requests per second to be served.
  double Tokens_ = 0;     ///< Requests to be served at once.
  double LeasedRate_ = 0; ///< Rate that the VM uses of its lease from now on.
  QuotaLeaseId Lease_;    ///< Lease in use.
};

/// A part of a quota for a limited time.
struct QuotaLease {
  std::string Workspace_; ///< Name of the workspace.
  QuotaLeaseId Id_;       ///< Replaces all earlier leases of the VM.
  double Rate_ = 0;       ///< Requests per second.
  double Capacity_ = 0;   ///< Largest number of tokens saved up.
  double Tokens_ = 0;     ///< Tokens to be used at once.
  Duration Life_{0};      ///< Lifetime, from the time of the request.
};

/// The request may be served.
struct QuotaTaken {
  Time ValidUntil_; ///< Until then, the token may be given back.
};

/// The quota is used up.
struct QuotaExceeded {
  Duration RetryAfter_{0}; ///< Time until there is room.
  double Limit_ = 0;       ///< Quota per second.
  double Rate_ = 0;        ///< Rate of this VM's lease per second.
  double Left_ = 0;        ///< Tokens left of it.
  Duration Age_{0};        ///< Time since the holder's last answer.
};

/// The holder of the quota has to be asked first.
struct QuotaPending {};

using QuotaDecision = std::variant<QuotaTaken, QuotaExceeded, QuotaPending>;

} // namespace cranberry

#endif
