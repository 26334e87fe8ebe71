/// \file steering_vm.cpp Process of an entry VM on the users' platform.
#include "steering/steering_vm_base.h"

#include "core/duration_func.h"
#include "net/http_message_func.h"
#include "platform/decode_func.h"
#include "platform/wire_names.h"
#include "steering/lookup_directory_func.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <csignal>
#include <unistd.h>

using boost::system::error_code;
using cranberry::platform::StoreObject;
using cranberry::platform::StoreResponse;
using cranberry::platform::StoreStatus;

namespace cranberry {

namespace {

/// Interval of checks of the settings file. Changes without a signal take
/// effect within this time.
constexpr Duration SettingsCheckInterval = seconds(2);

/// A VM that has started waits this long for contact with another one, from
/// which it can read what the store holds.
constexpr Duration ContactWait = milliseconds(400);

/// Delay between two attempts to write this VM's entry.
constexpr Duration AnnounceRetryDelay = milliseconds(300);

/// Share of the grace period during which a graceful shutdown accepts
/// connections. The rest is for the last requests.
constexpr double AcceptGraceShare = 0.72;

/// Share of the grace period after which every request has its response. The
/// time until the exit is for sending it.
constexpr double ResponseGraceShare = 0.85;

/// Share of the grace period after which the process exits even if connections
/// are open. An overloaded machine needs some hundred milliseconds to end it.
constexpr double ExitGraceShare = 0.9;

} // namespace

SteeringVm::SteeringVm(Settings Config, const std::string &SettingsPath,
                       uint64_t Incarnation)
    : Settings_(std::move(Config)), SettingsFile_(SettingsPath), Loop_(1),
      Log_(STDOUT_FILENO, Settings_.Vm_),
      Store_(Loop_, Settings_.Platform_, platform::DirectStoreTimeouts),
      View_(Loop_, Store_, Settings_, Log_, makeViewHandlers()),
      Router_(Loop_, Settings_, Log_, Metrics_),
      Peers_(Loop_, makeSelf(Incarnation), Settings_.HeartbeatPeriod_, Log_,
             [this] { onMembersChanged(); }),
      RateShares_(Loop_, Router_, Peers_, Log_),
      Quotas_(Loop_, Router_.getWorkspaces(), Peers_, Log_),
      Configs_(Loop_, View_, Log_, Incarnation), VmLoad_(Settings_),
      ClientPort_(
          Loop_,
          [this](const IngressExchangePtr &E) { Router_.handleRequest(E); }),
      ReadinessPort_(
          Loop_, [this](const IngressExchangePtr &E) { handleReadiness(E); }),
      LookupPort_(Loop_,
                  [this](const IngressExchangePtr &E) { handleLookup(E); }),
      MetricsPort_(Loop_,
                   [this](const IngressExchangePtr &E) { handleMetrics(E); }),
      Discovery_(Loop_, Store_, Log_, Peers_.getSelf().PeerAddress_,
                 Incarnation,
                 [this](const std::vector<std::string> &Peers) {
                   onVmsListed(Peers);
                 }),
      TickTimer_(Loop_), AnnounceTimer_(Loop_), StartTimer_(Loop_),
      Sources_(Incarnation), Signals_(Loop_, SIGTERM, SIGINT, SIGHUP) {
  Log_.setMaxLinesPerSecond(Settings_.LogLinesPerSecond_);
  if (!Settings_.IsFirstStart_)
    Router_.liftShiftLimit();
  Quotas_.applySettings(Settings_);
  Configs_.setBound(Settings_.ConfigPropagation_);
  Sources_.setBound(Settings_.ConfigPropagation_);
  Peers_.setRequestHandler(
      [this](const IngressExchangePtr &E) { handlePeerRequest(E); });
  Peers_.setVersionHandler([this](const VersionReport &Report) {
    Configs_.onVersionReported(Report);
  });
  Peers_.setConfigAgeQuery([this] { return Configs_.getReportedAge(); });
  Router_.setConfigCurrencyQuery([this] { return getConfigCurrency(); });
  Router_.setOnLeaving([this](const std::string &Server, int64_t StartTimeMs) {
    bool IsNews = View_.recordLeaving(Server, StartTimeMs);
    updateRouterServers();
    return IsNews;
  });
}

Member SteeringVm::makeSelf(uint64_t Incarnation) const {
  auto Choose = [](const std::string &Advertised, const std::string &Own) {
    return Advertised.empty() ? Own : Advertised;
  };
  Member Self;
  Self.Vm_ = Settings_.Vm_;
  Self.Region_ = Settings_.Region_;
  Self.Zone_ = Settings_.Zone_;
  Self.HttpAddress_ = Choose(Settings_.HttpAdvertise_, Settings_.Http_);
  Self.PeerAddress_ = Choose(Settings_.PeerAdvertise_, Settings_.Peer_);
  Self.Incarnation_ = Incarnation;
  Self.Strength_ = getVmStrength(Settings_);
  return Self;
}

StoreViewHandlers SteeringVm::makeViewHandlers() {
  StoreViewHandlers Result;
  Result.OnConfig_ = [this](const RoutingConfigPtr &Next, Time AsOf) {
    applyConfig(Next, AsOf);
  };
  Result.OnServers_ = [this] { updateRouterServers(); };
  Result.OnFailure_ = [this] { Router_.recordFailure(); };
  Result.OnStoreRolledBack_ = [this] {
    if (!IsStopping_)
      announce();
  };
  Result.OnReaderFailed_ = [this](const std::string &Peer, bool IsBehind) {
    Sources_.recordFailure(Peer, IsBehind, getNow());
    updateReader();
  };
  Result.OnReaderWanted_ = [this] {
    Sources_.recordRequest(getNow());
    if (View_.getSource() != StoreSource::Store)
      updateReader();
  };
  return Result;
}

void SteeringVm::onVmsListed(const std::vector<std::string> &Peers) {
  for (const std::string &Peer : Peers)
    Peers_.addSeed(Peer);
  Quotas_.setListedCount(Peers.size() + 1);
  if (IsReading_)
    return;
  if (Peers.empty()) {
    startReading();
    return;
  }
  Peers_.contactNow();
  StartTimer_.expires_after(ContactWait);
  StartTimer_.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      startReading();
  });
}

