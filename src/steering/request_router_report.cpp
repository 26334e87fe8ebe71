/// \file request_router_report.cpp Demands for rate limits, logs and gauges.
#include "steering/request_router_base.h"

#include <absl/strings/str_cat.h>

namespace cranberry {

std::vector<RateDemand> RequestRouter::takeRateDemands() {
  std::vector<RateDemand> Result;
  for (auto &[Name, Pool] : Pools_)
    for (RateDemand &Each : Pool->Balancer_.takeRateDemands(getNow()))
      Result.push_back(std::move(Each));
  return Result;
}

void RequestRouter::setRateShare(const std::string &Server,
                                 const NamedRateLimit &Named, double Share) {
  for (auto &[Name, Pool] : Pools_)
    if (Pool->Servers_.contains(Server)) {
      Pool->Balancer_.setRateShare(Server, Named, Share, getNow());
      scheduleStep(*Pool);
    }
}

void RequestRouter::logRateUse() {
  Time Now = getNow();
  for (auto &[Name, Pool] : Pools_)
    for (const RateUse &Use : Pool->Balancer_.getRateUse(Now))
      Log_.write(Now, "rate-use",
                 {{"server", Use.Server_},
                  {"service", Name},
                  {"limit", Use.Limit_},
                  {"share", Use.Share_},
                  {"starts", Use.Starts_},
                  {"windowMs", RecentStarts::Window}});
}

void RequestRouter::logDecisions() {
  logRateUse();
  for (auto &[Name, Pool] : Pools_)
    logDivision(*Pool);
}

void RequestRouter::updateGauges() {
  Metrics_.setGauge("cranberry_homed_attempts", "current",
                    static_cast<double>(HomedAttempts_.Current_));
  Metrics_.setGauge("cranberry_homed_attempts", "outdated",
                    static_cast<double>(HomedAttempts_.Outdated_));
  Time Now = getNow();
  for (auto &[Name, Pool] : Pools_) {
    Metrics_.setGauge("cranberry_waiting_requests", Name,
                      static_cast<double>(Pool->Balancer_.getWaiting()));
    Metrics_.setGauge("cranberry_requests_in_flight", Name,
                      Pool->Balancer_.getInFlight());
    Metrics_.setGauge("cranberry_usable_servers", Name,
                      static_cast<double>(Pool->Servers_.size()));
    Metrics_.setGauge("cranberry_cold_servers", Name,
                      Pool->Balancer_.getColdServers(Now));
    Metrics_.setGauge(
        "cranberry_limited_servers", Name,
        static_cast<double>(Pool->Balancer_.getRateUse(Now).size()));
    Metrics_.setGauge("cranberry_repeat_budget_left", Name,
                      Pool->RetryBudget_.getRemaining(Now));
    std::map<std::string, double> Shares;
    for (const auto &[Zone, Region] : Settings_.Zones_)
      Shares[Region] = 0;
    for (const RegionShare &To : Pool->Balancer_.getDivider().getShares())
      Shares[To.Region_] = To.Share_;
    for (const auto &[Region, Share] : Shares)
      Metrics_.setGauge("cranberry_divided_share",
                        absl::StrCat(Name, " to ", Region), Share);
  }
  Workspaces_.updateGauges(Metrics_);
  Metrics_.setGauge("cranberry_open_requests", "all",
                    static_cast<double>(Flows_.size()));
  Metrics_.setGauge("cranberry_server_connections_opened", "all",
                    static_cast<double>(Connections_.getOpenedCount()));
}

} // namespace cranberry
