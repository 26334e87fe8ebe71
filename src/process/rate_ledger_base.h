/// \file rate_ledger_base.h Divides the request rates of servers among VMs.
#ifndef CRANBERRY_PROCESS_RATE_LEDGER_BASE_H
#define CRANBERRY_PROCESS_RATE_LEDGER_BASE_H

#include "core/rate_limit_type.h"

#include <map>
#include <string>

namespace cranberry {

/// Divides the request rate that a server accepts among the entry VMs that use
/// it. All of them report to the VM that keeps the server's ledger; see
/// selectRateLedgerVm().
///
/// Shares are max-min fair: a VM that needs less than an equal part gets what
/// it needs, and the others divide the rest. The shares of all VMs add up to no
/// more than the limit once each of them has reported since the last change.
class RateLedger {
public:
  /// A VM that hasn't reported for this long has no share.
  static constexpr Duration ReportLifetime = milliseconds(1500);

  /// Records that \p Vm needs \p Demand starts per second at \p Server.
  /// \param Named Limit that \p Vm knows.
  /// \param Scale Part of the limit that may be assigned.
  /// \return Share of \p Vm in starts per second.
  double report(const std::string &Server, const std::string &Vm, double Demand,
                const NamedRateLimit &Named, double Scale, Time Now);

  /// \return Newest limit that any VM reported for \p Server.
  NamedRateLimit getLimit(const std::string &Server) const;

  /// Removes reports that have expired.
  void expire(Time Now);

private:
  /// Last report of one VM.
  struct Report {
    double Demand_ = 0; ///< Starts per second that it needs.
    Time At_;           ///< Time of the report.
  };

  struct Account {
    NamedRateLimit Limit_;                  ///< Newest limit.
    std::map<std::string, Report> Reports_; ///< By entry VM.
  };

  static void expire(Account &Known, Time Now);
  static double getFairShare(const Account &Known, const std::string &Vm,
                             double Total);

  std::map<std::string, Account> Accounts_; ///< By instance id.
};

} // namespace cranberry

#endif
