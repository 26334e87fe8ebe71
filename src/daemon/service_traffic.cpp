/// \file service_traffic.cpp Runs the requests of one service.
#include "daemon/service_traffic_base.h"

#include "core/result_func.h"
#include "daemon/decision_log_func.h"
#include "daemon/wire_func.h"
#include "process/placement_func.h"

#include <absl/hash/hash.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cranberry {

namespace {

/// Consecutive failed probes after which a server counts as down.
constexpr unsigned ProbeFailuresToDown = 2;
constexpr Duration ProbeTimeout = milliseconds(800);
constexpr Duration MaxSlotRequestWait = seconds(1);

uint64_t getFingerprint(const CallSpec &Call) {
  return absl::HashOf(Call.Method_, Call.Path_, Call.Body_);
}

PeerTier getTier(const Member &Self, const Member &Peer) {
  if (Peer.Region_ != Self.Region_)
    return PeerTier::OtherRegion;
  return Peer.Zone_ == Self.Zone_ ? PeerTier::SameZone : PeerTier::SameRegion;
}

/// Adds the owner of a server to the peers that can grant slots.
void addPeer(const Snapshot &Now, const std::string &Vm,
             std::vector<PeerSpec> &Peers) {
  const Member *Peer = Now.findMember(Vm);
  bool IsKnown = std::any_of(Peers.begin(), Peers.end(),
                             [&](const PeerSpec &P) { return P.Vm_ == Vm; });
  if (!Peer || IsKnown)
    return;
  Peers.push_back(
      {Vm, getTier(Now.Self_, *Peer),
       getRegionLatency(*Now.Config_, Now.Self_.Region_, Peer->Region_)});
}

/// \return Limits of a service on this VM. The limit of the region is divided
/// in proportion to the slots that each VM owns.
DispatcherLimits makeLimits(const Snapshot &Now, const std::string &Service,
                            unsigned OwnedSlots) {
  const Configuration &Config = *Now.Config_;
  const std::string &Region = Now.Self_.Region_;
  DispatcherLimits Limits;
  if (const ServiceConfig *Known = Config.findService(Service))
    Limits.MaxQueue_ = Known->MaxQueueLength_;
  if (const RegionConfig *Known = Config.findRegion(Region))
    Limits.Headroom_ = Known->Headroom_;
  if (const LimitConfig *Limit = Config.findLimit(Region, Service)) {
    unsigned All = std::max(1U, Config.getSlotCount(Service, Region));
    Limits.MaxConcurrent_ = static_cast<unsigned>(
        static_cast<uint64_t>(Limit->MaxConcurrent_) * OwnedSlots / All);
  }
  return Limits;
}

} // namespace

ServiceTraffic::ServiceTraffic(std::string Name, TrafficContext &Context)
    : Name_(std::move(Name)), Context_(Context),
      Dispatcher_(DispatcherLimits{}),
      Keys_(Context.Settings_->Vm_, Context.Snapshot_->Self_.Incarnation_,
            Context.Settings_->MaxKeys_,
            static_cast<size_t>(Context.Settings_->MaxAnswerMb_) << 20) {}

void ServiceTraffic::applySnapshot() {
  const Snapshot &Now = *Context_.Snapshot_;
  const Configuration &Config = *Now.Config_;
  Keys_.setEpoch(Now.Self_.KeyEpoch_);
  if (PlacedSnapshot_ && Now.hasSamePlacement(*PlacedSnapshot_))
    return;
  PlacedSnapshot_ = Context_.Snapshot_;
  std::vector<ServerSpec> Specs;
  std::vector<PeerSpec> Peers;
  unsigned OwnedSlots = 0;
  std::vector<std::string> OwnedBefore = std::move(OwnedServers_);
  OwnedServers_.clear();
  for (const ServerOwner &Owner :
       getServerOwners(Config, Now.Members_, Name_)) {
    if (Owner.Vm_ != Now.Self_.Vm_) {
      addPeer(Now, Owner.Vm_, Peers);
      continue;
    }
    bool IsDraining = Config.DrainedServers_.contains(Owner.Server_) ||
                      Now.LeavingServers_.contains(Owner.Server_);
    Specs.push_back({Owner.Server_, Owner.Slots_, IsDraining});
    OwnedServers_.push_back(Owner.Server_);
    OwnedSlots += Owner.Slots_;
  }
  logOwnership(OwnedBefore);
  Dispatcher_.setLimits(makeLimits(Now, Name_, OwnedSlots));
  Dispatcher_.setPeers(std::move(Peers));
  Dispatcher_.setServers(Specs, EventLoop::now());
  runActions();
}

