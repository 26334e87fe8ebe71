/// \file quota_ledger_base.h Divides the quotas of workspaces among entry VMs.
#ifndef CRANBERRY_WORKSPACE_QUOTA_LEDGER_BASE_H
#define CRANBERRY_WORKSPACE_QUOTA_LEDGER_BASE_H

#include "workspace/quota_type.h"

#include <functional>
#include <map>
#include <vector>

namespace cranberry {

/// Accounts of the quotas that this VM holds.
///
/// The quota's rate is either leased to VMs or fills the account's bucket, from
/// which a lease gets its first tokens. So the tokens of all VMs and of the
/// bucket together grow no faster than the rate, and never exceed the capacity.
/// A lease counts until it has ended or the VM uses a later one.
class QuotaLedger {
public:
  /// \param Issuer Incarnation of this VM.
  explicit QuotaLedger(uint64_t Issuer) : Issuer_(Issuer) {}

  /// \param Terms Required accuracy.
  void setTerms(const QuotaTerms &Terms) { Terms_ = Terms; }

  /// Grants a lease.
  /// \param Vm Name of the VM that asks.
  /// \param Scale Part of the quota that may be leased.
  /// \param Term Since when this VM holds the quota.
  QuotaLease lease(const QuotaAsk &Ask, const std::string &Vm, double Scale,
                   const QuotaTerm &Term, Time Now);

  /// Closes the accounts of workspaces for which \p IsHeld is false.
  void retain(const std::function<bool(const std::string &)> &IsHeld);

  /// Closes idle accounts whose buckets are full.
  void expire(Time Now);

  /// \return Number of accounts.
  size_t getCount() const { return Accounts_.size(); }

private:
  /// A lease that may be in use.
  struct Granted {
    uint64_t Number_ = 0; ///< Number of the lease.
    double Rate_ = 0;     ///< Requests per second.
    double Capacity_ = 0; ///< Tokens that the VM may save up.
    Time EndsAt_;         ///< End of the lease.
  };

  /// What is known of one VM.
  struct Borrower {
    std::vector<Granted> Leases_; ///< Leases that may be in use.
    double Demand_ = 0;           ///< Last demand, in requests per second.
    Time DemandUntil_;            ///< End of the demand.
  };

  struct Account {
    WorkspaceQuota Quota_;                      ///< Newest quota.
    uint64_t Version_ = 0;                      ///< Its configuration version.
    Time HolderSince_;                          ///< Start of the term.
    bool HasPredecessor_ = false;               ///< See QuotaTerm.
    double Scale_ = 1;                          ///< Last scale of lease().
    double Tokens_ = 0;                         ///< Tokens in the bucket.
    Time RefilledAt_;                           ///< Time of Tokens_.
    Time AskedAt_;                              ///< Time of the last request.
    std::map<std::string, Borrower> Borrowers_; ///< By entry VM.
  };

  /// Sum over the leases of some VMs.
  struct Sum {
    double Rate_ = 0;     ///< Requests per second.
    double Capacity_ = 0; ///< Tokens.
  };

  Account &open(const QuotaAsk &Ask, const QuotaTerm &Term, Time Now);
  double getAssumedRate(const Account &Known, Time At) const;
  void refill(Account &Known, double Scale, Time Now) const;
  static void recordUsed(Borrower &Self, const QuotaAsk &Ask);
  static void endLeases(Account &Known, Time Now);
  static Sum getLeased(const Account &Known, const std::string *Except);
  static double getFairShare(const Account &Known, const std::string &Vm,
                             double Total);

  uint64_t Issuer_;                         ///< Incarnation of this VM.
  uint64_t NextNumber_ = 1;                 ///< Number of the next lease.
  QuotaTerms Terms_;                        ///< Required accuracy.
  std::map<std::string, Account> Accounts_; ///< By workspace.
};

} // namespace cranberry

#endif
