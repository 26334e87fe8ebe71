/// \file dispatcher_grants.cpp Slots granted to and by other entry VMs.
#include "request/dispatcher_base.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr Duration GrantTtlNear = milliseconds(100);
constexpr Duration GrantTtlFar = seconds(1);
constexpr Duration SlotRequestWaitNear = milliseconds(250);
constexpr Duration SlotRequestWaitFar = milliseconds(500);
constexpr Duration SlotRequestTimeoutMargin = seconds(1);
constexpr unsigned MaxRequestedSlots = 64;
constexpr Duration SlotRequestDelay = milliseconds(20);

constexpr Duration MinMedian = milliseconds(1);
/// Requests in flight to a slot in addition to the one that runs.
constexpr int64_t MaxExtraInFlight = 15;

} // namespace

void Dispatcher::requestPeerSlots(Time Now) {
  for (const PeerSpec &Peer : Peers_) {
    bool IsFar = Peer.Tier_ == PeerTier::OtherRegion;
    if (IsFar && Now < getFarRequestTime(Peer))
      continue;
    if (auto Pending = PendingSlotRequests_.find(Peer.Vm_);
        Pending != PendingSlotRequests_.end()) {
      if (Now < Pending->second)
        continue;
      PendingSlotRequests_.erase(Pending);
    }
    if (auto After = NextSlotRequest_.find(Peer.Vm_);
        After != NextSlotRequest_.end() && Now < After->second)
      continue;
    unsigned &Size = SlotRequestSizes_[Peer.Vm_];
    Size = std::clamp(Size, 1U, MaxRequestedSlots);
    auto Waiting = static_cast<unsigned>(Queue_.getSize());
    Duration Wait = IsFar ? SlotRequestWaitFar : SlotRequestWaitNear;
    PendingSlotRequests_[Peer.Vm_] =
        Now + Wait + 2 * Peer.Latency_ + SlotRequestTimeoutMargin;
    Actions_.push_back(
        RequestSlots{Peer.Vm_,
                     std::min(Waiting, IsFar && Limits_.RampsOtherRegions_
                                           ? Size
                                           : MaxRequestedSlots),
                     Wait});
  }
}

Time Dispatcher::getFarRequestTime(const PeerSpec &Peer) const {
  bool HasRegionalServers =
      Pool_.hasLiveServer() || Peers_.front().Tier_ != PeerTier::OtherRegion;
  const Request &Next = Requests_.at(Queue_.getNext());
  return HasRegionalServers ? Next.Traits_.Arrived_ + 2 * Peer.Latency_
                            : Next.Traits_.Arrived_;
}

void Dispatcher::onSlotReply(const PeerSlotReply &Reply, Time Now) {
  PendingSlotRequests_.erase(Reply.Vm_);
  if (Reply.Slots_ == 0) {
    SlotRequestSizes_[Reply.Vm_] = 1;
    delaySlotRequests(Reply.Vm_, Now);
  } else {
    SlotRequestSizes_[Reply.Vm_] =
        std::min(MaxRequestedSlots, 2 * SlotRequestSizes_[Reply.Vm_]);
    HeldGrants_.add({Reply.Vm_, Reply.Grant_, Reply.Incarnation_, Reply.Slots_,
                     Now + Reply.Ttl_});
  }
  dispatch(Now);
}

void Dispatcher::addSlotRequest(PeerSlotRequest Request, Time Now) {
  OpenSlotRequests_.push_back(Request);
  dispatch(Now);
}

unsigned Dispatcher::getHeadroomSlots(Time Now) const {
  unsigned Slots = std::min(Pool_.getUsableSlots(Now), Limits_.MaxConcurrent_);
  return static_cast<unsigned>(std::ceil(Limits_.Headroom_ * Slots));
}

unsigned Dispatcher::getFarGrantable(const PeerSlotRequest &Request, Time Now) {
  unsigned Headroom = getHeadroomSlots(Now);
  unsigned Free = getFreeOwn(Now);
  unsigned Spare = Free > Headroom ? Free - Headroom : 0;
  // To keep a slot busy across the network latency, as many requests must be
  // in flight as fit into one round trip.
  Duration Median = std::max(History_.getOverallMedian(), MinMedian);
  int64_t ExtraInFlight =
      std::clamp<int64_t>(2 * Request.Latency_ / Median, 0, MaxExtraInFlight);
  unsigned MaxGranted = Spare * static_cast<unsigned>(1 + ExtraInFlight);
  unsigned Granted = IssuedGrants_.getUnreservedSlots(Now);
  return std::min(MaxGranted > Granted ? MaxGranted - Granted : 0,
                  Request.Wanted_);
}

unsigned Dispatcher::getGrantable(const PeerSlotRequest &Request, Time Now) {
  return Request.OtherRegion_ ? getFarGrantable(Request, Now)
                              : std::min(getFreeOwn(Now), Request.Wanted_);
}

void Dispatcher::replyToSlotRequests(Time Now) {
  std::deque<PeerSlotRequest> Open;
  Open.swap(OpenSlotRequests_);
  for (const PeerSlotRequest &Request : Open) {
    unsigned Slots = getGrantable(Request, Now);
    if (Slots == 0 && Now < Request.WaitUntil_)
      OpenSlotRequests_.push_back(Request);
    else
      sendSlotReply(Request, Slots, Now);
  }
}

void Dispatcher::sendSlotReply(const PeerSlotRequest &Request, unsigned Slots,
                               Time Now) {
  Duration Ttl = Request.OtherRegion_ ? GrantTtlFar : GrantTtlNear;
  GrantIndex Grant;
  if (Slots > 0)
    Grant = IssuedGrants_.add(Slots, Ttl, !Request.OtherRegion_, Now);
  Actions_.push_back(SendSlotReply{Request.Index_, Grant, Slots, Ttl});
}

void Dispatcher::releaseGrant(GrantIndex Grant, Time Now) {
  IssuedGrants_.release(Grant);
  dispatch(Now);
}

void Dispatcher::expireSlotRequests(Time Now) {
  std::deque<PeerSlotRequest> Open;
  Open.swap(OpenSlotRequests_);
  for (const PeerSlotRequest &Request : Open)
    if (Now < Request.WaitUntil_)
      OpenSlotRequests_.push_back(Request);
    else
      sendSlotReply(Request, 0, Now);
}

void Dispatcher::delaySlotRequests(const std::string &Vm, Time Now) {
  NextSlotRequest_[Vm] = Now + SlotRequestDelay;
}

} // namespace cranberry
