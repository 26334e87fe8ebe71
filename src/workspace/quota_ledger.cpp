/// \file quota_ledger.cpp Divides the quotas of workspaces among entry VMs.
#include "workspace/quota_ledger_base.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Part of the rate that may be under long leases.
constexpr double LongLeaseShare = 0.85;

/// Part of the VMs below which a new holder may be on the smaller side of a
/// network partition, whose other side has a holder too.
constexpr double WholeScale = 0.9;

/// Tokens that a VM may save up: its rate in this time, and at least MinTokens
/// as requests take whole ones.
constexpr double SavingSeconds = 0.5;
constexpr double MinTokens = 1;

/// A smaller share of a quota that is used up is given out as single tokens. At
/// a low rate, tokens would often be unused until the next request.
constexpr double MinContendedRate = 3;

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

} // namespace

QuotaLedger::Account &QuotaLedger::open(const QuotaAsk &Ask,
                                        const QuotaTerm &Term, Time Now) {
  auto [At, IsNew] = Accounts_.try_emplace(Ask.Workspace_);
  Account &Known = At->second;
  if (IsNew) {
    Known.HolderSince_ = Term.Since_;
    Known.RefilledAt_ = Term.Since_;
  }
  // Other VMs may have become known that started earlier.
  Known.HasPredecessor_ = Known.HasPredecessor_ || Term.HasPredecessor_;
  if (Ask.Version_ >= Known.Version_) {
    Known.Quota_ = Ask.Quota_;
    Known.Version_ = Ask.Version_;
  }
  Known.AskedAt_ = Now;
  return Known;
}

double QuotaLedger::getAssumedRate(const Account &Known, Time At) const {
  if (!Known.HasPredecessor_)
    return 0;
  // Leases of the previous holder that this one doesn't know.
  Duration Age = At - Known.HolderSince_;
  if (Age < Terms_.getTakeoverDelay())
    return Known.Quota_.RatePerSecond_;
  if (Age < Terms_.getTakeoverDelay() + Terms_.getLongLease())
    return Known.Quota_.RatePerSecond_ * LongLeaseShare;
  return 0;
}

void QuotaLedger::endLeases(Account &Known, Time Now) {
  for (auto &[Vm, Each] : Known.Borrowers_)
    std::erase_if(Each.Leases_,
                  [Now](const Granted &Lease) { return Lease.EndsAt_ <= Now; });
  std::erase_if(Known.Borrowers_, [Now](const auto &Entry) {
    return Entry.second.Leases_.empty() && Entry.second.DemandUntil_ <= Now;
  });
}

QuotaLedger::Sum QuotaLedger::getLeased(const Account &Known,
                                        const std::string *Except) {
  Sum Result;
  for (const auto &[Vm, Each] : Known.Borrowers_) {
    if (Except && Vm == *Except)
      continue;
    Sum Largest;
    for (const Granted &Lease : Each.Leases_) {
      Largest.Rate_ = std::max(Largest.Rate_, Lease.Rate_);
      Largest.Capacity_ = std::max(Largest.Capacity_, Lease.Capacity_);
    }
    Result.Rate_ += Largest.Rate_;
    Result.Capacity_ += Largest.Capacity_;
  }
  return Result;
}

void QuotaLedger::recordUsed(Borrower &Self, const QuotaAsk &Ask) {
  std::erase_if(Self.Leases_, [&](const Granted &Earlier) {
    return Earlier.Number_ < Ask.Lease_.Number_;
  });
  // The VM may use less of its lease than it was given, never more again.
  for (Granted &Each : Self.Leases_)
    if (Each.Number_ == Ask.Lease_.Number_)
      Each.Rate_ = std::min(Each.Rate_, Ask.LeasedRate_);
}

void QuotaLedger::refill(Account &Known, double Scale, Time Now) const {
  Sum Leased = getLeased(Known, nullptr);
  // A scale that has risen doesn't apply to the time before.
  double Total = Known.Quota_.RatePerSecond_ * std::min(Scale, Known.Scale_);
  Known.Scale_ = Scale;
  // The assumed rate is a step function of time.
  for (Time From = Known.RefilledAt_; From < Now;) {
    Time To = Now;
    for (Duration Step : {Terms_.getTakeoverDelay(),
                          Terms_.getTakeoverDelay() + Terms_.getLongLease()})
      if (Known.HolderSince_ + Step > From)
        To = std::min(To, Known.HolderSince_ + Step);
    double Free = Total - Leased.Rate_ - getAssumedRate(Known, From);
    Known.Tokens_ += std::max(0.0, Free) * toSeconds(To - From);
    From = To;
  }
  Known.RefilledAt_ = std::max(Known.RefilledAt_, Now);
  double Capacity = Terms_.getCapacity(Known.Quota_) * Scale - Leased.Capacity_;
  Known.Tokens_ = std::clamp(Known.Tokens_, 0.0, std::max(0.0, Capacity));
}

