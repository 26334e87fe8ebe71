/// \file dispatcher_lending.cpp Slots lent to and by other entry VMs.
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
constexpr int64_t MaxUnderWay = 15; ///< Besides the one that runs.

} // namespace

void Dispatcher::requestPeerSlots(Time Now) {
  for (const PeerSpec &Peer : Peers_) {
    bool IsFar = Peer.Tier_ == PeerTier::OtherRegion;
    if (IsFar && Now < getFarRequestTime(Peer))
      continue;
    if (auto Out = PendingSlotRequests_.find(Peer.Vm_);
        Out != PendingSlotRequests_.end()) {
      if (Now < Out->second)
        continue;
      PendingSlotRequests_.erase(Out);
    }
    if (auto After = NextSlotRequest_.find(Peer.Vm_);
        After != NextSlotRequest_.end() && Now < After->second)
      continue;
    unsigned &Ramp = SlotRequestSizes_[Peer.Vm_];
    Ramp = std::clamp(Ramp, 1U, MaxAskSlots);
    auto Waiting = static_cast<unsigned>(Queue_.getSize());
    Duration Wait = IsFar ? AskWaitFar : AskWaitNear;
    PendingSlotRequests_[Peer.Vm_] =
        Now + Wait + 2 * Peer.Latency_ + AskTimeoutMargin;
    Actions_.push_back(RequestSlots{
        Peer.Vm_,
        std::min(Waiting,
                 IsFar && Limits_.RampsOtherRegions_ ? Ramp : MaxAskSlots),
        Wait});
  }
}

Time Dispatcher::getFarRequestTime(const PeerSpec &Peer) const {
  bool HasNear =
      Pool_.hasLiveServer() || Peers_.front().Tier_ != PeerTier::OtherRegion;
  const Request &Next = Requests_.at(Queue_.getNext());
  return HasNear ? Next.Traits_.Arrived_ + 2 * Peer.Latency_
                 : Next.Traits_.Arrived_;
}

void Dispatcher::onSlotReply(const PeerSlotReply &Answer, Time Now) {
  PendingSlotRequests_.erase(Answer.Vm_);
  if (Answer.Slots_ == 0) {
    SlotRequestSizes_[Answer.Vm_] = 1;
    delaySlotRequests(Answer.Vm_, Now);
  } else {
    SlotRequestSizes_[Answer.Vm_] =
        std::min(MaxAskSlots, 2 * SlotRequestSizes_[Answer.Vm_]);
    HeldGrants_.add({Answer.Vm_, Answer.Grant_, Answer.Incarnation_,
                     Answer.Slots_, Now + Answer.Ttl_});
  }
  dispatch(Now);
}

void Dispatcher::addSlotRequest(PeerSlotRequest Ask, Time Now) {
  OpenSlotRequests_.push_back(Ask);
  dispatch(Now);
}

unsigned Dispatcher::getHeadroomSlots(Time Now) const {
  unsigned Slots = std::min(Pool_.getUsableSlots(Now), Limits_.MaxConcurrent_);
  return static_cast<unsigned>(std::ceil(Limits_.Headroom_ * Slots));
}

unsigned Dispatcher::getFarGrantable(const PeerSlotRequest &Ask, Time Now) {
  unsigned Kept = getHeadroomSlots(Now);
  unsigned Free = getFreeOwn(Now);
  unsigned Spare = Free > Kept ? Free - Kept : 0;
  // A slot is kept busy by as many requests as are under way during its use.
  Duration Typical = std::max(History_.getOverallMedian(), MinTypical);
  int64_t UnderWay =
      std::clamp<int64_t>(2 * Ask.Latency_ / Typical, 0, MaxUnderWay);
  unsigned Most = Spare * static_cast<unsigned>(1 + UnderWay);
  unsigned Out = IssuedGrants_.getUnreservedSlots(Now);
  return std::min(Most > Out ? Most - Out : 0, Ask.Wanted_);
}

unsigned Dispatcher::getGrantable(const PeerSlotRequest &Ask, Time Now) {
  return Ask.OtherRegion_ ? getFarGrantable(Ask, Now)
                          : std::min(getFreeOwn(Now), Ask.Wanted_);
}

void Dispatcher::replyToSlotRequests(Time Now) {
  std::deque<PeerSlotRequest> Open;
  Open.swap(OpenSlotRequests_);
  for (const PeerSlotRequest &Ask : Open) {
    unsigned Slots = getGrantable(Ask, Now);
    if (Slots == 0 && Now < Ask.WaitUntil_)
      OpenSlotRequests_.push_back(Ask);
    else
      sendSlotReply(Ask, Slots, Now);
  }
}

void Dispatcher::sendSlotReply(const PeerSlotRequest &Ask, unsigned Slots,
                               Time Now) {
  Duration Ttl = Ask.OtherRegion_ ? GrantTtlFar : GrantTtlNear;
  GrantIndex Grant;
  if (Slots > 0)
    Grant = IssuedGrants_.add(Slots, Ttl, !Ask.OtherRegion_, Now);
  Actions_.push_back(SendSlotReply{Ask.Index_, Grant, Slots, Ttl});
}

void Dispatcher::releaseGrant(GrantIndex Grant, Time Now) {
  IssuedGrants_.release(Grant);
  dispatch(Now);
}

void Dispatcher::expireSlotRequests(Time Now) {
  std::deque<PeerSlotRequest> Open;
  Open.swap(OpenSlotRequests_);
  for (const PeerSlotRequest &Ask : Open)
    if (Now < Ask.WaitUntil_)
      OpenSlotRequests_.push_back(Ask);
    else
      sendSlotReply(Ask, 0, Now);
}

void Dispatcher::delaySlotRequests(const std::string &Vm, Time Now) {
  NextSlotRequest_[Vm] = Now + AskPause;
}

} // namespace cranberry
