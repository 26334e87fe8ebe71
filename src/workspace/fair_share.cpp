/// \file fair_share.cpp Divides room among workspaces when it is short.
#include "workspace/fair_share_base.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cranberry {

namespace {

/// Half-life of demand and use. Longer than most requests run.
constexpr Duration HalfLife = seconds(2);

/// Interval at which the sums decay and the shares are computed.
constexpr Duration UpdateInterval = milliseconds(100);

/// Room counts as short if more than this share of the work wasn't started.
constexpr double ShortageShare = 0.05;

/// Accounts with less work, in seconds of slots, are removed.
constexpr double MinWork = 1e-3;

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

} // namespace

void FairShare::recordArrival(const std::string &Workspace, double Weight,
                              Duration Work, Time Now) {
  update(Now);
  Account &Known = Accounts_[Workspace];
  Known.Weight_ = Weight;
  Known.Demand_ += toSeconds(Work);
}

void FairShare::recordStart(const std::string &Workspace, Duration Work,
                            Time Now) {
  update(Now);
  Accounts_[Workspace].Use_ += toSeconds(Work);
}

double FairShare::getFactor(const std::string &Workspace, Time Now) {
  update(Now);
  auto Found = Accounts_.find(Workspace);
  if (Level_ <= 0 || Found == Accounts_.end())
    return 1;
  const auto &[Weight, Demand, Use] = Found->second;
  double Share = Level_ * Weight;
  return Use <= Share ? 1 : std::max(MinFactor, Share / Use);
}

void FairShare::update(Time Now) {
  Duration Passed = Now - Updated_;
  if (Passed < UpdateInterval)
    return;
  Updated_ = Now;
  double Factor = std::exp2(-toSeconds(Passed) / toSeconds(HalfLife));
  for (auto &[Name, Known] : Accounts_) {
    Known.Demand_ *= Factor;
    Known.Use_ *= Factor;
  }
  absl::erase_if(Accounts_, [](const auto &Entry) {
    return Entry.second.Demand_ < MinWork && Entry.second.Use_ < MinWork;
  });
  computeLevel();
}

void FairShare::computeLevel() {
  double Demand = 0;
  double Use = 0;
  double Weights = 0;
  std::vector<const Account *> ByNeed;
  for (const auto &[Name, Known] : Accounts_) {
    Demand += Known.Demand_;
    Use += Known.Use_;
    Weights += Known.Weight_;
    ByNeed.push_back(&Known);
  }
  Level_ = 0;
  if (Demand - Use <= ShortageShare * Demand)
    return;
  auto GetNeed = [](const Account *Known) {
    return Known->Demand_ / Known->Weight_;
  };
  std::sort(ByNeed.begin(), ByNeed.end(),
            [&](const Account *A, const Account *B) {
              return GetNeed(A) < GetNeed(B);
            });
  double Left = Use;
  for (const Account *Known : ByNeed) {
    if (GetNeed(Known) * Weights > Left) {
      Level_ = Left / Weights;
      return;
    }
    Left -= Known->Demand_;
    Weights -= Known->Weight_;
  }
}

double getFairWeight(const RoutingConfig &Config,
                     const WorkspaceConfig &Workspace) {
  if (Workspace.Quota_)
    return Workspace.Quota_->RatePerSecond_;
  double Highest = 0;
  for (const WorkspaceConfig &Each : Config.Workspaces_)
    if (Each.Quota_)
      Highest = std::max(Highest, Each.Quota_->RatePerSecond_);
  return Highest > 0 ? Highest : 1;
}

} // namespace cranberry
