/// \file membership.cpp Group membership and failure detection of entry VMs.
#include "process/membership_base.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cranberry {

namespace {

/// Heartbeats sent per period.
constexpr size_t TargetsPerPeriod = 2;
/// Time that a suspect member has to refute the suspicion.
constexpr Duration SuspectTimeout = seconds(2);
/// Time after which the record of a gone member is removed.
constexpr Duration GoneRetention = std::chrono::minutes(10);
/// Heartbeats that carry a change, per binary logarithm of the fleet size.
constexpr double RetransmitFactor = 3.0;
/// Number of heartbeats between requests for the full member list, which
/// recovers changes that gossip has failed to deliver.
constexpr unsigned FullListInterval = 256;
/// Limits the size of a heartbeat.
constexpr size_t MaxUpdatesPerHeartbeat = 32;

/// \return Whether record \p A supersedes record \p B of the same member.
bool isNewer(const Member &A, const Member &B) {
  auto Key = [](const Member &M) {
    return std::tuple(M.Incarnation_, M.Sequence_, M.State_);
  };
  return Key(A) > Key(B);
}

} // namespace

uint64_t hashText(const std::string &Text) {
  uint64_t Hash = 0xcbf29ce484222325ULL;
  for (unsigned char C : Text)
    Hash = (Hash ^ C) * 0x100000001b3ULL;
  // FNV-1a disperses short strings poorly; fold the high bits into the low
  // ones.
  Hash ^= Hash >> 32;
  return Hash * 0x9e3779b97f4a7c15ULL;
}

Membership::Membership(Member Self, std::vector<std::string> Seeds,
                       uint64_t Seed)
    : Self_(std::move(Self)), Seeds_(Seeds.begin(), Seeds.end()),
      Random_(Seed) {
  Seeds_.erase(Self_.PeerAddress_);
  announceSelf();
}

unsigned Membership::getRetransmitCount() const {
  return static_cast<unsigned>(
      std::ceil(RetransmitFactor * std::log2(2.0 + Peers_.size())));
}

void Membership::announceSelf() {
  ++Self_.Sequence_;
  SelfRetransmitsLeft_ = getRetransmitCount();
  ++ViewVersion_;
  HasChanged_ = true;
}

void Membership::announceLeaving() {
  Self_.State_ = MemberState::Leaving;
  announceSelf();
}

void Membership::setBusy(bool IsBusy) {
  if (Self_.IsBusy_ == IsBusy)
    return;
  Self_.IsBusy_ = IsBusy;
  announceSelf();
}

void Membership::setRevision(Revision Value) {
  if (Value <= Self_.Revision_)
    return;
  Self_.Revision_ = Value;
}

void Membership::setKeyEpoch(uint64_t Epoch) { Self_.KeyEpoch_ = Epoch; }

void Membership::addSeed(const std::string &Address) {
  if (!findByAddress(Address) && Address != Self_.PeerAddress_)
    Seeds_.insert(Address);
}

void Membership::startRound() {
  for (const std::string &Seed : Seeds_)
    RoundTargets_.push_back(Seed);
  for (const auto &[Vm, Known] : Peers_)
    RoundTargets_.push_back(Known.Member_.PeerAddress_);
  std::shuffle(RoundTargets_.begin(), RoundTargets_.end(), Random_);
}

std::vector<std::string> Membership::selectHeartbeatTargets(Time Now) {
  expireMembers(Now);
  std::vector<std::string> Targets;
  while (Targets.size() < TargetsPerPeriod) {
    if (RoundTargets_.empty() && !Targets.empty())
      break;
    if (RoundTargets_.empty())
      startRound();
    if (RoundTargets_.empty())
      break;
    Targets.push_back(RoundTargets_.back());
    RoundTargets_.pop_back();
  }
  return Targets;
}

