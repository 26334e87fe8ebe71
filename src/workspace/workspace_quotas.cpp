/// \file workspace_quotas.cpp Limits the requests of workspaces at one VM.
#include "workspace/workspace_quotas_base.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// The time constant of the recent demand covers this many requests, so that
/// the demand of a busy workspace is followed quickly and that of others
/// isn't noise.
constexpr double DemandRequests = 5;
constexpr double MinDemandSeconds = 0.3;
constexpr double MaxDemandSeconds = 2;

/// Demand is requested with this margin, as arrivals are uneven.
constexpr double DemandGrowth = 1.15;
constexpr double DemandMargin = 0.3;

/// A lease is given up if its rate is above this and much above the demand.
constexpr double MinOversized = 2;
constexpr double OversizedShare = 0.5;

/// Tokens for the arrivals of this time are requested ahead.
constexpr double AheadSeconds = 0.1;

/// Shortest time between two requests to the holder.
constexpr Duration MinAskPeriod = milliseconds(50);

/// The same while the quota is used up: others have to get their part.
constexpr Duration ExhaustedAskPeriod = milliseconds(200);

/// While the quota is used up, one request may wait for the next token if that
/// comes within this time, or for the holder's answer. Otherwise, tokens of VMs
/// with few requests would be unused until the next request.
constexpr Duration MaxReserveTime = milliseconds(300);
constexpr Duration ReserveMargin = milliseconds(50);

/// A demand below this is none.
constexpr double NoDemand = 0.02;

/// Earliest return of a refused client, and the rate of returns of a VM
/// without a lease.
constexpr Duration MinReturn = milliseconds(250);
constexpr double MinReturnRate = 1;

double getTimeConstant(double Demand) {
  return std::clamp(DemandRequests / std::max(Demand, 0.01), MinDemandSeconds,
                    MaxDemandSeconds);
}

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

Duration fromSeconds(double Length) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Length));
}

} // namespace

void WorkspaceQuotas::setWorkspaces(
    const std::vector<WorkspaceConfig> &Workspaces, uint64_t Version) {
  Version_ = Version;
  std::map<std::string, Share> Kept;
  for (const WorkspaceConfig &Each : Workspaces) {
    auto Found = Shares_.find(Each.Name_);
    if (!Each.Quota_ || Found == Shares_.end())
      continue;
    Share &Known = Found->second;
    double Ratio = Each.Quota_->RatePerSecond_ /
                   std::max(Known.Quota_.RatePerSecond_, NoDemand);
    // The lease follows a lower quota without waiting for another one.
    if (Ratio < 1) {
      Known.Rate_ *= Ratio;
      Known.Tokens_ *= Ratio;
    }
    Known.Quota_ = *Each.Quota_;
    Kept[Each.Name_] = Known;
  }
  Shares_ = std::move(Kept);
}

WorkspaceQuotas::Share &
WorkspaceQuotas::getShare(const WorkspaceConfig &Workspace, Time Now) {
  auto [At, IsNew] = Shares_.try_emplace(Workspace.Name_);
  if (IsNew) {
    At->second.Quota_ = *Workspace.Quota_;
    At->second.RefilledAt_ = Now;
    At->second.DemandAt_ = Now;
  }
  return At->second;
}

void WorkspaceQuotas::refill(Share &Known, Time Now) const {
  if (Known.EndsAt_ <= Now) {
    Known.Tokens_ = 0;
    Known.Rate_ = 0;
    Known.Lease_ = {};
  } else {
    Known.Tokens_ = std::min(
        Known.Capacity_,
        Known.Tokens_ + Known.Rate_ * toSeconds(Now - Known.RefilledAt_));
  }
  Known.RefilledAt_ = Now;
}

void WorkspaceQuotas::decayDemand(Share &Known, Time Now) {
  Known.Demand_ *= std::exp(-toSeconds(Now - Known.DemandAt_) /
                            getTimeConstant(Known.Demand_));
  Known.DemandAt_ = Now;
}

