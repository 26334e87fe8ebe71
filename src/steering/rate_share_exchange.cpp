/// \file rate_share_exchange.cpp Shares of servers' request rates.
#include "steering/rate_share_exchange_base.h"

#include "net/http_message_func.h"
#include "process/member_selection_func.h"
#include "steering/rate_report_codec_func.h"

#include <algorithm>

using boost::system::error_code;

namespace cranberry {

namespace {

/// Time between two reports. A change of demand takes effect on all VMs within
/// two reports.
constexpr Duration ReportPeriod = milliseconds(500);

/// Delay of reports on a new limit, which servers tend to name in groups.
constexpr Duration NewLimitDelay = milliseconds(20);

/// Timeout of a report: shorter than its period, and longer than the longest
/// round trip.
constexpr Duration ReportTimeout = milliseconds(400);
constexpr Duration ReportConnectTimeout = milliseconds(300);

/// VMs send reports in each period, so connections stay open.
constexpr Duration MaxIdleTime = seconds(5);

/// Part of a limit that all VMs together use without reaching a ledger.
constexpr double FallbackScale = 0.4;

/// Part of a limit that the two sides of a network partition use together.
/// Each side assigns its part of the VMs.
constexpr double PartitionScale = 1.25;

} // namespace

RateShareExchange::RateShareExchange(boost::asio::io_context &Loop,
                                     RequestRouter &Router,
                                     const PeerExchange &Peers, EventLog &Log)
    : Router_(Router), Peers_(Peers), Log_(Log), Client_(Loop), Timer_(Loop) {
  // A server that names a limit gets no requests until a share is known.
  Router_.setOnRateLimit([this] { scheduleReports(NewLimitDelay); });
}

void RateShareExchange::start() { sendReports(); }

void RateShareExchange::scheduleReports(Duration Delay) {
  Time At = getNow() + Delay;
  if (NextReports_ > getNow() && NextReports_ <= At)
    return;
  NextReports_ = At;
  Timer_.expires_at(At);
  Timer_.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      sendReports();
  });
}

double RateShareExchange::getScale() const {
  MemberList Members = Peers_.getMembers();
  auto Alive = static_cast<double>(
      std::count_if(Members.begin(), Members.end(), [](const Member &Vm) {
        return Vm.State_ == MemberState::Alive;
      }));
  double All = std::max(1U, Router_.getVmCount());
  return std::min(1.0, PartitionScale * Alive / All);
}

void RateShareExchange::sendReports() {
  Time Now = getNow();
  Ledger_.expire(Now);
  MemberList Members = Peers_.getMembers();
  std::map<std::string, std::pair<const Member *, RateReport>> ByKeeper;
  for (RateDemand &Each : Router_.takeRateDemands()) {
    if (!Each.IsInUse_ && Each.Limit_.PerSecond_) {
      applyFallback(Each.Server_, Each.Limit_);
      continue;
    }
    const Member *Keeper =
        selectRateLedgerVm(Members, Each.Server_, Each.Zone_, Each.Region_);
    if (!Keeper)
      Keeper = &Peers_.getSelf();
    auto &[To, Report] = ByKeeper[Keeper->Vm_];
    To = Keeper;
    Report.Vm_ = Peers_.getSelf().Vm_;
    Report.Demands_.push_back(
        {std::move(Each.Server_), Each.Limit_, Each.PerSecond_});
  }
  for (const auto &[Vm, Target] : ByKeeper)
    reportTo(*Target.first, Target.second);
  scheduleReports(ReportPeriod);
}

void RateShareExchange::reportTo(const Member &Keeper,
                                 const RateReport &Report) {
  if (Keeper.Vm_ == Peers_.getSelf().Vm_) {
    applyReply(applyReport(Report));
    return;
  }
  HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + Keeper.PeerAddress_ + Path;
  Call.Body_ = encodeRateReport(Report, getNow());
  Call.Timeout_ = ReportTimeout;
  Call.ConnectTimeout_ = ReportConnectTimeout;
  Call.MaxIdleTime_ = MaxIdleTime;
  Client_.startCall(std::move(Call), [this, Report, Vm = Keeper.Vm_](
                                         const HttpResult &Result) {
    std::optional<RateReply> Reply;
    if (Result.Code_ == ResultCode::Ok)
      Reply = decodeRateReply(Result.Body_, getNow());
    if (Reply) {
      applyReply(*Reply);
      return;
    }
    Log_.write(getNow(), "rate-ledger-lost",
               {{"vm", Vm},
                {"servers", static_cast<uint64_t>(Report.Demands_.size())},
                {"text", Result.ErrorText_}});
    for (const RateEntry &Each : Report.Demands_)
      if (Each.Limit_.PerSecond_)
        applyFallback(Each.Server_, Each.Limit_);
  });
}

RateReply RateShareExchange::applyReport(const RateReport &Report) {
  Time Now = getNow();
  double Scale = getScale();
  RateReply Reply;
  for (const RateEntry &Each : Report.Demands_) {
    double Share = Ledger_.report(Each.Server_, Report.Vm_, Each.PerSecond_,
                                  Each.Limit_, Scale, Now);
    Reply.Shares_.push_back(
        {Each.Server_, Ledger_.getLimit(Each.Server_), Share});
  }
  return Reply;
}

void RateShareExchange::applyReply(const RateReply &Reply) {
  for (const RateEntry &Each : Reply.Shares_)
    Router_.setRateShare(Each.Server_, Each.Limit_, Each.PerSecond_);
}

void RateShareExchange::applyFallback(const std::string &Server,
                                      const NamedRateLimit &Named) {
  double Vms = std::max(1U, Router_.getVmCount());
  Router_.setRateShare(Server, Named, *Named.PerSecond_ * FallbackScale / Vms);
}

void RateShareExchange::handleReport(const IngressExchangePtr &Exchange) {
  constexpr unsigned Ok = 200;
  constexpr unsigned BadRequest = 400;
  std::optional<RateReport> Report =
      decodeRateReport(Exchange->getMessage().body(), getNow());
  if (!Report) {
    Log_.write(getNow(), "bad-rate-report",
               {{"bytes",
                 static_cast<uint64_t>(Exchange->getMessage().body().size())}});
    Exchange->respond(makeResponse(BadRequest, ""));
    return;
  }
  Exchange->respond(makeResponse(
      Ok, encodeRateReply(applyReport(*Report), getNow()), "application/json"));
}

} // namespace cranberry
