/// \file quota_fleet.cpp Entry VMs that share a quota, on virtual time.
#include "test/support/quota_fleet_base.h"

#include <algorithm>

namespace cranberry::test {

namespace {

/// Within this time, VMs learn that another one failed, is cut off, or is back.
constexpr Duration DetectionTime = milliseconds(1000);

/// Timeout of a request for a lease, and of a request that waits for one.
constexpr Duration AskTimeout = milliseconds(400);

/// A VM that ran no step for this long was paused.
constexpr Duration PauseLimit = milliseconds(1200);

} // namespace

QuotaFleet::QuotaFleet(unsigned Vms, const QuotaTerms &Terms,
                       WorkspaceConfig Workspace, const QuotaLinks &Links,
                       uint64_t Seed)
    : Terms_(Terms), Workspace_(std::move(Workspace)), Links_(Links),
      Random_(Seed), Nodes_(Vms), IsOther_(Vms, false),
      Largest_(*Workspace_.Quota_) {
  for (unsigned I = 0; I < Vms; ++I)
    start(I);
}

Duration QuotaFleet::draw(Duration Least, Duration Most) {
  std::uniform_int_distribution<int64_t> Any(Least.count(), Most.count());
  return Duration(Any(Random_));
}

void QuotaFleet::start(unsigned Vm) {
  Node &Self = Nodes_[Vm];
  ++Self.Process_;
  Self.Incarnation_ =
      static_cast<uint64_t>(toMilliseconds(Now_.time_since_epoch()));
  std::string Name = "vm" + std::to_string(Vm);
  Self.Workspace_ = Workspace_;
  Self.Holders_ = std::make_unique<QuotaHolders>(Name, Now_);
  Self.Holders_->setListedCount(Nodes_.size());
  Self.Ledger_ = std::make_unique<QuotaLedger>(Vm * 1000 + Self.Process_);
  Self.Ledger_->setTerms(Terms_);
  Self.Quotas_ = std::make_unique<WorkspaceQuotas>();
  Self.Quotas_->setTerms(Terms_);
  Self.LastRun_ = Now_;
  Self.PausedUntil_ = Now_;
  Self.Held_.clear();
  Self.Sees_.assign(Nodes_.size(), false);
  Self.Sees_[Vm] = true;
  updateView(Vm);
  for (unsigned I = 0; I < Nodes_.size(); ++I)
    if (I != Vm && areInTouch(I, Vm))
      see(Vm, I, true, milliseconds(400));
}

void QuotaFleet::updateView(unsigned Vm) {
  std::vector<QuotaPeer> Peers;
  for (unsigned I = 0; I < Nodes_.size(); ++I)
    if (Nodes_[Vm].Sees_[I])
      Peers.push_back(
          {"vm" + std::to_string(I), true, false, Nodes_[I].Incarnation_});
  Nodes_[Vm].Holders_->setPeers(Peers, Now_);
  Nodes_[Vm].Ledger_->retain([&](const std::string &Name) {
    return Nodes_[Vm].Holders_->isHeldHere(Name);
  });
}

void QuotaFleet::see(unsigned Vm, unsigned Other, bool IsAlive,
                     Duration Within) {
  Views_.push_back({Now_ + draw(Duration(0), Within), Vm, Other, IsAlive});
}

bool QuotaFleet::areInTouch(unsigned A, unsigned B) const {
  return IsOther_[A] == IsOther_[B];
}

void QuotaFleet::split(const std::vector<bool> &IsOther) {
  IsOther_ = IsOther;
  Views_.clear();
  for (unsigned A = 0; A < Nodes_.size(); ++A)
    for (unsigned B = 0; B < Nodes_.size(); ++B)
      if (A != B)
        see(A, B, areInTouch(A, B) && Nodes_[B].PausedUntil_ <= Now_,
            DetectionTime);
}

void QuotaFleet::restart(unsigned Vm) { start(Vm); }

void QuotaFleet::pause(unsigned Vm, Duration Length) {
  Nodes_[Vm].PausedUntil_ = Now_ + Length;
  for (unsigned I = 0; I < Nodes_.size(); ++I)
    if (I != Vm && areInTouch(I, Vm) && Length > DetectionTime) {
      see(I, Vm, false, DetectionTime);
      Views_.push_back(
          {Now_ + Length + draw(Duration(0), DetectionTime), I, Vm, true});
    }
}

void QuotaFleet::setQuota(const WorkspaceQuota &Quota) {
  if (Quota.RatePerSecond_ < Workspace_.Quota_->RatePerSecond_)
    LargestUntil_ = Now_ + DetectionTime + Terms_.Window_ * 2;
  if (Now_ >= LargestUntil_ || Quota.RatePerSecond_ > Largest_.RatePerSecond_)
    Largest_ = Quota;
  Workspace_.Quota_ = Quota;
  for (unsigned I = 0; I < Nodes_.size(); ++I)
    Changes_.push_back({Now_ + draw(Duration(0), DetectionTime), I, Quota});
}

double QuotaFleet::getBound(double Excess) const {
  const WorkspaceQuota &Quota =
      Now_ < LargestUntil_ ? Largest_ : *Workspace_.Quota_;
  double Seconds = std::chrono::duration<double>(Terms_.Window_).count();
  return (Quota.RatePerSecond_ * Seconds + Quota.Burst_) * (1 + Excess) +
         Terms_.Slack_;
}

unsigned QuotaFleet::countAdmitted(Duration Window, int Vm) const {
  unsigned Result = 0;
  for (auto Each = Admitted_.rbegin();
       Each != Admitted_.rend() && Each->first > Now_ - Window; ++Each)
    Result += Vm < 0 || Each->second == static_cast<unsigned>(Vm);
  return Result;
}

void QuotaFleet::send(Message Next) {
  ++Messages_;
  std::uniform_real_distribution<double> Unit(0, 1);
  unsigned Copies = Unit(Random_) < Links_.Repeats_ ? 2 : 1;
  for (unsigned I = 0; I < Copies; ++I) {
    if (Unit(Random_) < Links_.Loss_)
      continue;
    Next.At_ = Now_ + draw(Links_.MinDelay_, Links_.MaxDelay_);
    Flying_.push_back(Next);
  }
}

void QuotaFleet::deliver(Message &Next) {
  if (!areInTouch(Next.From_, Next.To_))
    return;
  Node &To = Nodes_[Next.To_];
  if (To.PausedUntil_ > Now_) { // It is read after the pause.
    Next.At_ = To.PausedUntil_;
    Flying_.push_back(Next);
    return;
  }
  if (Next.IsReply_) {
    if (To.Process_ != Next.Process_ || Now_ - Next.AskedAt_ > AskTimeout)
      return;
    if (Next.Lease_)
      To.Quotas_->applyLease(*Next.Lease_, Next.AskedAt_, Now_);
    else
      To.Quotas_->recordNoAnswer(Workspace_.Name_, Next.AskedAt_, Now_);
    return;
  }
  Message Reply{Now_,          Next.To_, Next.From_, Next.Process_,
                Next.AskedAt_, {},       true,       {}};
  if (To.Holders_->isHeldHere(Workspace_.Name_))
    Reply.Lease_ = To.Ledger_->lease(
        Next.Ask_, "vm" + std::to_string(Next.From_), To.Holders_->getScale(),
        To.Holders_->getTerm(Workspace_.Name_), Now_);
  send(Reply);
}

void QuotaFleet::decide(unsigned Vm, const QuotaDecision &Decision, Time Since,
                        std::deque<Time> &Waiting) {
  if (std::holds_alternative<QuotaTaken>(Decision))
    Admitted_.push_back({Now_, Vm});
  else if (std::holds_alternative<QuotaPending>(Decision))
    Waiting.push_back(Since);
  else
    ++Refused_;
}

void QuotaFleet::runVm(unsigned Vm, double Arrivals) {
  Node &Self = Nodes_[Vm];
  if (Self.PausedUntil_ > Now_)
    return;
  if (Now_ - Self.LastRun_ >= PauseLimit) {
    Self.Holders_->recordPause(Now_);
    Self.Ledger_->retain([](const std::string &) { return false; });
  }
  Self.LastRun_ = Now_;
  Self.Ledger_->expire(Now_);
  std::deque<Time> Waiting;
  for (Time Since : Self.Held_)
    decide(
        Vm,
        Self.Quotas_->retake(Self.Workspace_, Now_ - Since >= AskTimeout, Now_),
        Since, Waiting);
  Self.Held_ = std::move(Waiting);
  double Seconds = std::chrono::duration<double>(Step).count();
  unsigned Count =
      std::poisson_distribution<unsigned>(Arrivals * Seconds)(Random_);
  for (unsigned I = 0; I < Count; ++I)
    decide(Vm, Self.Quotas_->take(Self.Workspace_, Now_), Now_, Self.Held_);
  for (const QuotaAsk &Ask : Self.Quotas_->takeAsks(Now_)) {
    const std::string &Name = Self.Holders_->getHolder(Ask.Workspace_);
    auto Holder = static_cast<unsigned>(std::stoul(Name.substr(2)));
    if (Holder == Vm)
      Self.Quotas_->applyLease(
          Self.Ledger_->lease(Ask, Name, Self.Holders_->getScale(),
                              Self.Holders_->getTerm(Ask.Workspace_), Now_),
          Now_, Now_);
    else
      send({Now_, Vm, Holder, Self.Process_, Now_, Ask, false, {}});
    // The timeout of the request.
    Message Timeout{
        Now_ + AskTimeout, Vm, Vm, Self.Process_, Now_, {}, true, {}};
    Flying_.push_back(Timeout);
  }
}

void QuotaFleet::play(const std::vector<double> &Arrivals) {
  Now_ += Step;
  for (size_t I = 0; I < Views_.size();) {
    ViewChange Each = Views_[I];
    if (Each.At_ > Now_) {
      ++I;
      continue;
    }
    Views_.erase(Views_.begin() + static_cast<std::ptrdiff_t>(I));
    if (Each.IsAlive_ && !areInTouch(Each.Vm_, Each.Other_))
      continue;
    if (Nodes_[Each.Vm_].Sees_[Each.Other_] != Each.IsAlive_) {
      Nodes_[Each.Vm_].Sees_[Each.Other_] = Each.IsAlive_;
      updateView(Each.Vm_);
    }
  }
  for (const QuotaChange &Each : Changes_)
    if (Each.At_ <= Now_) {
      Node &Self = Nodes_[Each.Vm_];
      Self.Workspace_.Quota_ = Each.Quota_;
      Self.Quotas_->setWorkspaces({Self.Workspace_}, ++Self.Version_);
    }
  std::erase_if(Changes_,
                [this](const QuotaChange &Each) { return Each.At_ <= Now_; });
  std::vector<Message> Due;
  std::erase_if(Flying_, [&](const Message &Each) {
    if (Each.At_ > Now_)
      return false;
    Due.push_back(Each);
    return true;
  });
  std::shuffle(Due.begin(), Due.end(), Random_);
  for (Message &Each : Due)
    deliver(Each);
  for (unsigned I = 0; I < Nodes_.size(); ++I)
    runVm(I, Arrivals[I]);
  while (!Admitted_.empty() &&
         Admitted_.front().first <= Now_ - Terms_.Window_ * 2)
    Admitted_.pop_front();
}

} // namespace cranberry::test