void ServiceTraffic::logOwnership(
    const std::vector<std::string> &Before) const {
  auto Has = [](const std::vector<std::string> &List, const std::string &Name) {
    return std::find(List.begin(), List.end(), Name) != List.end();
  };
  Revision Version = Context_.Snapshot_->Config_->Revision_;
  for (const std::string &Server : OwnedServers_)
    if (!Has(Before, Server))
      logDecision("owner", Server, Name_, Context_.Settings_->Vm_,
                  "rendezvous over serving entry VMs", Version);
  for (const std::string &Server : Before)
    if (!Has(OwnedServers_, Server))
      logDecision("owner", Server, Name_, "not this entry VM",
                  "members or configuration changed", Version);
}

bool ServiceTraffic::isRepeatable(const std::string &Method) const {
  const ServiceConfig *Service =
      Context_.Snapshot_->Config_->findService(Name_);
  return Service && Service->RepeatableMethods_.contains(Method);
}

Duration ServiceTraffic::getTimeout(const CallSpec &Call) const {
  if (Call.Timeout_ > Duration::zero())
    return Call.Timeout_;
  const ServiceConfig *Service =
      Context_.Snapshot_->Config_->findService(Name_);
  return Service ? Service->Deadline_ : ServiceConfig().Deadline_;
}

void ServiceTraffic::submit(CallSpec Call, CallCallback End) {
  Duration UntilDrainEnd = Context_.DrainEnd_ - Call.Arrived_;
  if (UntilDrainEnd <= Duration::zero())
    return End({ResultCode::Stopping, nullptr, ""});
  Call.Timeout_ = std::min(getTimeout(Call), UntilDrainEnd);
  if (!Context_.Snapshot_->Config_->findService(Name_))
    return End({ResultCode::ServiceUnknown, nullptr, ""});
  bool NeedsKey =
      !isRepeatable(Call.Method_) && Call.Origin_ != CallOrigin::PeerSlot;
  if (!NeedsKey)
    return startCall(std::move(Call), std::move(End), std::nullopt);
  if (Call.Key_.empty())
    return End({ResultCode::KeyRequired, nullptr, ""});
  submitKeyed(std::move(Call), std::move(End));
}

void ServiceTraffic::submitKeyed(CallSpec Call, CallCallback End) {
  std::optional<IdempotencyKey> Key = parseIdempotencyKey(Call.Key_);
  if (!Key)
    return End({ResultCode::KeyMalformed, nullptr, ""});
  if (Key->Vm_ != Context_.Settings_->Vm_)
    return forwardToHome(*Key, Call, End);
  KeyState State = Keys_.begin(*Key, getFingerprint(Call));
  logDecision("key", Call.RequestId_, Name_,
              State.index() == 0   ? "start"
              : State.index() == 1 ? "wait"
              : State.index() == 2 ? "recorded answer"
                                   : "refuse",
              Call.Key_, Context_.Snapshot_->Config_->Revision_);
  if (std::holds_alternative<KeyIsNew>(State))
    return startCall(std::move(Call), std::move(End), Key);
  if (const auto *Done = std::get_if<KeyIsDone>(&State))
    return End({ResultCode::Ok, Done->Response_, "recorded"});
  if (const auto *Refused = std::get_if<KeyIsRefused>(&State))
    return End({Refused->Code_, nullptr, ""});
  auto Running = KeyedCalls_.find(Call.Key_);
  OpenCall &Open = OpenCalls_.at(Running->second);
  Open.Callbacks_.push_back(std::move(End));
  Open.Deadlines_.push_back(EventLoop::now() + Call.Timeout_);
  scheduleTick();
}

void ServiceTraffic::forwardToHome(const IdempotencyKey &Key,
                                   const CallSpec &Call,
                                   const CallCallback &End) {
  const Member *Home = Context_.Snapshot_->findMember(Key.Vm_);
  bool IsReachable = Call.Origin_ == CallOrigin::Caller && Home &&
                     Context_.Peers_->isConnected(Home->PeerAddress_);
  logDecision("home", Call.RequestId_, Name_, Key.Vm_,
              IsReachable ? "key's home" : "home can't be reached",
              Context_.Snapshot_->Config_->Revision_);
  if (!IsReachable)
    return End({ResultCode::KeyHomeUnreachable, nullptr, ""});
  LinkBudget *Link = findLinkBudget(Home->Region_);
  if (Link && !Link->tryConsume(Call.estimateLinkBytes(), EventLoop::now()))
    return End({ResultCode::KeyHomeUnreachable, nullptr, ""});
  wire::ForwardRequest Body = makeForwardRequest(Call, Call.Timeout_);
  Body.set_to_home(true);
  std::string Id = Call.RequestId_;
  Context_.Peers_->forward(
      Home->PeerAddress_, std::move(Body), Call.Timeout_,
      [Loop = Context_.Loop_, Id,
       End](std::optional<wire::ForwardReply> Reply) {
        CallResult Result{ResultCode::KeyHomeUnreachable, nullptr, ""};
        if (Reply)
          Result = decodeForwardReply(*Reply, Id);
        Loop->post([End, Result] { End(Result); });
      });
}

