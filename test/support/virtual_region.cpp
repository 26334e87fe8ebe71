/// \file virtual_region.cpp Real dispatchers with simulated servers and links.
#include "virtual_region_base.h"

#include "core/result_func.h"

#include <algorithm>

namespace cranberry::test {

namespace {

constexpr Duration FailureTime = milliseconds(1);
constexpr Duration LostReplyTime = seconds(120);

} // namespace

FakeZone &VirtualRegion::addZone(const std::string &Name,
                                 const std::string &Region, unsigned Servers,
                                 unsigned Slots,
                                 const DispatcherLimits &Limits) {
  auto Zone = std::make_unique<FakeZone>();
  Zone->Name_ = Name;
  Zone->Region_ = Region;
  Zone->Dispatcher_ = std::make_unique<Dispatcher>(Limits);
  std::vector<ServerSpec> Specs;
  for (unsigned I = 0; I < Servers; ++I) {
    Zone->Servers_.push_back(Name + ":" + std::to_string(I));
    Specs.push_back({Zone->Servers_.back(), Slots, false});
  }
  Zone->Dispatcher_->setServers(Specs, Time_.now());
  Zones_.push_back(std::move(Zone));
  return *Zones_.back();
}

void VirtualRegion::connect(Duration NearHop, Duration FarHop) {
  NearHop_ = NearHop;
  FarHop_ = FarHop;
  for (size_t I = 0; I < Zones_.size(); ++I) {
    std::vector<PeerSpec> Peers;
    for (size_t J = 0; J < Zones_.size(); ++J)
      if (I != J)
        Peers.push_back({Zones_[J]->Name_,
                         Zones_[I]->Region_ == Zones_[J]->Region_
                             ? PeerTier::SameRegion
                             : PeerTier::OtherRegion,
                         getHop(I, J)});
    Zones_[I]->Dispatcher_->setPeers(Peers);
  }
}

size_t VirtualRegion::findZone(const std::string &Name) {
  for (size_t I = 0; I < Zones_.size(); ++I)
    if (Zones_[I]->Name_ == Name)
      return I;
  return Zones_.size();
}

Duration VirtualRegion::getHop(size_t From, size_t To) {
  return Zones_[From]->Region_ == Zones_[To]->Region_ ? NearHop_ : FarHop_;
}

unsigned VirtualRegion::getRunningIn(const std::string &Region) {
  unsigned Sum = 0;
  for (const std::unique_ptr<FakeZone> &Zone : Zones_)
    if (Zone->Region_ == Region)
      for (const std::string &Server : Zone->Servers_)
        Sum += Running_[Server];
  return Sum;
}

void VirtualRegion::arrive(size_t Zone, const FakeRequest &Request) {
  auto New = std::make_shared<OpenRequest>();
  New->Request_ = Request;
  New->Arrived_ = Time_.now();
  RequestTraits Traits;
  Traits.Route_ = Request.Route_;
  Traits.Arrived_ = Time_.now();
  Traits.Deadline_ = Time_.now() + Request.Deadline_;
  Traits.IsRepeatable_ = Request.IsRepeatable_;
  add(Zone, std::move(New), std::move(Traits), std::nullopt);
}

void VirtualRegion::add(size_t Zone, std::shared_ptr<OpenRequest> Request,
                        RequestTraits Traits, std::optional<Origin> From) {
  RequestIndex Index =
      Zones_[Zone]->Dispatcher_->addRequest(std::move(Traits), Time_.now());
  OpenRequests_[{Zone, Index}] = std::move(Request);
  if (From)
    Origins_[{Zone, Index}] = *From;
  perform(Zone);
}

void VirtualRegion::setHealth(size_t Zone, const std::string &Server,
                              ServerHealth Health) {
  Zones_[Zone]->Dispatcher_->setHealth(Server, Health, Time_.now());
  perform(Zone);
}

void VirtualRegion::perform(size_t Zone) {
  Dispatcher &D = *Zones_[Zone]->Dispatcher_;
  for (Actions Taken = D.takeActions(); !Taken.empty(); Taken = D.takeActions())
    for (const Action &Next : Taken)
      std::visit([&](const auto &Step) { run(Zone, Step); }, Next);
  if (Check_)
    Check_();
  scheduleWake(Zone);
}

void VirtualRegion::scheduleWake(size_t Zone) {
  std::optional<Time> Next =
      Zones_[Zone]->Dispatcher_->getNextWake(Time_.now());
  if (!Next)
    return;
  Time At = std::max(*Next, Time_.now() + Duration(100));
  auto Known = WakeTimers_.find(Zone);
  if (Known != WakeTimers_.end() && Known->second > Time_.now() &&
      Known->second <= At)
    return;
  WakeTimers_[Zone] = At;
  Time_.at(At, [this, Zone] {
    if (Zones_[Zone]->IsPaused_)
      return;
    Zones_[Zone]->Dispatcher_->tick(Time_.now());
    perform(Zone);
  });
}

void VirtualRegion::send(size_t From, size_t To, VirtualTime::Task Deliver) {
  if (Zones_[From]->IsCut_ || Zones_[To]->IsCut_)
    return;
  Time_.after(getHop(From, To), [this, To, Deliver = std::move(Deliver)] {
    if (!Zones_[To]->IsCut_)
      Deliver();
  });
}

void VirtualRegion::run(size_t Zone, const StartServerAttempt &Start) {
  std::shared_ptr<OpenRequest> Request =
      OpenRequests_.at({Zone, Start.Request_});
  ResultCode Code = Fault_ ? Fault_(Start.Server_) : ResultCode::Ok;
  bool Runs = getOutcome(Code) != Outcome::NotRun;
  ++Starts_;
  Duration Length = FailureTime;
  if (Runs) {
    ++Request->Runs_;
    double Factor = Slow_.contains(Start.Server_) ? Slow_[Start.Server_] : 1.0;
    unsigned &Cold = ColdRuns_[Start.Server_];
    if (Cold > 0 && Origins_.contains({Zone, Start.Request_})) {
      --Cold;
      Factor *= ColdFactor_;
    }
    Length = Duration(static_cast<int64_t>(
        static_cast<double>(Request->Request_.Length_.count()) * Factor));
  }
  ++Running_[Start.Server_];
  const std::string &Region = Zones_[Zone]->Region_;
  MaxRunning_[Region] = std::max(MaxRunning_[Region], getRunningIn(Region));
  AtServer_[{Zone, Start.Attempt_}] = Start.Server_;
  Time_.after(Length, [this, Zone, Attempt = Start.Attempt_, Code] {
    endAttempt(Zone, Attempt, Code);
  });
}

void VirtualRegion::endAttempt(size_t Zone, AttemptIndex Attempt,
                               ResultCode Code) {
  auto Found = AtServer_.find({Zone, Attempt});
  if (Found == AtServer_.end())
    return;
  --Running_[Found->second];
  AtServer_.erase(Found);
  Zones_[Zone]->Dispatcher_->finishAttempt(Attempt, Code, Time_.now());
  perform(Zone);
}

void VirtualRegion::run(size_t Zone, const StartPeerAttempt &Start) {
  std::shared_ptr<OpenRequest> Request =
      OpenRequests_.at({Zone, Start.Request_});
  size_t To = findZone(Start.Vm_);
  Origin From{Zone, Start.Attempt_};
  // As in the daemon, a call without a reply ends as lost.
  Time_.after(LostReplyTime, [this, Zone, Attempt = Start.Attempt_] {
    Zones_[Zone]->Dispatcher_->finishAttempt(
        Attempt, ResultCode::PeerAnswerLost, Time_.now());
    perform(Zone);
  });
  send(Zone, To, [this, To, Request, From, Grant = Start.Grant_] {
    RequestTraits Traits;
    Traits.Route_ = Request->Request_.Route_;
    Traits.Arrived_ = Time_.now();
    Traits.Deadline_ = Request->Arrived_ + Request->Request_.Deadline_;
    Traits.IsRepeatable_ = Request->Request_.IsRepeatable_;
    Traits.Grant_ = GrantIndex(Grant);
    add(To, Request, std::move(Traits), From);
  });
}

void VirtualRegion::run(size_t Zone, const CancelAttempt &Cancel) {
  Time_.after(Duration(1), [this, Zone, Attempt = Cancel.Attempt_] {
    if (AtServer_.contains({Zone, Attempt}))
      return endAttempt(Zone, Attempt, ResultCode::Cancelled);
    Zones_[Zone]->Dispatcher_->finishAttempt(Attempt, ResultCode::Cancelled,
                                             Time_.now());
    perform(Zone);
  });
}

void VirtualRegion::run(size_t Zone, const FinishRequest &Finish) {
  RequestLocation Where{Zone, Finish.Request_};
  // addRequest() can finish a request before its location is recorded.
  if (!OpenRequests_.contains(Where)) {
    Time_.after(Duration(0), [this, Zone, Finish] { run(Zone, Finish); });
    return;
  }
  std::shared_ptr<OpenRequest> Request = OpenRequests_.at(Where);
  auto From = Origins_.find(Where);
  if (From != Origins_.end()) {
    Origin Back = From->second;
    send(Zone, Back.Zone_, [this, Back, Code = Finish.Code_] {
      Zones_[Back.Zone_]->Dispatcher_->finishAttempt(Back.Attempt_, Code,
                                                     Time_.now());
      perform(Back.Zone_);
    });
    return;
  }
  Duration Latency = Time_.now() - Request->Arrived_;
  Ends_.push_back({Finish.Code_, Latency, Latency - Request->Request_.Length_,
                   Request->Request_.IsShort_, Request->Runs_, Zone,
                   Time_.now()});
}

void VirtualRegion::run(size_t, const ReportLateResult &) {}

void VirtualRegion::run(size_t Zone, const RequestSlots &Request) {
  size_t To = findZone(Request.Vm_);
  Time RequestedAt = Time_.now();
  send(Zone, To, [this, Zone, To, Request, RequestedAt] {
    SlotRequestIndex Index(NextSlotRequest_++);
    SlotRequests_[{To, Index}] = {Zone, RequestedAt};
    bool IsFar = Zones_[Zone]->Region_ != Zones_[To]->Region_;
    Zones_[To]->Dispatcher_->addSlotRequest({Index, Request.Wanted_, IsFar,
                                             getHop(Zone, To),
                                             Time_.now() + Request.Wait_},
                                            Time_.now());
    perform(To);
  });
}

void VirtualRegion::run(size_t Zone, const SendSlotReply &Reply) {
  auto [To, RequestedAt] = SlotRequests_.at({Zone, Reply.Request_});
  SlotRequests_.erase({Zone, Reply.Request_});
  // As in the daemon, the holder counts the lifetime of a grant from its
  // request, and the granting VM adds the time that the request waited there.
  Time Expiry = Time_.now() - getHop(To, Zone) + Reply.Ttl_;
  uint64_t Grant = Reply.Slots_ > 0 ? Reply.Grant_.get() : 0;
  send(Zone, To, [this, Zone, To = To, Reply, Grant, Expiry] {
    Zones_[To]->Dispatcher_->onSlotReply(
        {Zones_[Zone]->Name_, Grant, 1, Reply.Slots_, Expiry - Time_.now()},
        Time_.now());
    perform(To);
  });
}

void VirtualRegion::run(size_t Zone, const ReleaseGrant &Release) {
  size_t To = findZone(Release.Vm_);
  send(Zone, To, [this, To, Grant = Release.Grant_] {
    Zones_[To]->Dispatcher_->releaseGrant(GrantIndex(Grant), Time_.now());
    perform(To);
  });
}

} // namespace cranberry::test