void SteeringVm::startReading() {
  if (IsReading_)
    return;
  IsReading_ = true;
  updateReader();
}

bool SteeringVm::start(Reason &Why) {
  bool IsOpen = ClientPort_.open(Settings_.Http_, Why) &&
                LookupPort_.open(Settings_.Directory_, Why) &&
                ReadinessPort_.open(Settings_.Readiness_, Why) &&
                Peers_.open(Settings_.Peer_, Why) &&
                (Settings_.Metrics_.empty() ||
                 MetricsPort_.open(Settings_.Metrics_, Why));
  if (!IsOpen)
    return false;
  Log_.write(getNow(), "start",
             {{"zone", Settings_.Zone_},
              {"incarnation", Peers_.getSelf().Incarnation_},
              {"http", ClientPort_.getAddress()}});
  Discovery_.start();
  RateShares_.start();
  announce();
  tick();
  waitForSignal();
  return true;
}

void SteeringVm::run() {
  Loop_.run();
  Log_.flush();
}

ConfigCurrency SteeringVm::getConfigCurrency() const {
  Time Now = getNow();
  const PeerVersionTracker &Versions = Configs_.getVersions();
  return {View_.isConfigCurrent(Now) && !Versions.isBehind(Now),
          View_.getServerAge(Now), Versions.getNewest(),
          Configs_.isOutdated(Now), Configs_.areHomesConfirmed(Now)};
}

void SteeringVm::applyConfig(const RoutingConfigPtr &Config, Time AsOf) {
  Configs_.setInForce(Config->Version_, AsOf);
  Peers_.setConfigVersion(Config->Version_);
  Router_.setRouting(Config);
  const ClientLimits &Limits = Config->Limits_;
  ClientPort_.setLimits({Limits.HeaderBytes_, Limits.BodyBytes_,
                         Limits.HeaderTimeout_, Limits.IdleTimeout_});
  // The configuration sets the request rates of cold servers.
  Router_.setServers(View_.getRegistry(), Peers_.getMembers());
}

void SteeringVm::onMembersChanged() {
  HasMembersChanged_ = true;
  MemberList Members = Peers_.getMembers();
  Configs_.setLosses(Peers_.getLosses());
  if (Members.size() < MemberCount_)
    Router_.recordFailure();
  MemberCount_ = Members.size();
  Discovery_.setMemberCount(Members.size());
  if (Members.size() > 1 && StartTimer_.expiry() > getNow())
    startReading();
}

nlohmann::json SteeringVm::makeVmEntry() const {
  const Member &Self = Peers_.getSelf();
  return {{"peer", Self.PeerAddress_},
          {"zone", Self.Zone_},
          {"incarnation", Self.Incarnation_}};
}

void SteeringVm::announce() {
  Store_.create(
      platform::kind::EntryVms, Settings_.Vm_, makeVmEntry(),
      [this](const StoreResponse &Reply) { onAnnounceResponse(Reply); });
}

void SteeringVm::onAnnounceResponse(const StoreResponse &Reply) {
  if (Reply.Status_ == StoreStatus::Ok)
    return;
  Reason Why;
  std::optional<StoreObject> Earlier;
  if (Reply.Status_ == StoreStatus::Conflict)
    Earlier = platform::decodeObjectBody(Reply.Body_, Why);
  // An earlier process of this VM wrote an entry. It remains valid if the
  // address is the same.
  if (Earlier && Earlier->Body_.is_object() &&
      Earlier->Body_.contains("peer") &&
      Earlier->Body_["peer"] == Peers_.getSelf().PeerAddress_)
    return;
  if (Earlier) {
    Store_.replace(platform::kind::EntryVms, Settings_.Vm_, Earlier->Revision_,
                   makeVmEntry(), [this](const StoreResponse &Next) {
                     onAnnounceResponse(Next);
                   });
    return;
  }
  Log_.write(getNow(), "announce-failed",
             {{"status",
               platform::StoreStatusNames[static_cast<size_t>(Reply.Status_)]},
              {"text", Reply.ErrorText_}});
  AnnounceTimer_.expires_after(AnnounceRetryDelay);
  AnnounceTimer_.async_wait([this](error_code Cancelled) {
    if (!Cancelled && !IsStopping_)
      announce();
  });
}