double QuotaLedger::getFairShare(const Account &Known, const std::string &Vm,
                                 double Total) {
  double Own = Known.Borrowers_.at(Vm).Demand_;
  std::vector<double> Demands;
  for (const auto &[Name, Each] : Known.Borrowers_)
    Demands.push_back(Each.Demand_);
  std::sort(Demands.begin(), Demands.end());
  double Left = Total;
  for (size_t I = 0; I < Demands.size(); ++I) {
    double Equal = Left / static_cast<double>(Demands.size() - I);
    if (Demands[I] > Equal)
      return std::min(Own, Equal);
    Left -= Demands[I];
  }
  return Own;
}

QuotaLease QuotaLedger::lease(const QuotaAsk &Ask, const std::string &Vm,
                              double Scale, const QuotaTerm &Term, Time Now) {
  Account &Known = open(Ask, Term, Now);
  refill(Known, Scale, Now);
  endLeases(Known, Now);
  Borrower &Self = Known.Borrowers_[Vm];
  if (Ask.Lease_.Issuer_ == Issuer_)
    recordUsed(Self, Ask);
  Self.Demand_ = Ask.Demand_;
  Self.DemandUntil_ = Now + Terms_.getShortLease();

  double Total = Known.Quota_.RatePerSecond_ * Scale;
  Sum Others = getLeased(Known, &Vm);
  double Assumed = getAssumedRate(Known, Now);
  double Free = Total - Others.Rate_ - Assumed;
  // The VM's lease from the previous holder is part of the assumed rate.
  if (Assumed > 0 && Scale >= WholeScale)
    Free = std::max(Free, std::min(Ask.LeasedRate_, Total - Others.Rate_));

  QuotaLease Result;
  Result.Workspace_ = Ask.Workspace_;
  Result.Id_ = {Issuer_, NextNumber_++};
  double Share = getFairShare(Known, Vm, Total);
  bool IsContended = Share < Ask.Demand_;
  if (!IsContended || Share >= MinContendedRate)
    Result.Rate_ = std::clamp(Share, 0.0, std::max(0.0, Free));
  // The bucket keeps room for a token, so that a VM without a rate gets single
  // ones.
  double Room =
      Terms_.getCapacity(Known.Quota_) * Scale - Others.Capacity_ - MinTokens;
  double Wanted =
      std::max(MinTokens, Result.Rate_ * SavingSeconds + Ask.Tokens_);
  if (Room < MinTokens) // It couldn't save up a whole token.
    Result.Rate_ = 0;
  else
    Result.Capacity_ = std::min(Wanted, std::max(MinTokens, Room / 2));
  bool IsFar = Others.Rate_ + Result.Rate_ <= Total * LongLeaseShare;
  Result.Life_ = IsFar ? Terms_.getLongLease() : Terms_.getShortLease();
  Result.Tokens_ = std::min({Ask.Tokens_, Known.Tokens_, Result.Capacity_});
  if (Result.Rate_ <= 0) // Parts of a token are of no use to anyone.
    Result.Capacity_ = Result.Tokens_ =
        std::floor(std::min(std::ceil(Ask.Tokens_), Known.Tokens_));
  Known.Tokens_ -= Result.Tokens_;
  Self.Leases_.push_back(
      {Result.Id_.Number_, Result.Rate_, Result.Capacity_, Now + Result.Life_});
  return Result;
}

void QuotaLedger::retain(
    const std::function<bool(const std::string &)> &IsHeld) {
  std::erase_if(Accounts_,
                [&](const auto &Entry) { return !IsHeld(Entry.first); });
}

void QuotaLedger::expire(Time Now) {
  for (auto &[Workspace, Known] : Accounts_) {
    refill(Known, Known.Scale_, Now);
    endLeases(Known, Now);
  }
  std::erase_if(Accounts_, [&](const auto &Entry) {
    const Account &Known = Entry.second;
    return Known.Borrowers_.empty() && Known.AskedAt_ + Terms_.Window_ <= Now &&
           Known.Tokens_ >= Terms_.getCapacity(Known.Quota_) * Known.Scale_;
  });
}

} // namespace cranberry
