/// \file steering_vm.cpp An entry VM that steers the store's routes.
#include "steering/steering_vm_base.h"

#include "core/duration_func.h"
#include "net/http_message_func.h"
#include "platform/decode_func.h"
#include "platform/wire_names.h"
#include "process/reader_choice_func.h"
#include "steering/lookup_directory_func.h"

#include <absl/strings/str_join.h>

#include <csignal>
#include <unistd.h>

using boost::system::error_code;
using cranberry::platform::StoreObject;
using cranberry::platform::StoreReply;
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
      Store_(Loop_, Settings_.Platform_, platform::StoreLimits),
      View_(Loop_, Store_, Settings_, Log_, makeViewHandlers()),
      Router_(Loop_, Settings_, Log_, Metrics_),
      Peers_(Loop_, makeSelf(Incarnation), Settings_.HeartbeatPeriod_, Log_,
             [this] { takeMembers(); }),
      Front_(Loop_, [this](const IngressExchangePtr &E) { Router_.handle(E); }),
      Readiness_(Loop_,
                 [this](const IngressExchangePtr &E) { answerReadiness(E); }),
      Directory_(Loop_,
                 [this](const IngressExchangePtr &E) { answerLookup(E); }),
      MetricsPort_(Loop_,
                   [this](const IngressExchangePtr &E) { answerMetrics(E); }),
      Tick_(Loop_), Announce_(Loop_), Signals_(Loop_, SIGTERM, SIGINT, SIGHUP) {
  Log_.setRate(Settings_.LogLinesPerSecond_);
  Peers_.setOnQuestion(
      [this](const IngressExchangePtr &E) { View_.handleRelay(E); });
  Router_.setOnMisdirected([this](const std::string &Server) {
    View_.noteLeaving(Server);
    refresh();
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
  Result.OnConfig_ = [this](const RoutingConfigPtr &Next) { takeConfig(Next); };
  Result.OnServers_ = [this] { refresh(); };
  Result.OnFailure_ = [this] { Router_.noteFailure(); };
  Result.OnEntryVm_ = [this](const std::string &Peer) { Peers_.addSeed(Peer); };
  return Result;
}

bool SteeringVm::start(Reason &Why) {
  bool IsOpen = Front_.open(Settings_.Http_, Why) &&
                Directory_.open(Settings_.Directory_, Why) &&
                Readiness_.open(Settings_.Readiness_, Why) &&
                Peers_.open(Settings_.Peer_, Why) &&
                (Settings_.Metrics_.empty() ||
                 MetricsPort_.open(Settings_.Metrics_, Why));
  if (!IsOpen)
    return false;
  Log_.write(getNow(), "start",
             {{"zone", Settings_.Zone_},
              {"incarnation", Peers_.getSelf().Incarnation_},
              {"http", Front_.getAddress()}});
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

void SteeringVm::takeConfig(const RoutingConfigPtr &Config) {
  Router_.setRouting(Config);
  const ClientLimits &Limits = Config->Limits_;
  Front_.setLimits({Limits.HeaderBytes_, Limits.BodyBytes_,
                    Limits.HeaderTimeout_, Limits.IdleTimeout_});
  // Services tell what their cold servers bear.
  Router_.setServers(View_.getRegistry(), Peers_.getMembers());
}

void SteeringVm::takeMembers() {
  MembersChanged_ = true;
  MemberList Members = Peers_.getMembers();
  if (Members.size() < MemberCount_)
    Router_.noteFailure();
  MemberCount_ = Members.size();
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
  const ServerRegistry &Registry = View_.getRegistry();
  if (Registry.getVersion() == RegistryVersion_ && !MembersChanged_)
    return;
  RegistryVersion_ = Registry.getVersion();
  MembersChanged_ = false;
  Router_.setServers(Registry, Peers_.getMembers());
}

void SteeringVm::tick() {
  View_.tick();
  chooseReader();
  refresh();
  Router_.sweep();
  Metrics_.observeAge("servers", View_.getServerAge(getNow()));
  Log_.flush();
  if (getNow() >= NextReload_)
    reloadSettings();
  if (IsStopping_)
    finishStop();
  Tick_.expires_after(TickPeriod);
  Tick_.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      tick();
  });
}

void SteeringVm::chooseReader() {
  Time Now = getNow();
  if (View_.isStoreLost())
    RescueUntil_ = Now + RescueSpan;
  const MemberList Vms = Peers_.getMembers();
  const Member *Reader =
      cranberry::chooseReader(Vms, Peers_.getSelf(), Now < RescueUntil_);
  View_.setReader(Reader ? Reader->PeerAddress_ : "");
}

void SteeringVm::reloadSettings() {
  Time Now = getNow();
  NextReload_ = Now + ReloadPeriod;
  SettingsChange Change = SettingsFile_.takeChanges(Settings_);
  for (const Reason &Why : Change.Faults_)
    Log_.write(Now, "settings-refused",
               {{"code", static_cast<unsigned>(Why.Code_)},
                {"field", Why.Field_},
                {"text", Why.Text_}});
  if (Change.Taken_.empty() && Change.NeedRestart_.empty())
    return;
  Log_.write(Now, "settings",
             {{"taken", absl::StrJoin(Change.Taken_, " ")},
              {"needRestart", absl::StrJoin(Change.NeedRestart_, " ")}});
  Log_.setRate(Settings_.LogLinesPerSecond_);
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
  bool IsAccepting = Left >= scale(Settings_.StopGrace_, 1 - AcceptShare);
  if (!IsAccepting)
    Front_.stopAccepting();
  bool IsIdle = Router_.getOpenFlows() == 0 && Front_.getConnectionCount() == 0;
  if (Left > scale(Settings_.StopGrace_, 1 - EndShare) &&
      (IsAccepting || !IsIdle))
    return;
  Log_.write(Now, "stopped",
             {{"openRequests", static_cast<uint64_t>(Router_.getOpenFlows())}});
  Loop_.stop();
}

void SteeringVm::answerReadiness(const IngressExchangePtr &Exchange) {
  if (Exchange->getMessage().target() != platform::path::Readiness)
    Exchange->respond(makeResponse(NotFound, ""));
  else
    Exchange->respond(makeResponse(isReady() ? Ok : Unavailable, ""));
}

void SteeringVm::answerLookup(const IngressExchangePtr &Exchange) {
  std::optional<platform::LookupQuestion> Question =
      platform::decodeLookup(toString(Exchange->getMessage().target()));
  if (!Question) {
    Metrics_.countLookup(ResultCode::PathUnknown);
    Exchange->respond(makeResponse(NotFound, ""));
    return;
  }
  MemberList Vms = Peers_.getMembers();
  if (!isReady())
    std::erase_if(Vms,
                  [this](const Member &Vm) { return Vm.Vm_ == Settings_.Vm_; });
  std::vector<std::string> Addresses =
      getLookupAddresses(Vms, Question->Region_, Question->Zone_);
  Metrics_.countLookup(Addresses.empty() ? ResultCode::NoEntryVm
                                         : ResultCode::Ok);
  if (Addresses.empty())
    Exchange->respond(makeResponse(Unavailable, ""));
  else
    Exchange->respond(platform::encodeLookup(Addresses, Settings_.LookupTtl_));
}

void SteeringVm::answerMetrics(const IngressExchangePtr &Exchange) {
  Router_.reportGauges();
  Metrics_.setGauge("cranberry_config_version", "force",
                    static_cast<double>(View_.getVersion()));
  Metrics_.setGauge("cranberry_entry_vms", "known",
                    static_cast<double>(MemberCount_));
  Metrics_.setGauge("cranberry_store_calls", "all",
                    static_cast<double>(Store_.getCalls()));
  Metrics_.setGauge("cranberry_log_lines_dropped", "all",
                    static_cast<double>(Log_.getDropped()));
  Exchange->respond(
      makeResponse(Ok, Metrics_.serialize(), "text/plain; version=0.0.4"));
}

} // namespace cranberry