std::vector<Member> Membership::collectUpdates() {
  size_t Count = std::min(PendingUpdates_.size(), MaxUpdatesPerHeartbeat);
  auto Last = PendingUpdates_.begin() + static_cast<std::ptrdiff_t>(Count);
  // Changes with the fewest transmissions so far go first.
  std::partial_sort(PendingUpdates_.begin(), Last, PendingUpdates_.end(),
                    [this](const std::string &A, const std::string &B) {
                      return Peers_.at(A).RetransmitsLeft_ >
                             Peers_.at(B).RetransmitsLeft_;
                    });
  std::vector<Member> Updates;
  for (auto Vm = PendingUpdates_.begin(); Vm != Last; ++Vm) {
    Peer &Known = Peers_.at(*Vm);
    --Known.RetransmitsLeft_;
    Updates.push_back(Known.Member_);
  }
  std::erase_if(PendingUpdates_, [this](const std::string &Vm) {
    return Peers_.at(Vm).RetransmitsLeft_ == 0;
  });
  return Updates;
}

Membership::Peer *Membership::findByAddress(const std::string &Address) {
  auto Vm = ByAddress_.find(Address);
  auto Found = Vm == ByAddress_.end() ? Peers_.end() : Peers_.find(Vm->second);
  bool IsCurrent =
      Found != Peers_.end() && Found->second.Member_.PeerAddress_ == Address;
  return IsCurrent ? &Found->second : nullptr;
}

HeartbeatBody Membership::makeHeartbeat(const std::string &Address) {
  bool IsFullListRequested =
      Seeds_.contains(Address) || ++HeartbeatCount_ % FullListInterval == 0;
  HeartbeatBody Body{Self_, collectUpdates(), IsFullListRequested};
  if (const Peer *Known = findByAddress(Address))
    appendSuspicion(Known->Member_, Body);
  return Body;
}

void Membership::appendSuspicion(const Member &Known, HeartbeatBody &Body) {
  if (Known.State_ == MemberState::Suspect || Known.State_ == MemberState::Gone)
    Body.Updates_.push_back(Known);
}

HeartbeatBody Membership::handleHeartbeat(const HeartbeatBody &Body, Time Now) {
  handleHeartbeatResponse(Body, Now);
  HeartbeatBody Response{Self_, {}, false};
  if (!Body.IsFullListRequested_) {
    Response.Updates_ = collectUpdates();
    if (auto Known = Peers_.find(Body.Sender_.Vm_); Known != Peers_.end())
      appendSuspicion(Known->second.Member_, Response);
    return Response;
  }
  for (const auto &[Vm, Known] : Peers_)
    Response.Updates_.push_back(Known.Member_);
  return Response;
}

void Membership::handleHeartbeatResponse(const HeartbeatBody &Body, Time Now) {
  merge(Body.Sender_, Now);
  updateSenderVersions(Body.Sender_);
  for (const Member &Update : Body.Updates_)
    merge(Update, Now);
}

size_t Membership::getRoundPeriods() const {
  return (Peers_.size() + Seeds_.size()) / TargetsPerPeriod + 1;
}

void Membership::updateSenderVersions(const Member &Sender) {
  auto Found = Peers_.find(Sender.Vm_);
  if (Found == Peers_.end() ||
      Found->second.Member_.Incarnation_ != Sender.Incarnation_)
    return;
  Member &Known = Found->second.Member_;
  HasChanged_ = HasChanged_ || Known.KeyEpoch_ != Sender.KeyEpoch_ ||
                Known.Revision_ != Sender.Revision_;
  Known.KeyEpoch_ = std::max(Known.KeyEpoch_, Sender.KeyEpoch_);
  Known.Revision_ = std::max(Known.Revision_, Sender.Revision_);
  Known.Demand_ = Sender.Demand_;
}

