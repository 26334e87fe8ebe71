/// \file steering_vm_base.h An entry VM that steers the store's routes.
#ifndef CRANBERRY_STEERING_STEERING_VM_BASE_H
#define CRANBERRY_STEERING_STEERING_VM_BASE_H

#include "daemon/settings_reload_base.h"
#include "net/ingress_server_base.h"
#include "observe/event_log_base.h"
#include "observe/metrics_base.h"
#include "platform/store_client_base.h"
#include "steering/peer_exchange_base.h"
#include "steering/request_router_base.h"
#include "steering/store_view_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>

namespace cranberry {

/// Joins ports, the view of the store, peers and the request path on one
/// thread; lives as long as the process.
class SteeringVm {
public:
  /// \param SettingsPath Where \p Config was read; looked at for changes.
  /// \param Incarnation Larger than that of any earlier process of this VM.
  SteeringVm(Settings Config, const std::string &SettingsPath,
             uint64_t Incarnation);

  /// Opens the ports and starts to follow the store.
  /// \param[out] Why Set if the result is false.
  bool start(Reason &Why);

  /// Serves until a planned stop has ended.
  void run();

private:
  Member makeSelf(uint64_t Incarnation) const;
  StoreViewHandlers makeViewHandlers();
  nlohmann::json makeVmEntry() const;
  void applyConfig(const RoutingConfigPtr &Config);
  void onMembersChanged();
  void announce();
  void onAnnounceResponse(const platform::StoreResponse &Reply);
  void updateRouterServers();
  void tick();
  void reloadSettings();
  void updateReader();
  void waitForSignal();
  void startShutdown();
  void pollShutdown();
  bool isReady() const { return View_.isComplete() && !IsStopping_; }
  void handleReadiness(const IngressExchangePtr &Exchange);
  void handleLookup(const IngressExchangePtr &Exchange);
  void handleMetrics(const IngressExchangePtr &Exchange);

  Settings Settings_;                   ///< Settings.
  SettingsFile SettingsFile_;           ///< Where they change.
  Time NextSettingsCheck_;              ///< When the file is looked at again.
  boost::asio::io_context Loop_;        ///< Loop.
  EventLog Log_;                        ///< Log.
  Metrics Metrics_;                     ///< Counters.
  platform::StoreClient Store_;         ///< Store.
  StoreView View_;                      ///< What is known from it.
  RequestRouter Router_;                ///< Request path.
  PeerExchange Peers_;                  ///< Other entry VMs.
  IngressServer ClientPort_;            ///< Port for clients.
  IngressServer ReadinessPort_;         ///< Port for readiness checks.
  IngressServer LookupPort_;            ///< Port for look-ups.
  IngressServer MetricsPort_;           ///< Port for metrics.
  boost::asio::steady_timer TickTimer_; ///< Periodic work.
  boost::asio::steady_timer AnnounceTimer_; ///< Next try to announce this VM.
  boost::asio::signal_set Signals_;         ///< Stop and reload.
  uint64_t AppliedRegistryVersion_ = 0;     ///< Last one that the router got.
  size_t MemberCount_ = 0;                  ///< Entry VMs at the last change.
  bool HasMembersChanged_ = true;           ///< Since the router got them.
  Time FallbackReaderUntil_;                ///< Hears from any VM until then.
  bool IsStopping_ = false;                 ///< A planned stop has begun.
  Time ShutdownDeadline_;                   ///< End of the planned stop.
};

} // namespace cranberry

#endif
