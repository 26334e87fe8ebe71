/// \file dispatcher_lending.cpp Slots granted to and by other entry VMs.
#include "request/dispatcher_base.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr Duration GrantTtlNear = milliseconds(100);
constexpr Duration GrantTtlFar = seconds(1);
constexpr Duration AskWaitNear = milliseconds(250);
constexpr Duration AskWaitFar = milliseconds(500);
constexpr Duration AskTimeoutMargin = seconds(1);
constexpr unsigned MaxAskSlots = 64;
constexpr Duration AskPause = milliseconds(20);

constexpr Duration MinTypical = milliseconds(1);
constexpr int64_t MaxUnderWay = 15; ///< In addition to the request that runs.

} // namespace

void Dispatcher::askPeers(Time Now) {
  for (const PeerSpec &Peer : Peers_) {
    bool IsFar = Peer.Tier_ == PeerTier::OtherRegion;
    if (IsFar && Now < getFarAskTime(Peer))
      continue;
    if (auto Out = AsksOut_.find(Peer.Vm_); Out != AsksOut_.end()) {
      if (Now < Out->second)
        continue;
      AsksOut_.erase(Out);
    }
    if (auto After = AskAfter_.find(Peer.Vm_);
        After != AskAfter_.end() && Now < After->second)
      continue;
    unsigned &Ramp = Ramps_[Peer.Vm_];
    Ramp = std::clamp(Ramp, 1U, MaxAskSlots);
    auto Waiting = static_cast<unsigned>(Queue_.getSize());
    Duration Wait = IsFar ? AskWaitFar : AskWaitNear;
    AsksOut_[Peer.Vm_] = Now + Wait + 2 * Peer.Latency_ + AskTimeoutMargin;
    Actions_.push_back(AskPeer{
        Peer.Vm_,
        std::min(Waiting, IsFar && Limits_.RampsFar_ ? Ramp : MaxAskSlots),
        Wait});
  }
}

Time Dispatcher::getFarAskTime(const PeerSpec &Peer) const {
  bool HasNear =
      Pool_.hasLiveServer() || Peers_.front().Tier_ != PeerTier::OtherRegion;
  const Request &Next = Requests_.at(Queue_.getNext());
  return HasNear ? Next.Traits_.Arrived_ + 2 * Peer.Latency_
                 : Next.Traits_.Arrived_;
}

void Dispatcher::receiveAnswer(const SlotAnswer &Answer, Time Now) {
  AsksOut_.erase(Answer.Vm_);
  if (Answer.Slots_ == 0) {
    Ramps_[Answer.Vm_] = 1;
    pauseAsking(Answer.Vm_, Now);
  } else {
    Ramps_[Answer.Vm_] = std::min(MaxAskSlots, 2 * Ramps_[Answer.Vm_]);
    Wallet_.add({Answer.Vm_, Answer.Grant_, Answer.Incarnation_, Answer.Slots_,
                 Now + Answer.Ttl_});
  }
  pump(Now);
}

void Dispatcher::addAsk(SlotAsk Ask, Time Now) {
  Asks_.push_back(Ask);
  pump(Now);
}

unsigned Dispatcher::getKeptSlots(Time Now) const {
  unsigned Slots = std::min(Pool_.getUsableSlots(Now), Limits_.MaxConcurrent_);
  return static_cast<unsigned>(std::ceil(Limits_.Headroom_ * Slots));
}

unsigned Dispatcher::getFarGrantable(const SlotAsk &Ask, Time Now) {
  unsigned Kept = getKeptSlots(Now);
  unsigned Free = getFreeOwn(Now);
  unsigned Spare = Free > Kept ? Free - Kept : 0;
  // To keep a slot busy across the network latency, as many requests must be
  // in flight as fit into one round trip.
  Duration Typical = std::max(History_.getTypical(), MinTypical);
  int64_t UnderWay =
      std::clamp<int64_t>(2 * Ask.Latency_ / Typical, 0, MaxUnderWay);
  unsigned Most = Spare * static_cast<unsigned>(1 + UnderWay);
  unsigned Out = Ledger_.getUnreserved(Now);
  return std::min(Most > Out ? Most - Out : 0, Ask.Wanted_);
}

unsigned Dispatcher::getGrantable(const SlotAsk &Ask, Time Now) {
  return Ask.OtherRegion_ ? getFarGrantable(Ask, Now)
                          : std::min(getFreeOwn(Now), Ask.Wanted_);
}

void Dispatcher::answerAsks(Time Now) {
  std::deque<SlotAsk> Open;
  Open.swap(Asks_);
  for (const SlotAsk &Ask : Open) {
    unsigned Slots = getGrantable(Ask, Now);
    if (Slots == 0 && Now < Ask.WaitUntil_)
      Asks_.push_back(Ask);
    else
      answerAsk(Ask, Slots, Now);
  }
}

void Dispatcher::answerAsk(const SlotAsk &Ask, unsigned Slots, Time Now) {
  Duration Ttl = Ask.OtherRegion_ ? GrantTtlFar : GrantTtlNear;
  GrantIndex Grant;
  if (Slots > 0)
    Grant = Ledger_.add(Slots, Ttl, !Ask.OtherRegion_, Now);
  Actions_.push_back(AnswerAsk{Ask.Ask_, Grant, Slots, Ttl});
}

void Dispatcher::releaseGrant(GrantIndex Grant, Time Now) {
  Ledger_.release(Grant);
  pump(Now);
}

void Dispatcher::expireAsks(Time Now) {
  std::deque<SlotAsk> Open;
  Open.swap(Asks_);
  for (const SlotAsk &Ask : Open)
    if (Now < Ask.WaitUntil_)
      Asks_.push_back(Ask);
    else
      answerAsk(Ask, 0, Now);
}

void Dispatcher::pauseAsking(const std::string &Vm, Time Now) {
  AskAfter_[Vm] = Now + AskPause;
}

} // namespace cranberry