void Membership::merge(const Member &Update, Time Now) {
  if (Update.Vm_ == Self_.Vm_) {
    bool IsSuspected = Update.Incarnation_ == Self_.Incarnation_ &&
                       Update.Sequence_ >= Self_.Sequence_ &&
                       Update.State_ != Self_.State_;
    if (IsSuspected) {
      Self_.Sequence_ = Update.Sequence_;
      announceSelf();
    }
    return;
  }
  Seeds_.erase(Update.PeerAddress_);
  auto [Found, IsNew] = Peers_.try_emplace(Update.Vm_);
  Peer &Known = Found->second;
  if (!IsNew && !isNewer(Update, Known.Member_))
    return;
  if (IsNew || Known.Member_.State_ != Update.State_)
    Known.StateSince_ = Now;
  updateLoss(Known, IsNew, Update.State_, Now);
  // Only heartbeats of the VM itself tell the demand of its clients.
  std::vector<ServiceDemand> Demand =
      Update.Demand_.empty() ? Known.Member_.Demand_ : Update.Demand_;
  Known.Member_ = Update;
  Known.Member_.Demand_ = std::move(Demand);
  ByAddress_[Update.PeerAddress_] = Update.Vm_;
  if (Known.RetransmitsLeft_ == 0)
    PendingUpdates_.push_back(Update.Vm_);
  Known.RetransmitsLeft_ = getRetransmitCount();
  ++ViewVersion_;
  HasChanged_ = true;
}

void Membership::updateLoss(Peer &Known, bool IsNew, MemberState Next,
                            Time Now) {
  bool HasLeft = !IsNew && !Known.LostAt_ &&
                 (Known.Member_.State_ == MemberState::Leaving ||
                  Known.Member_.State_ == MemberState::Gone);
  if (Next != MemberState::Suspect && Next != MemberState::Gone)
    Known.LostAt_.reset();
  else if (!Known.LostAt_ && !HasLeft)
    Known.LostAt_ = Now;
}

std::vector<Time> Membership::getLosses() const {
  std::vector<Time> Result;
  for (const auto &[Vm, Known] : Peers_)
    if (Known.LostAt_)
      Result.push_back(*Known.LostAt_);
  if (RemovedLostAt_)
    Result.push_back(*RemovedLostAt_);
  return Result;
}

void Membership::recordHeartbeatFailure(const std::string &Address, Time Now) {
  Peer *Known = findByAddress(Address);
  if (!Known || Known->Member_.State_ == MemberState::Gone ||
      Known->Member_.State_ == MemberState::Suspect)
    return;
  Member Update = Known->Member_;
  Update.State_ = Update.State_ == MemberState::Leaving ? MemberState::Gone
                                                        : MemberState::Suspect;
  merge(Update, Now);
}

void Membership::expireMembers(Time Now) {
  for (auto &[Vm, Known] : Peers_) {
    if (Known.Member_.State_ != MemberState::Suspect ||
        Now < Known.StateSince_ + SuspectTimeout)
      continue;
    Member Update = Known.Member_;
    Update.State_ = MemberState::Gone;
    merge(Update, Now);
  }
  std::erase_if(Peers_, [=, this](const auto &Item) {
    bool IsExpired = Item.second.Member_.State_ == MemberState::Gone &&
                     Now >= Item.second.StateSince_ + GoneRetention;
    if (IsExpired) {
      std::erase(PendingUpdates_, Item.first);
      RemovedLostAt_ = std::max(RemovedLostAt_, Item.second.LostAt_);
    }
    return IsExpired;
  });
}

MemberList Membership::getMembers() const {
  MemberList Members{Self_};
  for (const auto &[Vm, Known] : Peers_)
    if (Known.Member_.State_ != MemberState::Gone)
      Members.push_back(Known.Member_);
  std::sort(Members.begin(), Members.end(),
            [](const Member &A, const Member &B) { return A.Vm_ < B.Vm_; });
  return Members;
}

MemberList Membership::getGoneMembers() const {
  MemberList Members;
  for (const auto &[Vm, Known] : Peers_)
    if (Known.Member_.State_ == MemberState::Gone)
      Members.push_back(Known.Member_);
  return Members;
}

bool Membership::testAndClearChanged() {
  return std::exchange(HasChanged_, false);
}

std::optional<size_t> pickOwner(const std::vector<std::string> &Candidates,
                                const std::string &Key) {
  std::optional<size_t> Best;
  uint64_t BestHash = 0;
  for (size_t I = 0; I < Candidates.size(); ++I) {
    uint64_t Hash = hashText(Candidates[I] + '\n' + Key);
    if (Best && (Hash < BestHash ||
                 (Hash == BestHash && Candidates[I] > Candidates[*Best])))
      continue;
    Best = I;
    BestHash = Hash;
  }
  return Best;
}

} // namespace cranberry
