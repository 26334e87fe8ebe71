/// \file steering_vm_base.h An entry VM that steers the store's routes.
#ifndef CRANBERRY_STEERING_STEERING_VM_BASE_H
#define CRANBERRY_STEERING_STEERING_VM_BASE_H

#include "core/event_log_base.h"
#include "daemon/settings_type.h"
#include "net/ingress_server_base.h"
#include "platform/store_client_base.h"
#include "steering/peer_exchange_base.h"
#include "steering/request_router_base.h"
#include "steering/store_follower_base.h"
#include "version/server_registry_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>
#include <string>

namespace cranberry {

/// Joins ports, followers of the store, peers and the request path on one
/// thread; lives as long as the process.
class SteeringVm {
public:
  /// \param Incarnation Larger than that of any earlier process of this VM.
  SteeringVm(Settings Config, uint64_t Incarnation);

  /// Opens the ports and starts to follow the store.
  /// \param[out] Why Set if the result is false.
  bool start(Reason &Why);

  /// Serves until a planned stop has ended.
  void run();

private:
  Member makeSelf(uint64_t Incarnation) const;
  StoreFollower makeConfigFollower();
  StoreFollower makeServerFollower();
  StoreFollower makeEvacuationFollower();
  StoreFollower makeVmFollower();
  void takeConfig(const platform::StoreObject &Object);
  void takeServer(const platform::StoreObject &Object, bool IsRemoved);
  void takeEvacuations();
  void takeMembers();
  void takeVm(const platform::StoreObject &Object);
  nlohmann::json makeEntry() const;
  void announce();
  void takeAnnounced(const platform::StoreReply &Reply);
  void refresh();
  void tick();
  void waitForSignal();
  void stop();
  void finishStop();
  bool isReady() const;
  void answerReadiness(const IngressExchangePtr &Exchange);
  void answerLookup(const IngressExchangePtr &Exchange);
  std::vector<std::string>
  getAddresses(const platform::LookupQuestion &Question) const;
  Duration getColdDuration() const;

  Settings Settings_;                  ///< Settings.
  boost::asio::io_context Loop_;       ///< Loop.
  EventLog Log_;                       ///< Log.
  platform::StoreClient Store_;        ///< Store.
  ServerRegistry Registry_;            ///< Servers.
  std::set<std::string> Evacuated_;    ///< Zones that get no work.
  RoutingConfigPtr Config_;            ///< In force.
  RequestRouter Router_;               ///< Request path.
  PeerExchange Peers_;                 ///< Other entry VMs.
  IngressServer Front_;                ///< Port for clients.
  IngressServer Readiness_;            ///< Port for readiness checks.
  IngressServer Directory_;            ///< Port for look-ups.
  StoreFollower ConfigFollower_;       ///< Follows the configuration.
  StoreFollower ServerFollower_;       ///< Follows the servers.
  StoreFollower EvacuationFollower_;   ///< Follows evacuations.
  StoreFollower VmFollower_;           ///< Follows the entry VMs.
  boost::asio::steady_timer Tick_;     ///< Periodic work.
  boost::asio::steady_timer Announce_; ///< Next try to announce this VM.
  boost::asio::signal_set Signals_;    ///< Stop and reload.
  uint64_t RegistryVersion_ = 0;       ///< Last one that the router got.
  size_t MemberCount_ = 0;             ///< Entry VMs at the last change.
  bool MembersChanged_ = true;         ///< Since the router got them.
  bool IsStopping_ = false;            ///< A planned stop has begun.
  Time StopBy_;                        ///< End of the planned stop.
};

} // namespace cranberry

#endif