void SteeringVm::updateRouterServers() {
  const ServerRegistry &Registry = View_.getRegistry();
  if (Registry.getVersion() == AppliedRegistryVersion_ && !HasMembersChanged_)
    return;
  AppliedRegistryVersion_ = Registry.getVersion();
  HasMembersChanged_ = false;
  Router_.setServers(Registry, Peers_.getMembers());
}

void SteeringVm::tick() {
  View_.tick();
  updateReader();
  updateRouterServers();
  if (!IsStopping_ && Configs_.shouldPoll())
    Configs_.poll(Peers_.getPeerAddresses());
  Configs_.logHomes();
  Router_.closeIdleConnections();
  updateLoad();
  updateDemand();
  Metrics_.observeAge("servers", View_.getServerAge(getNow()));
  if (getNow() >= NextRateLog_) {
    NextRateLog_ = getNow() + RecentStarts::Window;
    Router_.logDecisions();
  }
  Log_.flush();
  if (getNow() >= NextSettingsCheck_)
    reloadSettings();
  if (IsStopping_)
    pollShutdown();
  TickTimer_.expires_after(TickPeriod);
  TickTimer_.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      tick();
  });
}

void SteeringVm::updateReader() {
  if (!IsReading_)
    return;
  Time Now = getNow();
  StoreSourceStatus Status = View_.getSourceStatus();
  if (View_.isComplete())
    Status.ConfirmationAge_ = Configs_.getConfirmationAge(Now);
  View_.setSource(
      Sources_.select(Peers_.getMembers(), Peers_.getSelf(), Status, Now));
}

void SteeringVm::reloadSettings() {
  Time Now = getNow();
  NextSettingsCheck_ = Now + SettingsCheckInterval;
  SettingsChange Change = SettingsFile_.applyChanges(Settings_);
  for (const Reason &Why : Change.Faults_)
    Log_.write(Now, "settings-refused",
               {{"code", static_cast<unsigned>(Why.Code_)},
                {"field", Why.Field_},
                {"text", Why.Message_}});
  if (Change.Applied_.empty() && Change.NeedRestart_.empty())
    return;
  Log_.write(Now, "settings",
             {{"taken", absl::StrJoin(Change.Applied_, " ")},
              {"needRestart", absl::StrJoin(Change.NeedRestart_, " ")}});
  Log_.setMaxLinesPerSecond(Settings_.LogLinesPerSecond_);
  Peers_.setPeriod(Settings_.HeartbeatPeriod_);
  View_.applySettings(Settings_);
  Router_.applySettings();
  Quotas_.applySettings(Settings_);
  Configs_.setBound(Settings_.ConfigPropagation_);
  Sources_.setBound(Settings_.ConfigPropagation_);
  Router_.setServers(View_.getRegistry(), Peers_.getMembers());
}

void SteeringVm::waitForSignal() {
  Signals_.async_wait([this](error_code Cancelled, int Signal) {
    if (Cancelled)
      return;
    Log_.write(getNow(), "signal", {{"number", Signal}});
    if (Signal == SIGHUP)
      reloadSettings();
    else if (!IsStopping_)
      startShutdown();
    waitForSignal();
  });
}

void SteeringVm::startShutdown() {
  IsStopping_ = true;
  ShutdownDeadline_ = getNow() + Settings_.StopGrace_;
  Peers_.announceLeave();
  ClientPort_.startDrain();
  Router_.setShutdownDeadline(
      getNow() + scaleDuration(Settings_.StopGrace_, ResponseGraceShare));
  Store_.remove(platform::kind::EntryVms, Settings_.Vm_,
                [](const StoreResponse &) {});
  Log_.write(
      getNow(), "stop",
      {{"openRequests", static_cast<uint64_t>(Router_.getOpenFlowCount())},
       {"connections",
        static_cast<uint64_t>(ClientPort_.getConnectionCount())}});
}

void SteeringVm::pollShutdown() {
  Time Now = getNow();
  Duration Left = ShutdownDeadline_ - Now;
  bool IsAccepting =
      Left >= scaleDuration(Settings_.StopGrace_, 1 - AcceptGraceShare);
  if (!IsAccepting)
    ClientPort_.stopAccepting();
  bool IsIdle =
      Router_.getOpenFlowCount() == 0 && ClientPort_.getConnectionCount() == 0;
  if (Left > scaleDuration(Settings_.StopGrace_, 1 - ExitGraceShare) &&
      (IsAccepting || !IsIdle))
    return;
  Log_.write(
      Now, "stopped",
      {{"openRequests", static_cast<uint64_t>(Router_.getOpenFlowCount())}});
  Loop_.stop();
}

} // namespace cranberry