void ServiceTraffic::startCall(CallSpec Call, CallCallback End,
                               std::optional<IdempotencyKey> Key) {
  Time Now = EventLoop::now();
  RequestTraits Traits;
  Traits.Route_ = makeRoute(Call.Method_, Call.Path_);
  Traits.Arrived_ = Call.Arrived_;
  Traits.Deadline_ = Call.Arrived_ + Call.Timeout_;
  Traits.IsRepeatable_ = isRepeatable(Call.Method_);
  if (Call.Origin_ == CallOrigin::PeerSlot)
    Traits.Grant_ = GrantIndex(Call.Grant_);
  OpenCall Open;
  Open.Callbacks_.push_back(std::move(End));
  Open.Deadlines_.push_back(Traits.Deadline_);
  Open.Key_ = std::move(Key);
  Open.Call_ = std::move(Call);
  RequestIndex Request = Dispatcher_.addRequest(std::move(Traits), Now);
  if (Open.Key_)
    KeyedCalls_[Open.Call_.Key_] = Request;
  OpenCalls_.emplace(Request, std::move(Open));
  runActions();
}

void ServiceTraffic::completeCall(OpenCall &Call, const CallResult &Reply) {
  Duration Elapsed = EventLoop::now() - Call.Call_.Arrived_;
  bool IsFar = !Call.Call_.SenderRegion_.empty() &&
               Call.Call_.SenderRegion_ != Context_.Settings_->Region_;
  for (const CallCallback &End : Call.Callbacks_) {
    Context_.Metrics_->countRequest(Name_, Reply.Code_);
    Context_.Metrics_->observeLatency(Name_, Elapsed);
    if (IsFar && Reply.Response_)
      sendOverLink(Call.Call_.SenderRegion_, Reply.Response_->Body_.size(),
                   [End, Reply] { End(Reply); });
    else
      End(Reply);
  }
  Call.Callbacks_.clear();
  Call.Deadlines_.clear();
}

void ServiceTraffic::recordKeyOutcome(const IdempotencyKey &Key,
                                      const CallResult &Reply) {
  switch (getOutcome(Reply.Code_)) {
  case Outcome::Answered:
    return Keys_.recordResponse(Key, Reply.Response_);
  case Outcome::NotRun:
    return Keys_.remove(Key);
  case Outcome::Unknown:
    return Keys_.recordUnknown(Key, Reply.Code_);
  }
}

void ServiceTraffic::expireWaiters(Time Now) {
  for (auto &[Request, Open] : OpenCalls_)
    for (size_t I = Open.Callbacks_.size(); I-- > 0;) {
      // The dispatcher handles the deadline of the first caller; those of the
      // others are handled here.
      if (Now < Open.Deadlines_[I] + milliseconds(1))
        continue;
      CallCallback End = std::move(Open.Callbacks_[I]);
      Open.Callbacks_.erase(Open.Callbacks_.begin() +
                            static_cast<std::ptrdiff_t>(I));
      Open.Deadlines_.erase(Open.Deadlines_.begin() +
                            static_cast<std::ptrdiff_t>(I));
      Context_.Metrics_->countRequest(Name_, ResultCode::DeadlineAfterStart);
      End({ResultCode::DeadlineAfterStart, nullptr, ""});
    }
}

void ServiceTraffic::runActions() {
  for (Actions Pending = Dispatcher_.takeActions(); !Pending.empty();
       Pending = Dispatcher_.takeActions())
    for (const Action &Next : Pending)
      std::visit([this](const auto &Step) { run(Step); }, Next);
  scheduleTick();
}

void ServiceTraffic::tick() {
  Time Now = EventLoop::now();
  Dispatcher_.tick(Now);
  runActions();
  expireWaiters(Now);
}