QuotaExceeded WorkspaceQuotas::refuse(Share &Known, Time Now) const {
  ++Known.Refused_;
  // Clients that return one after the other, at the rate of the lease, find
  // room.
  Duration Step = fromSeconds(1 / std::max(Known.Rate_, MinReturnRate));
  Known.LastReturn_ =
      std::min(std::max(Known.LastReturn_, Now + MinReturn) + Step,
               Now + Terms_.Window_);
  return {Known.LastReturn_ - Now, Known.Quota_.RatePerSecond_, Known.Rate_,
          Known.Tokens_, Now - Known.AnsweredAt_};
}

bool WorkspaceQuotas::tryReserve(Share &Known, bool IsNew, Time Now) {
  if (!IsNew || Now < Known.ReservedUntil_)
    return !IsNew && Now < Known.ReservedUntil_;
  Duration Wait = MaxReserveTime;
  if (Known.Rate_ > 0)
    Wait = fromSeconds((1 - Known.Tokens_) / Known.Rate_);
  if (Wait > MaxReserveTime)
    return false;
  Known.ReservedUntil_ = Now + Wait + ReserveMargin;
  return true;
}

QuotaDecision WorkspaceQuotas::decide(Share &Known, bool IsNew, bool IsLast,
                                      Time Now) {
  refill(Known, Now);
  if (Known.Tokens_ >= 1) {
    Known.Tokens_ -= 1;
    ++Known.Taken_;
    return QuotaTaken{Known.EndsAt_};
  }
  bool IsExhausted = Known.Room_ == Room::Exhausted &&
                     Now - Known.RoomAt_ < Terms_.getShortLease();
  if (IsLast || (IsExhausted && !tryReserve(Known, IsNew, Now)))
    return refuse(Known, Now);
  return QuotaPending{};
}

QuotaDecision WorkspaceQuotas::take(const WorkspaceConfig &Workspace,
                                    Time Now) {
  if (!Workspace.Quota_ || !Terms_.isEnforced())
    return QuotaTaken{Time::min()};
  Share &Known = getShare(Workspace, Now);
  decayDemand(Known, Now);
  Known.Demand_ += 1 / getTimeConstant(Known.Demand_);
  QuotaDecision Result = decide(Known, true, false, Now);
  // A token for a request that was refused would be unused if there are few.
  bool IsFrequent = Known.Demand_ * toSeconds(ExhaustedAskPeriod) >= 1;
  if (std::holds_alternative<QuotaPending>(Result) ||
      (std::holds_alternative<QuotaExceeded>(Result) && IsFrequent))
    Known.Missing_ += 1;
  return Result;
}

QuotaDecision WorkspaceQuotas::retake(const WorkspaceConfig &Workspace,
                                      bool IsLast, Time Now) {
  if (!Workspace.Quota_ || !Terms_.isEnforced())
    return QuotaTaken{Time::min()};
  return decide(getShare(Workspace, Now), false, IsLast, Now);
}

bool WorkspaceQuotas::tryTakeRepeat(const WorkspaceConfig &Workspace,
                                    Time Now) {
  if (!Workspace.Quota_ || !Terms_.isEnforced())
    return true;
  Share &Known = getShare(Workspace, Now);
  refill(Known, Now);
  if (Known.Tokens_ < 1)
    return false;
  Known.Tokens_ -= 1;
  return true;
}

void WorkspaceQuotas::giveBack(const std::string &Workspace,
                               const QuotaTaken &Taken, Time Now) {
  auto Found = Shares_.find(Workspace);
  if (Found == Shares_.end() || Taken.ValidUntil_ <= Now)
    return;
  Share &Known = Found->second;
  refill(Known, Now);
  if (Known.EndsAt_ > Now)
    Known.Tokens_ = std::min(Known.Capacity_, Known.Tokens_ + 1);
}

bool WorkspaceQuotas::isOversized(const Share &Known, Time Now) {
  double Elapsed = toSeconds(Now - Known.DemandAt_);
  double Demand =
      Known.Demand_ * std::exp(-Elapsed / getTimeConstant(Known.Demand_));
  return Known.Rate_ > MinOversized && Known.EndsAt_ > Now &&
         Demand * DemandGrowth + DemandMargin < Known.Rate_ * OversizedShare;
}

Time WorkspaceQuotas::getAskTime(const Share &Known) {
  if (Known.IsAsking_)
    return Time::max();
  if (Known.Missing_ > 0)
    return Known.AskedAt_ +
           (Known.Room_ == Room::Exhausted ? ExhaustedAskPeriod : MinAskPeriod);
  return Known.RenewAt_;
}

