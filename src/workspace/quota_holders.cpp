/// \file quota_holders.cpp Selects the entry VMs that hold quotas.
#include "workspace/quota_holders_base.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Earlier views that are kept. Older ones are of no use: a VM that has held a
/// quota through all of them counts from the oldest.
constexpr size_t MaxViews = 8;

/// VMs that started within this time of each other started together. An earlier
/// one may have leases of an earlier process of this VM.
constexpr Duration StartSpan = milliseconds(500);

/// After this time, this process has learned of the others.
constexpr Duration JoinTime = seconds(2);

/// FNV-1a, which gives the same hash on every VM.
uint64_t hashName(const std::string &Name) {
  uint64_t Hash = 0xcbf29ce484222325ULL;
  for (unsigned char C : Name)
    Hash = (Hash ^ C) * 0x100000001b3ULL;
  return Hash;
}

/// Finalizer of SplitMix64.
uint64_t mix(uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31U);
}

} // namespace

void QuotaHolders::setPeers(const std::vector<QuotaPeer> &Peers, Time Now) {
  std::vector<Candidate> Candidates;
  for (const QuotaPeer &Each : Peers) {
    if (Each.IsLeaving_) {
      Known_.erase(Each.Vm_);
      continue;
    }
    Known_[Each.Vm_] = Now;
    if (Each.IsAlive_)
      Candidates.push_back({Each.Vm_, hashName(Each.Vm_), Each.Incarnation_});
    if (Each.Vm_ == Self_)
      Incarnation_ = Each.Incarnation_;
  }
  std::erase_if(Known_, [Now](const auto &Entry) {
    return Entry.second + LostRetention <= Now;
  });
  std::sort(
      Candidates.begin(), Candidates.end(),
      [](const Candidate &A, const Candidate &B) { return A.Vm_ < B.Vm_; });
  auto IsSame = [](const Candidate &A, const Candidate &B) {
    return A.Vm_ == B.Vm_ && A.Incarnation_ == B.Incarnation_;
  };
  if (!Views_.empty() && std::equal(Candidates.begin(), Candidates.end(),
                                    Views_.back().Candidates_.begin(),
                                    Views_.back().Candidates_.end(), IsSame))
    return;
  Views_.push_back({std::move(Candidates), Now});
  if (Views_.size() > MaxViews)
    Views_.erase(Views_.begin());
}

void QuotaHolders::recordPause(Time Now) {
  Since_ = Now;
  WasPaused_ = true;
}

const std::string *
QuotaHolders::select(const std::vector<Candidate> &Candidates,
                     const std::string &Workspace) {
  uint64_t Key = hashName(Workspace);
  const Candidate *Best = nullptr;
  uint64_t BestWeight = 0;
  for (const Candidate &Each : Candidates) {
    uint64_t Weight = mix(Each.Hash_ ^ Key);
    if (!Best || Weight > BestWeight) {
      Best = &Each;
      BestWeight = Weight;
    }
  }
  return Best ? &Best->Vm_ : nullptr;
}

const std::string &QuotaHolders::getHolder(const std::string &Workspace) const {
  const std::string *Found =
      Views_.empty() ? nullptr : select(Views_.back().Candidates_, Workspace);
  return Found ? *Found : Self_;
}

bool QuotaHolders::haveAllStarted(Time HeldSince) const {
  if (WasPaused_ || Views_.empty() || HeldSince - Start_ >= JoinTime)
    return false;
  const std::vector<Candidate> &All = Views_.back().Candidates_;
  auto Span = static_cast<uint64_t>(toMilliseconds(StartSpan));
  return std::all_of(All.begin(), All.end(), [&](const Candidate &Each) {
    return Each.Incarnation_ + Span >= Incarnation_;
  });
}

QuotaTerm QuotaHolders::getTerm(const std::string &Workspace) const {
  Time Result = Time::max();
  for (auto Each = Views_.rbegin(); Each != Views_.rend(); ++Each) {
    const std::string *Holder = select(Each->Candidates_, Workspace);
    if (!Holder || *Holder != Self_)
      break;
    Result = Each->Since_;
  }
  Result = Result == Time::max() ? Since_ : std::max(Since_, Result);
  return {Result, !haveAllStarted(Result)};
}

double QuotaHolders::getScale() const {
  if (Views_.empty() || Known_.empty())
    return 1;
  double Alive = static_cast<double>(Views_.back().Candidates_.size());
  auto All = static_cast<double>(std::max(Known_.size(), Listed_));
  return std::min(1.0, Alive / All);
}

} // namespace cranberry
