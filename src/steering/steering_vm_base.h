/// \file steering_vm_base.h Process of an entry VM on the users' platform.
#ifndef CRANBERRY_STEERING_STEERING_VM_BASE_H
#define CRANBERRY_STEERING_STEERING_VM_BASE_H

#include "daemon/settings_reload_base.h"
#include "net/ingress_server_base.h"
#include "observe/event_log_base.h"
#include "observe/metrics_base.h"
#include "platform/store_client_base.h"
#include "process/store_source_selector_base.h"
#include "steering/config_exchange_base.h"
#include "steering/peer_exchange_base.h"
#include "steering/quota_exchange_base.h"
#include "steering/rate_share_exchange_base.h"
#include "steering/request_router_base.h"
#include "steering/store_view_base.h"
#include "steering/vm_discovery_base.h"
#include "steering/vm_load_monitor_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>
#include <vector>

namespace cranberry {

/// Runs the ports, the store view, the peer exchange and the request path on
/// one thread. Lives as long as the process.
class SteeringVm {
public:
  /// \param Config Settings at start.
  /// \param SettingsPath File that \p Config was read from; it is checked for
  /// changes.
  /// \param Incarnation Larger than that of any earlier process of this VM.
  SteeringVm(Settings Config, const std::string &SettingsPath,
             uint64_t Incarnation);

  /// Opens the ports and starts to read from the store.
  /// \param[out] Why Set if the result is false.
  bool start(Reason &Why);

  /// Serves until a graceful shutdown has ended.
  void run();

private:
  Member makeSelf(uint64_t Incarnation) const;
  StoreViewHandlers makeViewHandlers();
  nlohmann::json makeVmEntry() const;
  void applyConfig(const RoutingConfigPtr &Config, Time AsOf);
  void onMembersChanged();
  void announce();
  void onAnnounceResponse(const platform::StoreResponse &Reply);
  void updateRouterServers();
  void tick();
  void reloadSettings();
  void updateReader();
  void onVmsListed(const std::vector<std::string> &Peers);
  void startReading();
  void updateLoad();
  void updateDemand();
  void waitForSignal();
  void startShutdown();
  void pollShutdown();
  ConfigCurrency getConfigCurrency() const;
  bool isReady() const {
    return View_.isComplete() && !IsStopping_ && !Configs_.isOutdated(getNow());
  }
  void handlePeerRequest(const IngressExchangePtr &Exchange);
  void handleReadiness(const IngressExchangePtr &Exchange);
  void handleLookup(const IngressExchangePtr &Exchange);
  void handleMetrics(const IngressExchangePtr &Exchange);

  /// Period of work that isn't triggered by an event.
  static constexpr Duration TickPeriod = StoreSourceSelector::Period;

  Settings Settings_;            ///< Settings in force.
  SettingsFile SettingsFile_;    ///< File that is checked for changes.
  Time NextSettingsCheck_;       ///< Time of the next check of the file.
  Time NextDemandUpdate_;        ///< Time of the next sum of the demand.
  Time NextRateLog_;             ///< Time of the next log of limited servers.
  boost::asio::io_context Loop_; ///< Event loop.
  EventLog Log_;                 ///< Event log.
  Metrics Metrics_;              ///< Metrics of the daemon.
  platform::StoreClient Store_;  ///< Calls to the store.
  StoreView View_;               ///< State read from the store.
  RequestRouter Router_;         ///< Routes client requests.
  PeerExchange Peers_;           ///< Heartbeats with other entry VMs.
  RateShareExchange RateShares_; ///< Shares of servers' request rates.
  QuotaExchange Quotas_;         ///< Leases of workspaces' quotas.
  ConfigExchange Configs_;       ///< Configurations of other entry VMs.
  VmLoadMonitor VmLoad_;         ///< Load of this VM.
  IngressServer ClientPort_;     ///< Port for clients.
  IngressServer ReadinessPort_;  ///< Port for readiness checks.
  IngressServer LookupPort_;     ///< Port for look-ups.
  IngressServer MetricsPort_;    ///< Port for metrics.
  VmDiscovery Discovery_;        ///< Finds other entry VMs.
  boost::asio::steady_timer TickTimer_;     ///< Timer of periodic work.
  boost::asio::steady_timer AnnounceTimer_; ///< Timer of the next registration.
  boost::asio::steady_timer StartTimer_;    ///< Ends the wait for contact.
  StoreSourceSelector Sources_;     ///< Selects the source of store updates.
  bool IsReading_ = false;          ///< Whether store updates are read.
  boost::asio::signal_set Signals_; ///< Shutdown and reload.
  uint64_t AppliedRegistryVersion_ = 0; ///< Last version passed to the router.
  size_t MemberCount_ = 0;        ///< Number of entry VMs at the last change.
  bool HasMembersChanged_ = true; ///< Whether the router has an old list.
  bool IsStopping_ = false;       ///< Whether a graceful shutdown has begun.
  Time ShutdownDeadline_;         ///< Latest end of the graceful shutdown.
};

} // namespace cranberry

#endif