Time WorkspaceQuotas::getNextAsk(Time Now) const {
  Time Result = Time::max();
  for (const auto &[Name, Known] : Shares_)
    Result = std::min(Result, getAskTime(Known));
  return std::max(Result, Now);
}

double WorkspaceQuotas::getWanted(const Share &Known) {
  if (Known.Room_ != Room::Exhausted)
    return Known.Missing_ + Known.Demand_ * AheadSeconds;
  // Most requests that lacked a token have been refused.
  return std::max(1.0, Known.Demand_ * toSeconds(ExhaustedAskPeriod));
}

std::vector<QuotaAsk> WorkspaceQuotas::takeAsks(Time Now) {
  std::vector<QuotaAsk> Result;
  for (auto &[Name, Known] : Shares_) {
    bool IsOversized = !Known.IsAsking_ && isOversized(Known, Now);
    if (getAskTime(Known) > Now && !IsOversized)
      continue;
    refill(Known, Now);
    decayDemand(Known, Now);
    if (Known.Missing_ == 0 && Known.Demand_ < NoDemand && !IsOversized) {
      Known.RenewAt_ = Time::max(); // The lease ends unused.
      continue;
    }
    Known.AskedRate_ = Known.Demand_ * DemandGrowth + DemandMargin;
    if (IsOversized)
      Known.Rate_ = std::min(Known.Rate_, Known.AskedRate_);
    Known.Asked_ = std::max(0.0, getWanted(Known) - Known.Tokens_);
    Known.Missing_ = 0;
    Known.AskedAt_ = Now;
    Known.IsAsking_ = true;
    Result.push_back({Name, Known.Quota_, Version_, Known.AskedRate_,
                      Known.Asked_, Known.Rate_, Known.Lease_});
  }
  return Result;
}

bool WorkspaceQuotas::isDue(const Share &Known, Time AskedAt) {
  return Known.IsAsking_ && Known.AskedAt_ == AskedAt;
}

void WorkspaceQuotas::applyLease(const QuotaLease &Lease, Time AskedAt,
                                 Time Now) {
  auto Found = Shares_.find(Lease.Workspace_);
  if (Found == Shares_.end() || !isDue(Found->second, AskedAt))
    return;
  Share &Known = Found->second;
  refill(Known, Now);
  Known.IsAsking_ = false;
  Known.AnsweredAt_ = Now;
  Known.RoomAt_ = Now;
  Known.Lease_ = Lease.Id_;
  Known.Rate_ = Lease.Rate_;
  Known.Capacity_ = Lease.Capacity_;
  // The holder counts from the arrival of the request, which is later.
  Known.EndsAt_ = AskedAt + Lease.Life_;
  Known.RenewAt_ = AskedAt + Lease.Life_ / 2;
  Known.Tokens_ = std::min(Known.Capacity_, Known.Tokens_ + Lease.Tokens_);
  if (Known.EndsAt_ <= Now)
    refill(Known, Now);
  bool IsMet = Known.Tokens_ >= 1 || Lease.Rate_ >= Known.AskedRate_;
  Known.Room_ = IsMet ? Room::Left : Room::Exhausted;
}

void WorkspaceQuotas::recordNoAnswer(const std::string &Workspace, Time AskedAt,
                                     Time Now) {
  auto Found = Shares_.find(Workspace);
  if (Found == Shares_.end() || !isDue(Found->second, AskedAt))
    return;
  Share &Known = Found->second;
  refill(Known, Now);
  Known.IsAsking_ = false;
  Known.Room_ = Room::Exhausted;
  Known.RoomAt_ = Now;
}

std::vector<QuotaUse> WorkspaceQuotas::getUse(size_t Limit) const {
  std::vector<QuotaUse> Result;
  for (const auto &[Name, Known] : Shares_)
    Result.push_back({Name, Known.Quota_.RatePerSecond_, Known.Rate_,
                      Known.Taken_, Known.Refused_});
  size_t Shown = std::min(Limit, Result.size());
  std::partial_sort(Result.begin(), Result.begin() + Shown, Result.end(),
                    [](const QuotaUse &A, const QuotaUse &B) {
                      return A.Refused_ > B.Refused_;
                    });
  Result.resize(Shown);
  return Result;
}

} // namespace cranberry
