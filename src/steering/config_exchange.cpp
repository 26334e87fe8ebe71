/// \file config_exchange.cpp Configurations that other entry VMs have in force.
#include "steering/config_exchange_base.h"

#include "core/duration_func.h"
#include "net/http_message_func.h"
#include "platform/decode_func.h"
#include "platform/wire_names.h"
#include "process/home_confirmation_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace http = boost::beast::http;

namespace cranberry {

namespace {

/// Packets wait for seconds at the link of a VM whose clients press, so these
/// are longer than the time-outs that detect failed VMs.
constexpr Duration FetchTimeout = seconds(8);
constexpr Duration ConnectTimeout = seconds(4);

/// Fetches and polls in flight at a time, of each kind. Other VMs are asked
/// while one doesn't respond.
constexpr unsigned MaxFetches = 4;

/// Share of the bound after which a VM that hears nothing asks others.
constexpr double PollDelayShare = 0.375;

/// Share of the bound for which a newer version may be known and not in force.
/// The rest is for the time until this VM hears of it.
constexpr double MaxBehindShare = 0.5;

/// Share of the bound after which homes that nobody confirms don't hold. The
/// source that confirms them may have missed a version for a moment itself.
constexpr double MaxUnconfirmedShare = 0.75;

/// Ages from here on are unknown, as what other VMs tell is cut there.
constexpr Duration MaxBelievedAge = std::chrono::hours(1);

constexpr unsigned Ok = 200;
constexpr unsigned NotModified = 304;
constexpr unsigned Unavailable = 503;

} // namespace

ConfigExchange::ConfigExchange(boost::asio::io_context &Loop, StoreView &View,
                               EventLog &Log, uint64_t Seed)
    : View_(View), Log_(Log), Client_(Loop), NextPolled_(Seed) {}

Time ConfigExchange::getAsOf(Time Asked, std::optional<Duration> Age) {
  // A VM of an earlier release doesn't tell the age.
  return Age && *Age < MaxBelievedAge ? Asked - *Age
                                      : PeerVersionTracker::Never;
}

void ConfigExchange::setLosses(std::vector<Time> Losses) {
  Losses_ = std::move(Losses);
  auto Last = std::max_element(Losses_.begin(), Losses_.end());
  LastLoss_ = Last == Losses_.end() ? std::nullopt : std::optional<Time>(*Last);
}

void ConfigExchange::recordAnswer(uint64_t Version, Time Asked,
                                  std::optional<Duration> Age) {
  Versions_.recordAnswer(Version, Asked);
  Versions_.recordConfirmation(Version, getAsOf(Asked, Age));
}

void ConfigExchange::onVersionReported(const VersionReport &Report) {
  const auto &[Peer, Version, Asked, Age] = Report;
  Time Now = getNow();
  bool WasBehind = Versions_.isBehind(Now);
  Versions_.recordReport(Version, Now);
  if (Asked)
    recordAnswer(Version, *Asked, Age);
  if (!WasBehind && Versions_.isBehind(Now))
    Log_.write(Now, "config-behind",
               {{"version", View_.getVersion()},
                {"newest", Versions_.getNewest()},
                {"peer", Peer},
                {"ageMs", View_.getServerAge(Now)}});
  if (FetchCount_ < MaxFetches && Versions_.startFetch(Version, Now))
    fetch(Peer, Version);
}

Duration ConfigExchange::getConfirmationAge(Time Now) const {
  Duration Age = Now - Versions_.getLastConfirmation();
  return View_.isConfigUnavailable() || !View_.isComplete()
             ? Age
             : std::min(Age, View_.getServerAge(Now));
}

std::optional<Duration> ConfigExchange::getReportedAge() const {
  Time Now = getNow();
  if (View_.getVersion() == 0 || Versions_.isBehind(Now))
    return std::nullopt;
  return getConfirmationAge(Now);
}

bool ConfigExchange::isOutdated(Time Now) const {
  return Versions_.isOverdue(Now, scaleDuration(Bound_, MaxBehindShare));
}

bool ConfigExchange::areHomesConfirmed(Time Now) const {
  return doHomesHold({Now - getConfirmationAge(Now), InForceSince_,
                      Versions_.getLastAnswer(), Versions_.isNewerKnown(),
                      LastLoss_},
                     Now, scaleDuration(Bound_, MaxUnconfirmedShare));
}

void ConfigExchange::logHomes() {
  Time Now = getNow();
  bool AreConfirmed = areHomesConfirmed(Now);
  if (!View_.isComplete() || AreConfirmed == WereHomesConfirmed_)
    return;
  WereHomesConfirmed_ = AreConfirmed;
  Duration Age = getConfirmationAge(Now);
  Log_.write(
      Now, AreConfirmed ? "homes-confirmed" : "homes-unconfirmed",
      {{"version", View_.getVersion()},
       {"newest", Versions_.getNewest()},
       {"ageMs", Age},
       {"answerMs", Now - Versions_.getLastAnswer()},
       {"lost", static_cast<uint64_t>(countLosses(Losses_, Now - Age))}});
}

bool ConfigExchange::shouldPoll() {
  Time Now = getNow();
  return View_.getVersion() != 0 && PollCount_ < MaxFetches &&
         getConfirmationAge(Now) >= scaleDuration(Bound_, PollDelayShare) &&
         Versions_.startPoll(Now);
}

void ConfigExchange::poll(const std::vector<std::string> &Peers) {
  if (!Peers.empty())
    fetch(Peers[NextPolled_++ % Peers.size()], 0);
}

void ConfigExchange::fetch(const std::string &Peer, uint64_t Version) {
  HttpCall Call;
  Call.Method_ = "GET";
  Call.Url_ = "http://" + Peer + Path;
  uint64_t Known = View_.getVersion();
  Call.Headers_.emplace_back("If-None-Match", absl::StrCat(Known));
  Call.Timeout_ = FetchTimeout;
  Call.ConnectTimeout_ = ConnectTimeout;
  unsigned &Count = Version == 0 ? PollCount_ : FetchCount_;
  ++Count;
  Time Asked = getNow();
  Client_.startCall(std::move(Call), [this, Peer, Version, Known, Asked,
                                      &Count](const HttpResult &Result) {
    --Count;
    Reason Why;
    bool IsReceived = Result.Code_ == ResultCode::Ok && Result.Status_ == Ok;
    std::optional<Duration> Age =
        platform::decodeRelayAge(Result.getHeader(platform::header::RelayAge));
    bool IsApplied = IsReceived &&
                     View_.applyRelayed(Result.Body_, getAsOf(Asked, Age), Why);
    AppliedCount_ += IsApplied ? 1 : 0;
    bool IsSame =
        Result.Code_ == ResultCode::Ok && Result.Status_ == NotModified;
    if ((IsReceived || IsSame) && View_.getVersion() < Version)
      Versions_.recordUnavailable(Version);
    if (IsSame)
      recordAnswer(Known, Asked, Age);
    Log_.write(getNow(), "config-fetched",
               {{"peer", Peer},
                {"reported", Version},
                {"version", View_.getVersion()},
                {"applied", IsApplied ? 1 : 0},
                {"status", Result.Status_},
                {"text", IsReceived ? Why.Message_ : Result.ErrorText_}});
  });
}

void ConfigExchange::setReportedAge(ResponseMessage &Response) const {
  if (std::optional<Duration> Age = getReportedAge())
    platform::setRelayAge(Response, *Age + milliseconds(1)); // Rounded up.
}

bool ConfigExchange::handleRequest(const IngressExchangePtr &Exchange) const {
  if (Exchange->getMessage().target() != Path)
    return false;
  uint64_t Known = 0;
  boost::beast::string_view Text =
      Exchange->getMessage()[http::field::if_none_match];
  if (absl::SimpleAtoi(absl::string_view(Text.data(), Text.size()), &Known) &&
      Known != 0 && Known == View_.getVersion()) {
    ResponseMessage Response = makeResponse(NotModified, "");
    setReportedAge(Response);
    Exchange->respond(Response);
    return true;
  }
  std::string Page = View_.encodeActiveConfig();
  ResponseMessage Response = Page.empty()
                                 ? makeResponse(Unavailable, "")
                                 : makeResponse(Ok, Page, "application/json");
  setReportedAge(Response);
  Exchange->respond(Response);
  return true;
}

} // namespace cranberry
