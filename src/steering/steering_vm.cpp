/// \file steering_vm.cpp An entry VM that steers the store's routes.
#include "steering/steering_vm_base.h"

#include "core/duration_func.h"
#include "net/http_message_func.h"
#include "platform/decode_func.h"
#include "platform/wire_names.h"

#include <algorithm>
#include <csignal>

using boost::system::error_code;
using cranberry::platform::StoreChange;
using cranberry::platform::StoreObject;
using cranberry::platform::StoreReply;
using cranberry::platform::StoreStatus;

namespace cranberry {

namespace {

/// Servers write to the store every second or two, so a watch on them always
/// has an answer, and each is priced. The pace is this share of the time in
/// which a leaving server must get no more work.
constexpr double ServerPaceShare = 0.45;

/// Longest wait of a watch on servers. It is answered far sooner, so that one
/// that is not finds out a store or a connection that has gone silent.
constexpr Duration ServerWait = milliseconds(1500);

/// Period of what has no event of its own.
constexpr Duration TickPeriod = milliseconds(200);

/// Time between two tries to write this VM's entry.
constexpr Duration AnnounceRetry = milliseconds(300);

/// Share of the grace that a planned stop serves requests for; the rest is for
/// those that came last.
constexpr double ServeShare = 0.72;

/// Share of the grace after which the process ends with whatever is left.
constexpr double EndShare = 0.95;

/// Look-ups name at most this many entry VMs.
constexpr size_t MaxLookupAddresses = 64;

std::string toString(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace

SteeringVm::SteeringVm(Settings Config, uint64_t Incarnation)
    : Settings_(std::move(Config)), Loop_(1),
      Log_(STDOUT_FILENO, Settings_.Vm_), Store_(Loop_, Settings_.Platform_),
      Router_(Loop_, Settings_, Log_),
      Peers_(Loop_, makeSelf(Incarnation), Settings_.HeartbeatPeriod_, Log_,
             [this] { takeMembers(); }),
      Front_(Loop_, [this](const IngressExchangePtr &E) { Router_.handle(E); }),
      Readiness_(Loop_,
                 [this](const IngressExchangePtr &E) { answerReadiness(E); }),
      Directory_(Loop_,
                 [this](const IngressExchangePtr &E) { answerLookup(E); }),
      ConfigFollower_(makeConfigFollower()),
      ServerFollower_(makeServerFollower()),
      EvacuationFollower_(makeEvacuationFollower()),
      VmFollower_(makeVmFollower()), Tick_(Loop_), Announce_(Loop_),
      Signals_(Loop_, SIGTERM, SIGINT, SIGHUP) {
  Router_.setOnMisdirected(
      [this](const std::string &Server) { Registry_.noteLeaving(Server); });
}

Member SteeringVm::makeSelf(uint64_t Incarnation) const {
  Member Self;
  Self.Vm_ = Settings_.Vm_;
  Self.Region_ = Settings_.Region_;
  Self.Zone_ = Settings_.Zone_;
  Self.HttpAddress_ = Settings_.HttpAdvertise_.empty()
                          ? Settings_.Http_
                          : Settings_.HttpAdvertise_;
  Self.PeerAddress_ = Settings_.PeerAdvertise_.empty()
                          ? Settings_.Peer_
                          : Settings_.PeerAdvertise_;
  Self.Incarnation_ = Incarnation;
  return Self;
}

StoreFollower SteeringVm::makeConfigFollower() {
  FollowPlan Plan;
  Plan.Kind_ = platform::kind::Config;
  FollowHandlers Handlers;
  Handlers.OnList_ = [this](const std::vector<StoreObject> &Objects) {
    for (const StoreObject &Object : Objects)
      takeConfig(Object);
  };
  Handlers.OnChange_ = [this](const StoreChange &Change) {
    if (!Change.IsRemoved_)
      takeConfig(Change.Object_);
  };
  Handlers.OnLost_ = [] {};
  Handlers.OnRegained_ = [] {};
  return {Loop_, Store_, Plan, Handlers, Log_};
}

StoreFollower SteeringVm::makeServerFollower() {
  FollowPlan Plan;
  Plan.Kind_ = platform::kind::Servers;
  Plan.Pace_ = scale(Settings_.ServerDrain_, ServerPaceShare);
  Plan.Wait_ = ServerWait;
  FollowHandlers Handlers;
  Handlers.OnList_ = [this](const std::vector<StoreObject> &Objects) {
    std::vector<ServerRecord> Records;
    for (const StoreObject &Object : Objects) {
      Reason Why;
      if (std::optional<ServerRecord> Record =
              platform::decodeServer(Object, Why))
        Records.push_back(std::move(*Record));
    }
    Registry_.replaceAll(Records, getNow());
    refresh();
  };
  Handlers.OnChange_ = [this](const StoreChange &Change) {
    takeServer(Change.Object_, Change.IsRemoved_);
  };
  Handlers.OnLost_ = [this] { Registry_.noteStoreLost(); };
  Handlers.OnRegained_ = [this] {
    Registry_.noteStoreRegained(getNow());
    ConfigFollower_.restart();
    EvacuationFollower_.restart();
    VmFollower_.restart();
  };
  return {Loop_, Store_, Plan, Handlers, Log_};
}

StoreFollower SteeringVm::makeEvacuationFollower() {
  FollowPlan Plan;
  Plan.Kind_ = platform::kind::Evacuations;
  FollowHandlers Handlers;
  Handlers.OnList_ = [this](const std::vector<StoreObject> &Objects) {
    Evacuated_.clear();
    for (const StoreObject &Object : Objects)
      Evacuated_.insert(Object.Name_);
    takeEvacuations();
  };
  Handlers.OnChange_ = [this](const StoreChange &Change) {
    if (Change.IsRemoved_)
      Evacuated_.erase(Change.Object_.Name_);
    else
      Evacuated_.insert(Change.Object_.Name_);
    takeEvacuations();
  };
  Handlers.OnLost_ = [] {};
  Handlers.OnRegained_ = [] {};
  return {Loop_, Store_, Plan, Handlers, Log_};
}

StoreFollower SteeringVm::makeVmFollower() {
  FollowPlan Plan;
  Plan.Kind_ = platform::kind::EntryVms;
  FollowHandlers Handlers;
  Handlers.OnList_ = [this](const std::vector<StoreObject> &Objects) {
    for (const StoreObject &Object : Objects)
      takeVm(Object);
  };
  Handlers.OnChange_ = [this](const StoreChange &Change) {
    if (!Change.IsRemoved_)
      takeVm(Change.Object_);
  };
  Handlers.OnLost_ = [] {};
  Handlers.OnRegained_ = [] {};
  return {Loop_, Store_, Plan, Handlers, Log_};
}

bool SteeringVm::start(Reason &Why) {
  if (!Front_.open(Settings_.Http_, Why) ||
      !Directory_.open(Settings_.Directory_, Why) ||
      !Readiness_.open(Settings_.Readiness_, Why) ||
      !Peers_.open(Settings_.Peer_, Why))
    return false;
  Log_.write(getNow(), "start",
             {{"zone", Settings_.Zone_},
              {"incarnation", Peers_.getSelf().Incarnation_},
              {"http", Front_.getAddress()}});
  ConfigFollower_.start();
  ServerFollower_.start();
  EvacuationFollower_.start();
  VmFollower_.start();
  announce();
  tick();
  waitForSignal();
  return true;
}

void SteeringVm::run() {
  Loop_.run();
  Log_.flush();
}

void SteeringVm::takeConfig(const StoreObject &Object) {
  if (Object.Name_ != platform::MainConfig)
    return;
  // Answers may come in another order than they were given.
  if (Config_ && Object.Revision_ <= Config_->Revision_)
    return;
  Reason Why;
  std::optional<RoutingConfig> Decoded = platform::decodeRouting(Object, Why);
  if (!Decoded) {
    Log_.write(getNow(), "config-refused",
               {{"revision", Object.Revision_},
                {"field", Why.Field_},
                {"text", Why.Text_}});
    return;
  }
  auto Next = std::make_shared<RoutingConfig>(std::move(*Decoded));
  Log_.write(getNow(), "config",
             {{"version", Next->Version_},
              {"revision", Next->Revision_},
              {"routes", static_cast<uint64_t>(Next->Routes_.size())}});
  Config_ = Next;
  Router_.setRouting(Next);
  Front_.setLimits({Next->Limits_.HeaderBytes_, Next->Limits_.BodyBytes_,
                    Next->Limits_.HeaderTimeout_, Next->Limits_.IdleTimeout_});
  MembersChanged_ = true;
  refresh();
}

void SteeringVm::takeServer(const StoreObject &Object, bool IsRemoved) {
  ServerChange Change;
  Change.IsRemoved_ = IsRemoved;
  Change.Record_.Id_ = Object.Name_;
  Reason Why;
  if (!IsRemoved) {
    std::optional<ServerRecord> Record = platform::decodeServer(Object, Why);
    if (Record)
      Change.Record_ = std::move(*Record);
    else // An entry that can't be read names no server to use.
      Change.IsRemoved_ = true;
  }
  uint64_t Before = Registry_.getVersion();
  if (Registry_.apply(Change, getNow()) == RegistryEffect::Lost)
    Router_.noteFailure();
  if (Registry_.getVersion() == Before)
    return;
  Log_.write(getNow(), "server",
             {{"server", Object.Name_},
              {"removed", Change.IsRemoved_ ? 1 : 0},
              {"draining", Change.Record_.IsDraining_ ? 1 : 0},
              {"service", Change.Record_.Service_},
              {"zone", Change.Record_.Zone_},
              {"coldMs", Change.Record_.ColdLeft_},
              {"revision", Object.Revision_},
              {"fault", Why.Field_}});
  refresh();
}

Duration SteeringVm::getColdDuration() const {
  Duration Longest{0};
  if (Config_)
    for (const BackendServiceConfig &Service : Config_->Services_)
      Longest = std::max(Longest, Service.ColdDuration_);
  return Longest;
}

void SteeringVm::takeEvacuations() {
  std::string Zones;
  for (const std::string &Zone : Evacuated_)
    Zones += (Zones.empty() ? "" : " ") + Zone;
  Log_.write(
      getNow(), "evacuations",
      {{"zones", Zones}, {"revision", EvacuationFollower_.getRevision()}});
  Registry_.setEvacuated(Evacuated_, getColdDuration(), getNow());
  if (!Evacuated_.empty())
    Router_.noteFailure();
  refresh();
}

void SteeringVm::takeMembers() {
  MembersChanged_ = true;
  MemberList Members = Peers_.getMembers();
  if (Members.size() < MemberCount_)
    Router_.noteFailure();
  MemberCount_ = Members.size();
}

void SteeringVm::takeVm(const StoreObject &Object) {
  if (!Object.Body_.is_object())
    return;
  std::string Address = Object.Body_.value("peer", "");
  if (parseEndpoint(Address))
    Peers_.addSeed(Address);
}

nlohmann::json SteeringVm::makeEntry() const {
  const Member &Self = Peers_.getSelf();
  return {{"peer", Self.PeerAddress_},
          {"zone", Self.Zone_},
          {"incarnation", Self.Incarnation_}};
}

void SteeringVm::announce() {
  Store_.create(platform::kind::EntryVms, Settings_.Vm_, makeEntry(),
                [this](const StoreReply &Reply) { takeAnnounced(Reply); });
}

void SteeringVm::takeAnnounced(const StoreReply &Reply) {
  if (Reply.Status_ == StoreStatus::Ok)
    return;
  Reason Why;
  std::optional<StoreObject> Earlier;
  if (Reply.Status_ == StoreStatus::Conflict)
    Earlier = platform::decodeObjectBody(Reply.Body_, Why);
  // An entry of an earlier process of this VM; with the same address it does.
  if (Earlier && Earlier->Body_.is_object() &&
      Earlier->Body_.value("peer", "") == Peers_.getSelf().PeerAddress_)
    return;
  if (Earlier) {
    Store_.replace(platform::kind::EntryVms, Settings_.Vm_, Earlier->Revision_,
                   makeEntry(),
                   [this](const StoreReply &Next) { takeAnnounced(Next); });
    return;
  }
  Log_.write(getNow(), "announce-failed",
             {{"status",
               platform::StoreStatusNames[static_cast<size_t>(Reply.Status_)]},
              {"text", Reply.Text_}});
  Announce_.expires_after(AnnounceRetry);
  Announce_.async_wait([this](error_code Cancelled) {
    if (!Cancelled && !IsStopping_)
      announce();
  });
}

void SteeringVm::refresh() {
  if (Registry_.getVersion() == RegistryVersion_ && !MembersChanged_)
    return;
  RegistryVersion_ = Registry_.getVersion();
  MembersChanged_ = false;
  Router_.setServers(Registry_, Peers_.getMembers());
}

void SteeringVm::tick() {
  Registry_.tick(getNow());
  refresh();
  Router_.sweep();
  Log_.flush();
  if (IsStopping_)
    finishStop();
  Tick_.expires_after(TickPeriod);
  Tick_.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      tick();
  });
}

void SteeringVm::waitForSignal() {
  Signals_.async_wait([this](error_code Cancelled, int Signal) {
    if (Cancelled)
      return;
    Log_.write(getNow(), "signal", {{"number", Signal}});
    if (Signal != SIGHUP && !IsStopping_)
      stop();
    waitForSignal();
  });
}

void SteeringVm::stop() {
  IsStopping_ = true;
  StopBy_ = getNow() + Settings_.StopGrace_;
  Peers_.leave();
  Front_.startDrain();
  Router_.setEnd(getNow() + scale(Settings_.StopGrace_, EndShare));
  Store_.remove(platform::kind::EntryVms, Settings_.Vm_,
                [](const StoreReply &) {});
  Log_.write(
      getNow(), "stop",
      {{"openRequests", static_cast<uint64_t>(Router_.getOpenFlows())},
       {"connections", static_cast<uint64_t>(Front_.getConnectionCount())}});
}

void SteeringVm::finishStop() {
  Time Now = getNow();
  Duration Left = StopBy_ - Now;
  if (Left < scale(Settings_.StopGrace_, 1 - ServeShare))
    Front_.stopAccepting();
  bool IsIdle = Router_.getOpenFlows() == 0 && Front_.getConnectionCount() == 0;
  bool IsServing = Left >= scale(Settings_.StopGrace_, 1 - ServeShare);
  if (Left > scale(Settings_.StopGrace_, 1 - EndShare) &&
      (IsServing || !IsIdle))
    return;
  Log_.write(Now, "stopped",
             {{"openRequests", static_cast<uint64_t>(Router_.getOpenFlows())}});
  Loop_.stop();
}

bool SteeringVm::isReady() const {
  return Config_ && Registry_.isKnown() && !IsStopping_;
}

void SteeringVm::answerReadiness(const IngressExchangePtr &Exchange) {
  constexpr unsigned Ok = 200;
  constexpr unsigned NotFound = 404;
  constexpr unsigned Unavailable = 503;
  if (Exchange->getMessage().target() != platform::path::Readiness)
    Exchange->answer(makeResponse(NotFound, ""));
  else
    Exchange->answer(makeResponse(isReady() ? Ok : Unavailable, ""));
}

std::vector<std::string>
SteeringVm::getAddresses(const platform::LookupQuestion &Question) const {
  // The nearest group that has a VM takes all; one that is doubted only serves
  // where no other is left.
  std::vector<std::string> Groups[4];
  for (const Member &Vm : Peers_.getMembers()) {
    bool IsSelf = Vm.Vm_ == Settings_.Vm_;
    if (Vm.State_ == MemberState::Leaving || (IsSelf && !isReady()))
      continue;
    bool IsDoubted = Vm.State_ == MemberState::Suspect;
    size_t Group = IsDoubted                        ? 3
                   : Vm.Zone_ == Question.Zone_     ? 0
                   : Vm.Region_ == Question.Region_ ? 1
                                                    : 2;
    Groups[Group].push_back(Vm.HttpAddress_);
  }
  for (std::vector<std::string> &Group : Groups) {
    if (Group.empty())
      continue;
    if (Group.size() > MaxLookupAddresses)
      Group.resize(MaxLookupAddresses);
    return Group;
  }
  return {};
}

void SteeringVm::answerLookup(const IngressExchangePtr &Exchange) {
  constexpr unsigned NotFound = 404;
  constexpr unsigned Unavailable = 503;
  std::optional<platform::LookupQuestion> Question =
      platform::decodeLookup(toString(Exchange->getMessage().target()));
  if (!Question) {
    Exchange->answer(makeResponse(NotFound, ""));
    return;
  }
  std::vector<std::string> Addresses = getAddresses(*Question);
  if (Addresses.empty()) {
    Exchange->answer(makeResponse(Unavailable, ""));
    return;
  }
  Exchange->answer(platform::encodeLookup(Addresses, Settings_.LookupTtl_));
}

} // namespace cranberry
