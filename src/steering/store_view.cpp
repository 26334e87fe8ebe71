/// \file store_view.cpp State that an entry VM reads from the store.
#include "steering/store_view_base.h"

#include "core/duration_func.h"
#include "net/ingress_server_base.h"
#include "platform/decode_func.h"
#include "platform/wire_names.h"

#include <boost/asio/post.hpp>

#include <algorithm>

using cranberry::platform::StoreChange;
using cranberry::platform::StoreObject;

namespace cranberry {

namespace {

/// Servers write to the store every second or two, so watches on them return at
/// once, and each call has a cost. The minimum interval between two watches is
/// this share of the time after which a leaving server must get no requests.
constexpr double ServerWatchIntervalShare = 0.45;

/// Longest wait of a watch on servers, as a share of the same time. Responses
/// normally come much earlier. With a longer wait, a quiet time of the servers
/// would make what is relayed look out of date.
constexpr double ServerWatchWaitShare = 0.1;

/// Longest wait of a watch on the configuration. The store may drop a watch
/// silently; then heartbeats of other VMs tell of a change sooner.
constexpr Duration ConfigWatchWait = seconds(4);

/// Longest wait of a watch on evacuations. With the call's margin, a watch that
/// was dropped silently is given up after 4.5 s, and an evacuation must be in
/// force within 5 s.
constexpr Duration EvacuationWatchWait = seconds(3);

/// Longest wait of a watch on servers at another entry VM. Together with the
/// call's margin, a hung VM is abandoned after 0.75 s, of the 2 s in which a
/// change must be known.
constexpr Duration ServerRelayWait = milliseconds(400);

/// The same for the other kinds; the watch on servers shows that a VM hangs.
constexpr Duration OperatorRelayWait = milliseconds(1500);

/// Margin of the maximum age of relayed servers, for the latency of a response
/// with hundreds of renewed entries, as a share of the same time. The rest is
/// the minimum interval between two watches on servers.
constexpr double FreshAgeMarginShare = 0.14;

/// Maximum age of relayed servers that come from another VM, as a share of the
/// same time. That VM's watch adds its wait; the rest is for the VMs behind
/// this one to change their source.
constexpr double RelayedAgeShare = 0.75;

} // namespace

StoreView::StoreView(boost::asio::io_context &Loop,
                     platform::StoreClient &Store, const Settings &Config,
                     EventLog &Log, StoreViewHandlers Handlers)
    : Loop_(Loop), Log_(Log), Handlers_(std::move(Handlers)),
      ConfigFollower_(Loop, Store,
                      {platform::kind::Config, Duration(0), ConfigWatchWait,
                       OperatorRelayWait},
                      makeConfigHandlers(), Log),
      ServerFollower_(
          Loop, Store,
          {platform::kind::Servers, Duration(0), Duration(0), ServerRelayWait},
          makeServerHandlers(), Log),
      EvacuationFollower_(Loop, Store,
                          {platform::kind::Evacuations, Duration(0),
                           EvacuationWatchWait, OperatorRelayWait},
                          makeEvacuationHandlers(), Log),
      Relay_(Loop, [this](bool IsDirect) { return getRelayState(IsDirect); }) {
  Relay_.addKind(platform::kind::Config, ConfigFollower_);
  Relay_.addKind(platform::kind::Servers, ServerFollower_);
  Relay_.addKind(platform::kind::Evacuations, EvacuationFollower_);
  applySettings(Config);
}

void StoreView::applySettings(const Settings &Config) {
  ServerFollower_.setMinWatchInterval(
      scaleDuration(Config.ServerDrain_, ServerWatchIntervalShare));
  ServerFollower_.setMaxWatchWait(
      scaleDuration(Config.ServerDrain_, ServerWatchWaitShare));
  MaxAge_ = Config.ServerDrain_;
  MaxFreshAge_ = scaleDuration(Config.ServerDrain_,
                               ServerWatchIntervalShare + FreshAgeMarginShare);
  MaxRelayedAge_ = scaleDuration(Config.ServerDrain_, RelayedAgeShare);
}

void StoreView::addRelayHandlers(const std::string &Kind,
                                 FollowHandlers &Handlers) {
  Handlers.OnSuccess_ = [this, Kind] { Relay_.notifyWatches(Kind); };
  Handlers.OnRelayFailed_ = [this](platform::StoreStatus Status,
                                   const std::string &Text) {
    onRelayFailed(Status, Text);
  };
  Handlers.OnUnavailable_ = [this] { Relay_.refuseUnavailable(); };
}

RelayState StoreView::getRelayState(bool IsDirect) const {
  // A VM that starts is about to select its source.
  bool IsStarting = Source_ == StoreSource::None && !isComplete();
  bool IsReading = (Source_ == StoreSource::Store || IsStarting) &&
                   !ConfigFollower_.isUnavailable() &&
                   !ServerFollower_.isUnavailable() &&
                   !EvacuationFollower_.isUnavailable();
  bool IsListed = ConfigFollower_.isListed() && Registry_.isLoaded() &&
                  EvacuationFollower_.isListed();
  Duration Age = ServerFollower_.getAge(getNow());
  bool IsFresh = IsReading && !IsStarting && IsListed && Age <= MaxFreshAge_;
  // What this VM hears from another one is good for those that read the store
  // neither, within the age that it has there. A VM that can't read the store
  // itself doesn't accept it, or two of them could follow each other.
  if (IsFresh || (!IsDirect && IsListed && Age <= MaxRelayedAge_))
    return RelayState::Fresh;
  return IsReading ? RelayState::Pending : RelayState::Unavailable;
}

void StoreView::setSource(const StoreSourceTarget &Target) {
  auto [Source, Peer, IsDirect] = Target;
  if (Source == Source_ && Peer == Reader_) {
    if (ReaderClient_)
      ReaderClient_->requireDirect(IsDirect);
    return;
  }
  Log_.write(getNow(), "reader",
             {{"source", StoreSourceNames[static_cast<size_t>(Source)]},
              {"peer", Peer},
              {"before", Reader_}});
  bool WasPaused = Source_ == StoreSource::None;
  Source_ = Source;
  Reader_ = Peer;
  // Followers abandon their calls before the client is destroyed.
  std::unique_ptr<platform::StoreClient> Next;
  if (Source == StoreSource::Vm)
    Next = std::make_unique<platform::StoreClient>(Loop_, Peer,
                                                   platform::RelayTimeouts);
  if (Next)
    Next->requireDirect(IsDirect);
  bool IsPaused = Source == StoreSource::None;
  // Calls to a store that doesn't answer would end long after the other VM has
  // told of a change.
  bool IsStoreLost =
      Source == StoreSource::Vm && ServerFollower_.isUnavailable();
  for (StoreFollower *Each : getFollowers()) {
    if (IsPaused)
      Each->pause();
    Each->setRelay(Next.get(), !WasPaused && !IsPaused && !IsStoreLost);
    if ((WasPaused || IsStoreLost) && !IsPaused)
      Each->resume();
  }
  ReaderClient_ = std::move(Next);
  if (Source != StoreSource::Store)
    Relay_.refuseUnavailable();
}

void StoreView::onRelayFailed(platform::StoreStatus Status,
                              const std::string &Text) {
  Log_.write(
      getNow(), "reader-lost",
      {{"peer", Reader_},
       {"status", platform::StoreStatusNames[static_cast<size_t>(Status)]},
       {"text", Text}});
  std::string Failed = Reader_;
  for (StoreFollower *Each : getFollowers())
    Each->pause();
  // This runs in a callback of the client, so the next source is selected, and
  // the client destroyed, later.
  boost::asio::post(Loop_, [this, Failed, Status] {
    if (Source_ == StoreSource::Vm && Reader_ == Failed) {
      setSource({StoreSource::None, "", false});
      Handlers_.OnReaderFailed_(Failed,
                                Status != platform::StoreStatus::NoResponse);
    }
  });
}

void StoreView::handleRelayRequest(const IngressExchangePtr &Exchange) {
  Handlers_.OnReaderWanted_();
  Relay_.handleRequest(Exchange);
}

void StoreView::tick() {
  uint64_t Before = Registry_.getVersion();
  Registry_.removeExpired(getNow());
  if (Evacuations_.removeUnconfirmed(getNow()))
    applyEvacuations();
  if (Registry_.getVersion() != Before)
    Handlers_.OnServers_();
}

FollowHandlers StoreView::makeConfigHandlers() {
  FollowHandlers Result;
  addRelayHandlers(platform::kind::Config, Result);
  Result.OnList_ = [this](const std::vector<StoreObject> &Objects) {
    for (const StoreObject &Object : Objects)
      applyConfig(Object, getConfigReadTime());
  };
  Result.OnChange_ = [this](const StoreChange &Change) {
    if (!Change.IsRemoved_)
      applyConfig(Change.Object_, getConfigReadTime());
  };
  Result.OnNewEra_ = [this] { onNewEra(ConfigFollower_); };
  Result.IsPutOff_ = [this] { return ServerFollower_.isUnavailable(); };
  return Result;
}

FollowHandlers StoreView::makeServerHandlers() {
  FollowHandlers Result;
  addRelayHandlers(platform::kind::Servers, Result);
  Result.OnList_ = [this](const std::vector<StoreObject> &Objects) {
    applyServerList(Objects);
  };
  Result.OnChange_ = [this](const StoreChange &Change) {
    applyServerChange(Change);
  };
  // A response may hold hundreds of changes, and to apply them takes a
  // millisecond for each thousand servers.
  Result.OnSuccess_ = [this] {
    if (HaveServersChanged_)
      Handlers_.OnServers_();
    HaveServersChanged_ = false;
    Relay_.notifyWatches(platform::kind::Servers);
  };
  Result.OnUnavailable_ = [this] {
    Registry_.onStoreLost();
    Relay_.refuseUnavailable();
  };
  Result.OnNewEra_ = [this] {
    Registry_.onStoreRolledBack(getNow());
    onNewEra(ServerFollower_);
  };
  Result.OnRecovered_ = [this] {
    Registry_.onStoreRestored(getNow());
    // The others may wait on connections that were lost unnoticed.
    ConfigFollower_.resume();
    EvacuationFollower_.resume();
  };
  return Result;
}

FollowHandlers StoreView::makeEvacuationHandlers() {
  FollowHandlers Result;
  addRelayHandlers(platform::kind::Evacuations, Result);
  Result.OnList_ = [this](const std::vector<StoreObject> &Objects) {
    std::set<std::string> Zones;
    for (const StoreObject &Object : Objects)
      Zones.insert(Object.Name_);
    Evacuations_.applyList(Zones);
    applyEvacuations();
  };
  Result.OnChange_ = [this](const StoreChange &Change) {
    Evacuations_.applyChange(Change.Object_.Name_, Change.IsRemoved_);
    applyEvacuations();
  };
  Result.OnNewEra_ = [this] {
    Evacuations_.onStoreRolledBack(getNow());
    onNewEra(EvacuationFollower_);
  };
  Result.IsPutOff_ = [this] { return ServerFollower_.isUnavailable(); };
  return Result;
}

void StoreView::onNewEra(const StoreFollower &Source) {
  if (Source.getEra() <= Era_)
    return;
  Era_ = Source.getEra();
  // The other watches may wait for revisions that the store no longer has.
  for (StoreFollower *Each : getFollowers())
    if (Each != &Source && Each->getEra() < Era_)
      Each->restart();
  Handlers_.OnStoreRolledBack_();
}

void StoreView::applyConfig(const StoreObject &Object, Time AsOf) {
  if (Object.Name_ != platform::MainConfigName)
    return;
  Reason Why;
  std::optional<RoutingConfig> Decoded = platform::decodeRouting(Object, Why);
  if (!Decoded) {
    Log_.write(getNow(), "config-refused",
               {{"revision", Object.Revision_},
                {"code", static_cast<unsigned>(Why.Code_)},
                {"field", Why.Field_},
                {"text", Why.Message_}});
    return;
  }
  // The order of versions outlasts a rollback of the store, unlike that of
  // revisions. Responses may also arrive out of order.
  if (Config_ && Decoded->Version_ <= Config_->Version_) {
    if (Decoded->Version_ != Config_->Version_)
      Log_.write(getNow(), "config-ignored",
                 {{"version", Decoded->Version_},
                  {"revision", Object.Revision_},
                  {"activeVersion", Config_->Version_},
                  {"activeRevision", Config_->Revision_}});
    return;
  }
  auto Next = std::make_shared<RoutingConfig>(std::move(*Decoded));
  Log_.write(getNow(), "config",
             {{"version", Next->Version_},
              {"revision", Next->Revision_},
              {"routes", static_cast<uint64_t>(Next->Routes_.size())}});
  Config_ = Next;
  ConfigObject_ = Object;
  Handlers_.OnConfig_(Next, AsOf);
}

bool StoreView::applyRelayed(const std::string &Page, Time AsOf, Reason &Why) {
  std::optional<platform::StorePage> Decoded = platform::decodePage(Page, Why);
  uint64_t Before = getVersion();
  if (Decoded)
    for (const StoreObject &Object : Decoded->Objects_)
      applyConfig(Object, AsOf);
  return getVersion() > Before;
}

std::string StoreView::encodeActiveConfig() const {
  if (!Config_)
    return "";
  return platform::encodePage(
      {{ConfigObject_}, false, ConfigObject_.Revision_, {}});
}

void StoreView::applyServerList(const std::vector<StoreObject> &Objects) {
  std::vector<ServerRecord> Records;
  for (const StoreObject &Object : Objects) {
    Reason Why;
    std::optional<ServerRecord> Record = platform::decodeServer(Object, Why);
    if (Record)
      Records.push_back(std::move(*Record));
    else
      Log_.write(getNow(), "server-refused",
                 {{"server", Object.Name_},
                  {"code", static_cast<unsigned>(Why.Code_)},
                  {"field", Why.Field_},
                  {"text", Why.Message_}});
  }
  Registry_.applySnapshot(Records, getNow());
  Handlers_.OnServers_();
}

void StoreView::applyServerChange(const StoreChange &Change) {
  ServerChange Next;
  Next.IsRemoved_ = Change.IsRemoved_;
  Reason Why;
  std::optional<ServerRecord> Record =
      platform::decodeServer(Change.Object_, Why);
  if (Record)
    Next.Record_ = std::move(*Record);
  else // A server with an invalid entry can't be used.
    Next.IsRemoved_ = true;
  Next.Record_.InstanceId_ = Change.Object_.Name_;
  uint64_t Before = Registry_.getVersion();
  if (Registry_.applyChange(Next, getNow()) ==
      ServerChangeKind::UnexpectedRemoval)
    Handlers_.OnFailure_();
  if (Registry_.getVersion() == Before)
    return;
  Log_.write(getNow(), "server",
             {{"server", Change.Object_.Name_},
              {"removed", Next.IsRemoved_ ? 1 : 0},
              {"draining", Next.Record_.IsDraining_ ? 1 : 0},
              {"service", Next.Record_.Service_},
              {"zone", Next.Record_.Zone_},
              {"coldMs", Next.Record_.ColdRemaining_},
              {"revision", Change.Object_.Revision_},
              {"fault", Why.Field_}});
  HaveServersChanged_ = true;
}

Duration StoreView::getMaxColdDuration() const {
  Duration Longest{0};
  if (Config_)
    for (const BackendServiceConfig &Service : Config_->Services_)
      Longest = std::max(Longest, Service.ColdDuration_);
  return Longest;
}

void StoreView::applyEvacuations() {
  std::string Zones;
  for (const std::string &Zone : Evacuations_.getZones())
    Zones += (Zones.empty() ? "" : " ") + Zone;
  Log_.write(
      getNow(), "evacuations",
      {{"zones", Zones}, {"revision", EvacuationFollower_.getRevision()}});
  Registry_.setEvacuatedZones(Evacuations_.getZones(), getMaxColdDuration(),
                              getNow());
  if (!Evacuations_.getZones().empty())
    Handlers_.OnFailure_();
  Handlers_.OnServers_();
}

} // namespace cranberry
