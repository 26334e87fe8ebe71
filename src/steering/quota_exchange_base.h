/// \file quota_exchange_base.h Leases of workspaces' quotas between entry VMs.
#ifndef CRANBERRY_STEERING_QUOTA_EXCHANGE_BASE_H
#define CRANBERRY_STEERING_QUOTA_EXCHANGE_BASE_H

#include "daemon/settings_type.h"
#include "net/http_client_base.h"
#include "net/ingress_server_base.h"
#include "observe/event_log_base.h"
#include "steering/peer_exchange_base.h"
#include "steering/quota_codec_func.h"
#include "steering/workspace_admission_base.h"
#include "workspace/quota_holders_base.h"
#include "workspace/quota_ledger_base.h"

#include <boost/asio/steady_timer.hpp>

#include <string>
#include <vector>

namespace cranberry {

/// Asks the holders of quotas for the leases that this VM needs, and grants
/// leases of the quotas that it holds.
class QuotaExchange {
public:
  /// Path of requests for leases on the port for other entry VMs.
  static constexpr const char *Path = "/v1/quota-leases";

  QuotaExchange(boost::asio::io_context &Loop, WorkspaceAdmission &Admission,
                const PeerExchange &Peers, EventLog &Log);

  /// Applies settings; quotas are enforced if they hold a window.
  void applySettings(const Settings &Config);

  /// \param Count Number of VMs that have entries in the store.
  void setListedCount(size_t Count) { Holders_.setListedCount(Count); }

  /// Handles a request for leases.
  /// \return Whether \p Exchange is one.
  bool handleRequest(const IngressExchangePtr &Exchange);

private:
  void run();
  void scheduleRun(Time At);
  void updatePeers(Time Now);
  void sendAsks(Time Now);
  void sendReport(const std::string &Holder, const QuotaReport &Report,
                  Time Now);
  std::vector<QuotaLease> grant(const QuotaReport &Report);
  void applyLeases(const QuotaReport &Report,
                   const std::vector<QuotaLease> &Leases, Time AskedAt);

  WorkspaceAdmission &Admission_;   ///< Uses the leases.
  const PeerExchange &Peers_;       ///< Knows the entry VMs.
  EventLog &Log_;                   ///< Event log.
  QuotaTerms Terms_;                ///< Required accuracy.
  QuotaHolders Holders_;            ///< Selects the holders.
  QuotaLedger Ledger_;              ///< Quotas that this VM holds.
  HttpClient Client_;               ///< Connections to other entry VMs.
  boost::asio::steady_timer Timer_; ///< Timer of run().
  Time NextRun_ = Time::max();      ///< Time at which Timer_ expires.
  Time LastUpdate_;                 ///< Time of the last periodic update.
};

} // namespace cranberry

#endif
