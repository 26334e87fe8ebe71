/// \file rate_ledger.cpp Divides the request rates of servers among VMs.
#include "process/rate_ledger_base.h"

#include <algorithm>
#include <vector>

namespace cranberry {

namespace {

/// Largest share beyond the demand, relative to the demand.
constexpr double MaxGrowth = 1;

} // namespace

double RateLedger::report(const std::string &Server, const std::string &Vm,
                          double Demand, const NamedRateLimit &Named,
                          double Scale, Time Now) {
  Account &Known = Accounts_[Server];
  if (Named.NamedAt_ >= Known.Limit_.NamedAt_)
    Known.Limit_ = Named;
  expire(Known, Now);
  if (!Known.Limit_.PerSecond_) {
    Known.Reports_.erase(Vm);
    return 0;
  }
  Known.Reports_[Vm] = {Demand, Now};
  return getFairShare(Known, Vm, *Known.Limit_.PerSecond_ * Scale);
}

NamedRateLimit RateLedger::getLimit(const std::string &Server) const {
  auto Found = Accounts_.find(Server);
  return Found == Accounts_.end() ? NamedRateLimit() : Found->second.Limit_;
}

void RateLedger::expire(Account &Known, Time Now) {
  std::erase_if(Known.Reports_, [Now](const auto &Entry) {
    return Entry.second.At_ + ReportLifetime <= Now;
  });
}

void RateLedger::expire(Time Now) {
  for (auto &[Server, Known] : Accounts_)
    expire(Known, Now);
  std::erase_if(Accounts_, [](const auto &Entry) {
    return Entry.second.Reports_.empty();
  });
}

double RateLedger::getFairShare(const Account &Known, const std::string &Vm,
                                double Total) {
  double Own = Known.Reports_.at(Vm).Demand_;
  std::vector<double> Demands;
  for (const auto &[Name, Each] : Known.Reports_)
    Demands.push_back(Each.Demand_);
  std::sort(Demands.begin(), Demands.end());
  double Left = Total;
  for (size_t I = 0; I < Demands.size(); ++I) {
    double Equal = Left / static_cast<double>(Demands.size() - I);
    if (Demands[I] > Equal)
      return std::min(Own, Equal);
    Left -= Demands[I];
  }
  // All demands are met. Part of the rest lets each VM grow until its next
  // report; all of it would go to the first VM that reports to a new ledger.
  return Own +
         std::min(Own * MaxGrowth, Left / static_cast<double>(Demands.size()));
}

} // namespace cranberry
