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
  nlohmann::json makeEntry() const;
  void takeConfig(const RoutingConfigPtr &Config);
  void takeMembers();
  void announce();
  void takeAnnounced(const platform::StoreReply &Reply);
  void refresh();
  void tick();
  void reloadSettings();
  void chooseReader();
  void waitForSignal();
  void stop();
  void finishStop();
  bool isReady() const { return View_.isComplete() && !IsStopping_; }
  void answerReadiness(const IngressExchangePtr &Exchange);
  void answerLookup(const IngressExchangePtr &Exchange);
  void answerMetrics(const IngressExchangePtr &Exchange);

  Settings Settings_;                  ///< Settings.
  SettingsFile SettingsFile_;          ///< Where they change.
  Time NextReload_;                    ///< When the file is looked at again.
  boost::asio::io_context Loop_;       ///< Loop.
  EventLog Log_;                       ///< Log.
  Metrics Metrics_;                    ///< Counters.
  platform::StoreClient Store_;        ///< Store.
  StoreView View_;                     ///< What is known from it.
  RequestRouter Router_;               ///< Request path.
  PeerExchange Peers_;                 ///< Other entry VMs.
  IngressServer Front_;                ///< Port for clients.
  IngressServer Readiness_;            ///< Port for readiness checks.
  IngressServer Directory_;            ///< Port for look-ups.
  IngressServer MetricsPort_;          ///< Port for metrics.
  boost::asio::steady_timer Tick_;     ///< Periodic work.
  boost::asio::steady_timer Announce_; ///< Next try to announce this VM.
  boost::asio::signal_set Signals_;    ///< Stop and reload.
  uint64_t RegistryVersion_ = 0;       ///< Last one that the router got.
  size_t MemberCount_ = 0;             ///< Entry VMs at the last change.
  bool MembersChanged_ = true;         ///< Since the router got them.
  Time RescueUntil_;                   ///< Hears from any VM until then.
  bool IsStopping_ = false;            ///< A planned stop has begun.
  Time StopBy_;                        ///< End of the planned stop.
};

} // namespace cranberry

#endif
