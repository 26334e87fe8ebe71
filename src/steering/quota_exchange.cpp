/// \file quota_exchange.cpp Leases of workspaces' quotas between entry VMs.
#include "steering/quota_exchange_base.h"

#include "net/http_message_func.h"

#include <algorithm>
#include <map>

using boost::system::error_code;

namespace cranberry {

namespace {

/// Period of the periodic update.
constexpr Duration UpdatePeriod = milliseconds(200);

/// After a longer gap between two updates, this process was paused.
constexpr Duration PauseLimit = milliseconds(1200);

/// Longest time until an answer is of use, and until the connection is open.
constexpr Duration AskTimeout = milliseconds(400);
constexpr Duration AskConnectTimeout = milliseconds(300);

/// Leases are renewed every few seconds, so connections stay open.
constexpr Duration MaxIdleTime = seconds(10);

} // namespace

QuotaExchange::QuotaExchange(boost::asio::io_context &Loop,
                             WorkspaceAdmission &Admission,
                             const PeerExchange &Peers, EventLog &Log)
    : Admission_(Admission), Peers_(Peers), Log_(Log),
      Holders_(Peers.getSelf().Vm_, getNow()),
      Ledger_(Peers.getSelf().Incarnation_), Client_(Loop), Timer_(Loop),
      LastUpdate_(getNow()) {
  Admission_.setOnAskDue([this](Time At) { scheduleRun(At); });
}

void QuotaExchange::applySettings(const Settings &Config) {
  Terms_ = {Config.QuotaWindow_, Config.QuotaSlack_};
  Ledger_.setTerms(Terms_);
  Admission_.setQuotaTerms(Terms_);
  if (Terms_.isEnforced())
    scheduleRun(getNow());
}

void QuotaExchange::scheduleRun(Time At) {
  if (NextRun_ <= At)
    return;
  NextRun_ = At;
  Timer_.expires_at(At);
  Timer_.async_wait([this](error_code Cancelled) {
    if (Cancelled)
      return;
    NextRun_ = Time::max();
    run();
  });
}

void QuotaExchange::run() {
  if (!Terms_.isEnforced())
    return;
  Time Now = getNow();
  if (Now - LastUpdate_ >= UpdatePeriod)
    updatePeers(Now);
  sendAsks(Now);
  Admission_.settleHeld(Now);
  scheduleRun(std::min(Now + UpdatePeriod, Admission_.getNextQuotaWork(Now)));
}

void QuotaExchange::updatePeers(Time Now) {
  if (Now - LastUpdate_ >= PauseLimit) {
    Holders_.recordPause(Now);
    Ledger_.retain([](const std::string &) { return false; });
    Log_.write(Now, "quota-pause", {{"gapMs", Now - LastUpdate_}});
  }
  LastUpdate_ = Now;
  std::vector<QuotaPeer> Seen;
  for (const Member &Vm : Peers_.getMembers())
    Seen.push_back({Vm.Vm_, Vm.State_ == MemberState::Alive,
                    Vm.State_ == MemberState::Leaving, Vm.Incarnation_});
  Holders_.setPeers(Seen, Now);
  Ledger_.retain([this](const std::string &Workspace) {
    return Holders_.isHeldHere(Workspace);
  });
  Ledger_.expire(Now);
}

void QuotaExchange::sendAsks(Time Now) {
  std::map<std::string, QuotaReport> ByHolder;
  for (QuotaAsk &Each : Admission_.getQuotas().takeAsks(Now)) {
    QuotaReport &Report = ByHolder[Holders_.getHolder(Each.Workspace_)];
    Report.Vm_ = Peers_.getSelf().Vm_;
    Report.Asks_.push_back(std::move(Each));
  }
  for (const auto &[Holder, Report] : ByHolder)
    sendReport(Holder, Report, Now);
}

void QuotaExchange::sendReport(const std::string &Holder,
                               const QuotaReport &Report, Time Now) {
  if (Holder == Peers_.getSelf().Vm_) {
    applyLeases(Report, grant(Report), Now);
    return;
  }
  HttpCall Call;
  for (const Member &Vm : Peers_.getMembers())
    if (Vm.Vm_ == Holder)
      Call.Url_ = "http://" + Vm.PeerAddress_ + Path;
  Call.Method_ = "POST";
  Call.Body_ = encodeQuotaReport(Report);
  Call.Timeout_ = AskTimeout;
  Call.ConnectTimeout_ = AskConnectTimeout;
  Call.MaxIdleTime_ = MaxIdleTime;
  Client_.startCall(std::move(Call), [this, Report, Holder,
                                      Now](const HttpResult &Result) {
    std::optional<std::vector<QuotaLease>> Leases;
    if (Result.Code_ == ResultCode::Ok)
      Leases = decodeQuotaLeases(Result.Body_);
    if (!Leases)
      Log_.write(getNow(), "quota-holder-lost",
                 {{"vm", Holder},
                  {"workspaces", static_cast<uint64_t>(Report.Asks_.size())},
                  {"text", Result.ErrorText_}});
    applyLeases(Report, Leases.value_or(std::vector<QuotaLease>()), Now);
    Admission_.settleHeld(getNow());
  });
}

std::vector<QuotaLease> QuotaExchange::grant(const QuotaReport &Report) {
  Time Now = getNow();
  // Until the next update, a pause could go unnoticed.
  if (Now - LastUpdate_ >= UpdatePeriod)
    updatePeers(Now);
  std::vector<QuotaLease> Result;
  for (const QuotaAsk &Each : Report.Asks_)
    if (Holders_.isHeldHere(Each.Workspace_))
      Result.push_back(Ledger_.lease(Each, Report.Vm_, Holders_.getScale(),
                                     Holders_.getTerm(Each.Workspace_), Now));
  return Result;
}

void QuotaExchange::applyLeases(const QuotaReport &Report,
                                const std::vector<QuotaLease> &Leases,
                                Time AskedAt) {
  Time Now = getNow();
  WorkspaceQuotas &Quotas = Admission_.getQuotas();
  for (const QuotaAsk &Ask : Report.Asks_) {
    auto Found = std::find_if(Leases.begin(), Leases.end(),
                              [&](const QuotaLease &Lease) {
                                return Lease.Workspace_ == Ask.Workspace_;
                              });
    if (Found == Leases.end())
      Quotas.recordNoAnswer(Ask.Workspace_, AskedAt, Now);
    else
      Quotas.applyLease(*Found, AskedAt, Now);
  }
}

bool QuotaExchange::handleRequest(const IngressExchangePtr &Exchange) {
  constexpr unsigned Ok = 200;
  constexpr unsigned BadRequest = 400;
  if (Exchange->getMessage().target() != Path)
    return false;
  std::optional<QuotaReport> Report =
      decodeQuotaReport(Exchange->getMessage().body());
  if (!Report) {
    Log_.write(getNow(), "bad-quota-report",
               {{"bytes",
                 static_cast<uint64_t>(Exchange->getMessage().body().size())}});
    Exchange->respond(makeResponse(BadRequest, ""));
    return true;
  }
  Exchange->respond(
      makeResponse(Ok, encodeQuotaLeases(grant(*Report)), "application/json"));
  return true;
}

} // namespace cranberry
