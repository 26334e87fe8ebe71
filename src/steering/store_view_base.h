/// \file store_view_base.h State that an entry VM reads from the store.
#ifndef CRANBERRY_STEERING_STORE_VIEW_BASE_H
#define CRANBERRY_STEERING_STORE_VIEW_BASE_H

#include "daemon/settings_type.h"
#include "observe/event_log_base.h"
#include "platform/store_client_base.h"
#include "process/store_source_selector_base.h"
#include "steering/store_follower_base.h"
#include "steering/store_relay_base.h"
#include "version/evacuation_set_base.h"
#include "version/routing_type.h"
#include "version/server_registry_base.h"

#include <array>
#include <functional>
#include <set>
#include <string>

namespace cranberry {

/// Callbacks of a view to its owner.
struct StoreViewHandlers {
  /// Called when a version of the configuration takes effect, with the time at
  /// which the store was known to hold nothing newer.
  std::function<void(const RoutingConfigPtr &, Time AsOf)> OnConfig_;
  /// Called when the usable servers have changed.
  std::function<void()> OnServers_;
  /// Called after a failure that may require traffic to move.
  std::function<void()> OnFailure_;
  /// Called when the entry VM that is read from has failed. No calls are made
  /// until the next setSource().
  /// \param Peer Its peer address.
  /// \param IsBehind Whether it answered that it can't read the store.
  std::function<void(const std::string &Peer, bool IsBehind)> OnReaderFailed_;
  /// Called when another entry VM asks for objects, which this one then has to
  /// read from the store.
  std::function<void()> OnReaderWanted_;
  /// Called when the store was restored from a copy, which may lack what this
  /// VM has written.
  std::function<void()> OnStoreRolledBack_;
};

/// Follows the configuration, the servers, the evacuations and the entry VMs.
/// The last known state stays in use while the store is unavailable.
class StoreView {
public:
  using StoreObject = platform::StoreObject;

  StoreView(boost::asio::io_context &Loop, platform::StoreClient &Store,
            const Settings &Config, EventLog &Log, StoreViewHandlers Handlers);

  /// Applies changed settings.
  void applySettings(const Settings &Config);

  /// Removes servers whose grace period has expired.
  void tick();

  /// Sets where to read from.
  void setSource(const StoreSourceTarget &Target);

  /// \return The present source.
  StoreSourceStatus getSourceStatus() const {
    return {Source_, Reader_, ServerFollower_.isUnavailable()};
  }

  /// \return Where updates come from at present.
  StoreSource getSource() const { return Source_; }

  /// Handles a store request of another entry VM that reads from this one.
  void handleRelayRequest(const IngressExchangePtr &Exchange);

  /// Records that a server is leaving or that another one responds at its
  /// address.
  /// \param StartTimeMs Start of the server that the request was meant for.
  /// \return Whether this is news.
  bool recordLeaving(const std::string &Server, int64_t StartTimeMs) {
    return Registry_.recordLeaving(Server, StartTimeMs, getNow());
  }

  const ServerRegistry &getRegistry() const { return Registry_; }

  /// \return Whether the configuration and the servers are known.
  bool isComplete() const { return Config_ && Registry_.isLoaded(); }

  /// \return Version of the active configuration, or 0.
  uint64_t getVersion() const { return Config_ ? Config_->Version_ : 0; }

  /// Applies a page of the configuration that another VM has in force.
  /// \param AsOf Time at which the store was known to hold nothing newer.
  /// \param[out] Why Set if the page can't be read.
  /// \return Whether a newer version has taken effect.
  bool applyRelayed(const std::string &Page, Time AsOf, Reason &Why);

  /// \return The configuration in force, for applyRelayed() at another VM;
  /// empty without one.
  std::string encodeActiveConfig() const;

  /// \return Time since the servers were last read.
  Duration getServerAge(Time Now) const { return ServerFollower_.getAge(Now); }

  /// \return Whether the last read of the configuration failed.
  bool isConfigUnavailable() const { return ConfigFollower_.isUnavailable(); }

  /// \return Whether a newer configuration would be known. The servers come
  /// from the same source and are read all the time.
  bool isConfigCurrent(Time Now) const {
    return !ConfigFollower_.isUnavailable() && getServerAge(Now) < MaxAge_;
  }

private:
  FollowHandlers makeConfigHandlers();
  FollowHandlers makeServerHandlers();
  FollowHandlers makeEvacuationHandlers();
  void applyConfig(const StoreObject &Object, Time AsOf);
  Time getConfigReadTime() const {
    Time Now = getNow();
    return Now - ConfigFollower_.getAge(Now);
  }
  void applyServerList(const std::vector<StoreObject> &Objects);
  void applyServerChange(const platform::StoreChange &Change);
  void applyEvacuations();
  void onNewEra(const StoreFollower &Source);
  Duration getMaxColdDuration() const;
  void addRelayHandlers(const std::string &Kind, FollowHandlers &Handlers);
  std::array<StoreFollower *, 3> getFollowers() {
    return {&ConfigFollower_, &ServerFollower_, &EvacuationFollower_};
  }
  void onRelayFailed(platform::StoreStatus Status, const std::string &Text);
  RelayState getRelayState(bool IsDirect) const;

  boost::asio::io_context &Loop_;    ///< Event loop.
  EventLog &Log_;                    ///< Event log.
  StoreViewHandlers Handlers_;       ///< Callbacks to the owner.
  ServerRegistry Registry_;          ///< Known servers.
  EvacuationSet Evacuations_;        ///< Zones that get no requests.
  platform::StoreEra Era_ = 0;       ///< Latest era of the store.
  RoutingConfigPtr Config_;          ///< Active configuration.
  StoreObject ConfigObject_;         ///< Object that Config_ was decoded from.
  bool HaveServersChanged_ = false;  ///< Whether to call OnServers_.
  StoreFollower ConfigFollower_;     ///< Follows the configuration.
  StoreFollower ServerFollower_;     ///< Follows the servers.
  StoreFollower EvacuationFollower_; ///< Follows evacuations.
  StoreRelay Relay_;                 ///< Relays objects to other entry VMs.
  StoreSource Source_ = StoreSource::None; ///< Where to read from.
  std::string Reader_; ///< Peer that is read from, or empty.
  std::unique_ptr<platform::StoreClient> ReaderClient_; ///< Calls to that peer.
  Duration MaxFreshAge_{0};   ///< Maximum age of servers that are relayed.
  Duration MaxRelayedAge_{0}; ///< The same if they come from another VM.
  Duration MaxAge_{0};        ///< Bound on the age of what a VM in touch knows.
};

} // namespace cranberry

#endif
