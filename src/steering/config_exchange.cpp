/// \file config_exchange.cpp Configurations that other entry VMs have in force.
#include "steering/config_exchange_base.h"

#include "net/http_message_func.h"

namespace cranberry {

namespace {

/// A configuration may be a megabyte, and a VM's link is 10 Mbit/s at the
/// least.
constexpr Duration FetchTimeout = seconds(1);
constexpr Duration ConnectTimeout = milliseconds(300);

} // namespace

ConfigExchange::ConfigExchange(boost::asio::io_context &Loop, StoreView &View,
                               EventLog &Log)
    : View_(View), Log_(Log), Client_(Loop) {}

void ConfigExchange::onVersionReported(const std::string &Peer,
                                       uint64_t Version) {
  Time Now = getNow();
  bool WasBehind = Versions_.isBehind(Now);
  Versions_.recordReport(Version, Now);
  if (!WasBehind && Versions_.isBehind(Now))
    Log_.write(Now, "config-behind",
               {{"version", View_.getVersion()},
                {"newest", Versions_.getNewest()},
                {"peer", Peer},
                {"ageMs", View_.getServerAge(Now)}});
  if (Versions_.startFetch(Version, Now))
    fetch(Peer, Version);
}

void ConfigExchange::fetch(const std::string &Peer, uint64_t Version) {
  HttpCall Call;
  Call.Method_ = "GET";
  Call.Url_ = "http://" + Peer + Path;
  Call.Timeout_ = FetchTimeout;
  Call.ConnectTimeout_ = ConnectTimeout;
  Client_.startCall(std::move(Call), [this, Peer,
                                      Version](const HttpResult &Result) {
    constexpr int Ok = 200;
    Reason Why;
    bool IsReceived = Result.Code_ == ResultCode::Ok && Result.Status_ == Ok;
    bool IsApplied = IsReceived && View_.applyRelayed(Result.Body_, Why);
    AppliedCount_ += IsApplied ? 1 : 0;
    Log_.write(getNow(), "config-fetched",
               {{"peer", Peer},
                {"reported", Version},
                {"version", View_.getVersion()},
                {"applied", IsApplied ? 1 : 0},
                {"status", Result.Status_},
                {"text", IsReceived ? Why.Message_ : Result.ErrorText_}});
  });
}

bool ConfigExchange::handleRequest(const IngressExchangePtr &Exchange) const {
  constexpr unsigned Ok = 200;
  constexpr unsigned Unavailable = 503;
  if (Exchange->getMessage().target() != Path)
    return false;
  std::string Page = View_.encodeActiveConfig();
  Exchange->respond(Page.empty() ? makeResponse(Unavailable, "")
                                 : makeResponse(Ok, Page, "application/json"));
  return true;
}

} // namespace cranberry
