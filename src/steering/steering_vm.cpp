/// \file steering_vm.cpp An entry VM that steers the store's routes.
#include "steering/steering_vm_base.h"

#include "core/duration_func.h"
#include "net/http_message_func.h"
#include "platform/decode_func.h"
#include "platform/wire_names.h"
#include "process/store_reader_func.h"
#include "steering/lookup_directory_func.h"

#include <absl/strings/str_join.h>

#include <csignal>
#include <unistd.h>

using boost::system::error_code;
using cranberry::platform::StoreObject;
using cranberry::platform::StoreResponse;
using cranberry::platform::StoreStatus;

namespace cranberry {

namespace {

/// Period of what has no event of its own.
constexpr Duration TickPeriod = milliseconds(200);

/// How often the settings file is looked at. A file that changes without a
/// signal is taken over within this time.
constexpr Duration ReloadPeriod = seconds(2);

/// A VM that could not read the store hears from another one for this long
/// before it tries again; each try takes up to a second without news.
constexpr Duration RescueSpan = seconds(10);

/// Time between two tries to write this VM's entry.
constexpr Duration AnnounceRetry = milliseconds(300);

/// Share of the grace that a planned stop takes connections for; the rest is
/// for the requests that came last.
constexpr double AcceptShare = 0.72;

/// Share of the grace after which the process ends with whatever is left.
constexpr double EndShare = 0.95;

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;

std::string toString(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

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
      ClientPort_(
          Loop_,
          [this](const IngressExchangePtr &E) { Router_.handleRequest(E); }),
      ReadinessPort_(
          Loop_, [this](const IngressExchangePtr &E) { handleReadiness(E); }),
      LookupPort_(Loop_,
                  [this](const IngressExchangePtr &E) { handleLookup(E); }),
      MetricsPort_(Loop_,
                   [this](const IngressExchangePtr &E) { handleMetrics(E); }),
      TickTimer_(Loop_), AnnounceTimer_(Loop_),
      Signals_(Loop_, SIGTERM, SIGINT, SIGHUP) {
  Log_.setMaxLinesPerSecond(Settings_.LogLinesPerSecond_);
  Peers_.setRequestHandler(
      [this](const IngressExchangePtr &E) { View_.handleRelayRequest(E); });
  Router_.setOnMisdirected([this](const std::string &Server) {
    View_.recordLeaving(Server);
    updateRouterServers();
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
  return Self;
}

StoreViewHandlers SteeringVm::makeViewHandlers() {
  StoreViewHandlers Result;
  Result.OnConfig_ = [this](const RoutingConfigPtr &Next) {
    applyConfig(Next);
  };
  Result.OnServers_ = [this] { updateRouterServers(); };
  Result.OnFailure_ = [this] { Router_.recordFailure(); };
  Result.OnEntryVm_ = [this](const std::string &Peer) { Peers_.addSeed(Peer); };
  return Result;
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
  View_.start();
  announce();
  tick();
  waitForSignal();
  return true;
}

void SteeringVm::run() {
  Loop_.run();
  Log_.flush();
}

void SteeringVm::applyConfig(const RoutingConfigPtr &Config) {
  Router_.setRouting(Config);
  const ClientLimits &Limits = Config->Limits_;
  ClientPort_.setLimits({Limits.HeaderBytes_, Limits.BodyBytes_,
                         Limits.HeaderTimeout_, Limits.IdleTimeout_});
  // Services tell what their cold servers bear.
  Router_.setServers(View_.getRegistry(), Peers_.getMembers());
}

void SteeringVm::onMembersChanged() {
  HasMembersChanged_ = true;
  MemberList Members = Peers_.getMembers();
  if (Members.size() < MemberCount_)
    Router_.recordFailure();
  MemberCount_ = Members.size();
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
  // An entry of an earlier process of this VM; with the same address it does.
  if (Earlier && Earlier->Body_.is_object() &&
      Earlier->Body_.value("peer", "") == Peers_.getSelf().PeerAddress_)
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
  AnnounceTimer_.expires_after(AnnounceRetry);
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
  Router_.closeIdleConnections();
  Metrics_.observeAge("servers", View_.getServerAge(getNow()));
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
  Time Now = getNow();
  if (View_.isStoreUnavailable())
    FallbackReaderUntil_ = Now + RescueSpan;
  const MemberList Vms = Peers_.getMembers();
  const Member *Reader = cranberry::selectStoreReader(
      Vms, Peers_.getSelf(), Now < FallbackReaderUntil_);
  View_.setReader(Reader ? Reader->PeerAddress_ : "");
}

void SteeringVm::reloadSettings() {
  Time Now = getNow();
  NextSettingsCheck_ = Now + ReloadPeriod;
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
  Router_.setShutdownDeadline(getNow() +
                              scaleDuration(Settings_.StopGrace_, EndShare));
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
      Left >= scaleDuration(Settings_.StopGrace_, 1 - AcceptShare);
  if (!IsAccepting)
    ClientPort_.stopAccepting();
  bool IsIdle =
      Router_.getOpenFlowCount() == 0 && ClientPort_.getConnectionCount() == 0;
  if (Left > scaleDuration(Settings_.StopGrace_, 1 - EndShare) &&
      (IsAccepting || !IsIdle))
    return;
  Log_.write(
      Now, "stopped",
      {{"openRequests", static_cast<uint64_t>(Router_.getOpenFlowCount())}});
  Loop_.stop();
}

void SteeringVm::handleReadiness(const IngressExchangePtr &Exchange) {
  if (Exchange->getMessage().target() != platform::path::Readiness)
    Exchange->answer(makeResponse(NotFound, ""));
  else
    Exchange->answer(makeResponse(isReady() ? Ok : Unavailable, ""));
}

void SteeringVm::handleLookup(const IngressExchangePtr &Exchange) {
  std::optional<platform::LookupQuery> Question =
      platform::decodeLookupQuery(toString(Exchange->getMessage().target()));
  if (!Question) {
    Metrics_.countLookup(ResultCode::PathUnknown);
    Exchange->answer(makeResponse(NotFound, ""));
    return;
  }
  MemberList Vms = Peers_.getMembers();
  if (!isReady())
    std::erase_if(Vms,
                  [this](const Member &Vm) { return Vm.Vm_ == Settings_.Vm_; });
  std::vector<std::string> Addresses =
      selectLookupAddresses(Vms, Question->Region_, Question->Zone_);
  Metrics_.countLookup(Addresses.empty() ? ResultCode::NoEntryVm
                                         : ResultCode::Ok);
  if (Addresses.empty())
    Exchange->answer(makeResponse(Unavailable, ""));
  else
    Exchange->answer(
        platform::encodeLookupResponse(Addresses, Settings_.LookupTtl_));
}

void SteeringVm::handleMetrics(const IngressExchangePtr &Exchange) {
  Router_.updateGauges();
  Metrics_.setGauge("cranberry_config_version", "force",
                    static_cast<double>(View_.getVersion()));
  Metrics_.setGauge("cranberry_entry_vms", "known",
                    static_cast<double>(MemberCount_));
  Metrics_.setGauge("cranberry_store_calls", "all",
                    static_cast<double>(Store_.getCallCount()));
  Metrics_.setGauge("cranberry_log_lines_dropped", "all",
                    static_cast<double>(Log_.getDroppedCount()));
  Exchange->answer(
      makeResponse(Ok, Metrics_.serialize(), "text/plain; version=0.0.4"));
}

} // namespace cranberry