void ServiceTraffic::scheduleTick() {
  Time Now = EventLoop::now();
  std::optional<Time> Next = Dispatcher_.getNextWake(Now);
  for (const auto &[Key, Request] : KeyedCalls_)
    if (auto Open = OpenCalls_.find(Request); Open != OpenCalls_.end())
      for (Time Deadline : Open->second.Deadlines_)
        Next = std::min(Next.value_or(Time::max()), Deadline + milliseconds(1));
  if (!Next)
    return;
  Time At = std::max(*Next, Now + milliseconds(1));
  if (NextTick_ > Now && NextTick_ <= At)
    return;
  NextTick_ = At;
  Context_.Loop_->addTimer(At, [this, At] {
    if (NextTick_ == At)
      NextTick_ = Time::max();
    tick();
  });
}

void ServiceTraffic::run(const FinishRequest &Finish) {
  auto Found = OpenCalls_.find(Finish.Request_);
  if (Found == OpenCalls_.end())
    return;
  OpenCall &Open = Found->second;
  CallResult Reply{Finish.Code_, nullptr, ""};
  if (Finish.ResponseAttempt_.isValid())
    Reply = OpenAttempts_.at(Finish.ResponseAttempt_).Result_;
  if (getOutcome(Finish.Code_) != Outcome::Answered)
    logDecision("end", Open.Call_.RequestId_, Name_,
                getName(getOutcome(Finish.Code_)), getName(Finish.Code_),
                Context_.Snapshot_->Config_->Revision_);
  completeCall(Open, Reply);
  bool IsStillRunning =
      Open.Key_ && Finish.Code_ == ResultCode::DeadlineAfterStart;
  if (IsStillRunning)
    return;
  if (Open.Key_) {
    recordKeyOutcome(*Open.Key_, Reply);
    KeyedCalls_.erase(Open.Call_.Key_);
  }
  OpenCalls_.erase(Found);
}

void ServiceTraffic::run(const ReportLateResult &Settle) {
  auto Found = OpenCalls_.find(Settle.Request_);
  if (Found == OpenCalls_.end())
    return;
  OpenCall &Open = Found->second;
  CallResult Reply{Settle.Code_, nullptr, ""};
  if (Settle.Code_ == ResultCode::Ok)
    Reply = OpenAttempts_.at(Settle.ResponseAttempt_).Result_;
  completeCall(Open, Reply);
  recordKeyOutcome(*Open.Key_, Reply);
  KeyedCalls_.erase(Open.Call_.Key_);
  OpenCalls_.erase(Found);
}

void ServiceTraffic::handleSlotRequest(const wire::SlotRequest &Ask,
                                       PeerRespond<wire::SlotReply> Respond) {
  Time Now = EventLoop::now();
  SlotRequestIndex Index(NextSlotRequest_++);
  SlotRequests_[Index] = std::move(Respond);
  SlotRequestTimes_[Index] = Now;
  SlotRequestVms_[Index] = Ask.vm();
  Duration Wait =
      std::min(MaxSlotRequestWait, Duration(milliseconds(Ask.wait_ms())));
  bool IsFar = Ask.region() != Context_.Settings_->Region_;
  Duration Latency = getRegionLatency(
      *Context_.Snapshot_->Config_, Ask.region(), Context_.Settings_->Region_);
  Dispatcher_.addSlotRequest(
      {Index, std::max(1U, Ask.wanted()), IsFar, Latency, Now + Wait}, Now);
  runActions();
}

void ServiceTraffic::releaseGrant(uint64_t Grant) {
  Dispatcher_.releaseGrant(GrantIndex(Grant), EventLoop::now());
  runActions();
}

void ServiceTraffic::probeServers() {
  for (const std::string &Server : OwnedServers_) {
    HttpCall Call;
    Call.Url_ = "http://" + Server + "/health";
    Call.Timeout_ = ProbeTimeout;
    Context_.Loop_->startCall(std::move(Call), [this, Server](
                                                   const HttpResult &Result) {
      unsigned &Failures = ProbeFailures_[Server];
      Failures = Result.Code_ == ResultCode::Ok ? 0 : Failures + 1;
      nlohmann::json Body = nlohmann::json::parse(Result.Body_, nullptr, false);
      bool IsDraining = Body.is_object() && Body.contains("draining") &&
                        Body["draining"] == true;
      ServerHealth Health =
          IsDraining ? ServerHealth::Draining : ServerHealth::Up;
      if (Failures >= ProbeFailuresToDown)
        Health = ServerHealth::Down;
      else if (Failures > 0)
        return;
      Dispatcher_.setHealth(Server, Health, EventLoop::now());
      runActions();
    });
  }
}

ServiceStats ServiceTraffic::getStats() {
  Time Now = EventLoop::now();
  return {Dispatcher_.getStats(Now), Keys_.getSize(), OpenCalls_.size(),
          Dispatcher_.getServerStatus(Now)};
}

} // namespace cranberry
