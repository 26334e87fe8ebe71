/// \file rate_share_exchange_base.h Shares of servers' request rates.
#ifndef CRANBERRY_STEERING_RATE_SHARE_EXCHANGE_BASE_H
#define CRANBERRY_STEERING_RATE_SHARE_EXCHANGE_BASE_H

#include "net/http_client_base.h"
#include "net/ingress_server_base.h"
#include "observe/event_log_base.h"
#include "process/rate_ledger_base.h"
#include "steering/peer_exchange_base.h"
#include "steering/rate_report_type.h"
#include "steering/request_router_base.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>

namespace cranberry {

/// Reports this VM's demand for servers with a limited request rate to the VMs
/// that keep their ledgers, applies the shares, and keeps ledgers for others.
///
/// A VM that can't reach a ledger, or hasn't used a server recently, has a
/// small fixed share, so that the sum over all VMs stays bounded.
class RateShareExchange {
public:
  /// Path of reports on the port for other entry VMs.
  static constexpr const char *Path = "/v1/rate-shares";

  RateShareExchange(boost::asio::io_context &Loop, RequestRouter &Router,
                    const PeerExchange &Peers, EventLog &Log);

  /// Sends the first reports.
  void start();

  /// Handles the report of another entry VM.
  void handleReport(const IngressExchangePtr &Exchange);

private:
  void sendReports();
  void scheduleReports(Duration Delay);
  void reportTo(const Member &Keeper, const RateReport &Report);
  RateReply applyReport(const RateReport &Report);
  void applyReply(const RateReply &Reply);
  void applyFallback(const std::string &Server, const NamedRateLimit &Named);
  double getScale() const;

  RequestRouter &Router_;           ///< Uses the shares.
  const PeerExchange &Peers_;       ///< Knows the entry VMs.
  EventLog &Log_;                   ///< Event log.
  RateLedger Ledger_;               ///< Ledgers that this VM keeps.
  HttpClient Client_;               ///< Connections to other entry VMs.
  boost::asio::steady_timer Timer_; ///< Timer of the next reports.
  Time NextReports_;                ///< Time at which Timer_ expires.
};

} // namespace cranberry

#endif
