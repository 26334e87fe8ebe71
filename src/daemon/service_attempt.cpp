/// \file service_attempt.cpp Attempts at backend servers and other entry VMs.
#include "daemon/service_traffic_base.h"

#include "core/result_func.h"
#include "daemon/decision_log_func.h"
#include "daemon/wire_func.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr Duration SlotReplyMargin = seconds(1);
constexpr Duration ReleaseTimeout = seconds(1);
/// Additional timeout of an attempt that may not be repeated, after its
/// caller's deadline. A retry with the same key can then still get the
/// response.
constexpr Duration LateResponseTimeout = seconds(20);

} // namespace

HttpCall ServiceTraffic::makeServerCall(const OpenCall &Open,
                                        const std::string &Server,
                                        const std::string &AttemptId) const {
  const CallSpec &Call = Open.Call_;
  bool Repeatable = isRepeatable(Call.Method_);
  Duration Left = Call.Arrived_ + Call.Timeout_ - EventLoop::now();
  HttpCall Out;
  Out.Method_ = Call.Method_;
  Out.Url_ = "http://" + Server + Call.Path_;
  Out.Headers_ = Call.Headers_;
  Out.Headers_.emplace_back("X-Request-Id", AttemptId);
  Out.Headers_.emplace_back("X-Deadline-Ms",
                            std::to_string(toMilliseconds(Left)));
  if (!Call.Key_.empty())
    Out.Headers_.emplace_back("Idempotency-Key", Call.Key_);
  Out.Body_ = Call.Body_;
  Out.Timeout_ = Repeatable ? Left : Left + LateResponseTimeout;
  Out.IsNewConnectionRequired_ = !Repeatable;
  return Out;
}

void ServiceTraffic::run(const StartServerAttempt &Start) {
  OpenCall &Open = OpenCalls_.at(Start.Request_);
  if (!Open.IsStarted_)
    Context_.Metrics_->observeQueueTime(Name_,
                                        EventLoop::now() - Open.Call_.Arrived_);
  Open.IsStarted_ = true;
  std::string AttemptId =
      Open.Call_.RequestId_ + "." + std::to_string(++Open.Attempts_);
  logDecision("route", Open.Call_.RequestId_, Name_, "server " + Start.Server_,
              Start.Why_, Context_.Snapshot_->Config_->Revision_);
  OpenAttempt &Out = OpenAttempts_[Start.Attempt_];
  Out.Request_ = Start.Request_;
  Out.HttpCall_ = Context_.Loop_->startCall(
      makeServerCall(Open, Start.Server_, AttemptId),
      [this, Attempt = Start.Attempt_, Server = Start.Server_,
       AttemptId](HttpResult Result) {
        onServerResponse(Attempt, Server, AttemptId, std::move(Result));
      });
}

void ServiceTraffic::applyDrainHeader(const std::string &Server,
                                      const HttpResult &Result) {
  if (Result.getHeader("x-draining").empty())
    return;
  logDecision("drain", Server, Name_, "no new work", "server's answer says so",
              Context_.Snapshot_->Config_->Revision_);
  Dispatcher_.setHealth(Server, ServerHealth::Draining, EventLoop::now());
}

void ServiceTraffic::onServerResponse(AttemptIndex Attempt,
                                      const std::string &Server,
                                      const std::string &AttemptId,
                                      HttpResult Result) {
  CallResult Reply{Result.Code_, nullptr, Server};
  const std::string &Echo = Result.getHeader("x-request-id");
  bool IsRefusal = !Result.getHeader("x-not-run").empty();
  applyDrainHeader(Server, Result);
  if (Reply.Code_ == ResultCode::Ok && !Echo.empty() && Echo != AttemptId)
    Reply.Code_ = ResultCode::ServerAnswerCrossed;
  else if (Reply.Code_ == ResultCode::Ok && Result.Status_ == 503 && IsRefusal)
    Reply.Code_ = ResultCode::ServerRefused;
  Context_.Metrics_->countAttempt(Name_, "server", Reply.Code_);
  if (Reply.Code_ == ResultCode::Ok)
    Reply.Response_ = std::make_shared<RecordedResponse>(
        RecordedResponse{Result.Status_, filterResponseHeaders(Result.Headers_),
                         std::move(Result.Body_)});
  finishAttempt(Attempt, std::move(Reply));
}

wire::ForwardRequest ServiceTraffic::makeForwardRequest(const CallSpec &Call,
                                                        Duration Left) const {
  wire::ForwardRequest Body;
  Body.set_request_id(Call.RequestId_);
  Body.set_service(Call.Service_);
  Body.set_method(Call.Method_);
  Body.set_path(Call.Path_);
  Body.set_key(Call.Key_);
  Body.set_body(Call.Body_);
  encodeHeaders(Call.Headers_, *Body.mutable_headers());
  Body.set_deadline_ms(
      static_cast<uint32_t>(std::max<int64_t>(1, toMilliseconds(Left))));
  Body.set_sender_vm(Context_.Settings_->Vm_);
  Body.set_sender_region(Context_.Settings_->Region_);
  return Body;
}

LinkBudget *ServiceTraffic::findLinkBudget(const std::string &Region) {
  auto Found = Context_.Links_.find(Region);
  return Found == Context_.Links_.end() ? nullptr : &Found->second;
}

void ServiceTraffic::sendOverLink(const std::string &Region, size_t Bytes,
                                  std::function<void()> Send) {
  LinkBudget *Link = findLinkBudget(Region);
  Time Now = EventLoop::now();
  if (!Link || Link->tryConsume(Bytes, Now))
    return Send();
  Context_.Loop_->addTimer(Link->getReadyTime(Now),
                           [this, Region, Bytes, Send = std::move(Send)] {
                             sendOverLink(Region, Bytes, Send);
                           });
}

void ServiceTraffic::run(const StartPeerAttempt &Start) {
  OpenCall &Open = OpenCalls_.at(Start.Request_);
  const CallSpec &Call = Open.Call_;
  ++Open.Attempts_;
  OpenAttempt &Out = OpenAttempts_[Start.Attempt_];
  Out.Request_ = Start.Request_;
  const Member *Peer = Context_.Snapshot_->findMember(Start.Vm_);
  Duration Left = Call.Arrived_ + Call.Timeout_ - EventLoop::now();
  auto Refuse = [&](ResultCode Code) {
    Context_.Loop_->post([this, Attempt = Start.Attempt_, Code] {
      finishAttempt(Attempt, {Code, nullptr, ""});
    });
  };
  if (!Peer || !Context_.Peers_->isConnected(Peer->PeerAddress_))
    return Refuse(ResultCode::PeerUnreachable);
  LinkBudget *Link = findLinkBudget(Peer->Region_);
  if (Link && !Link->tryConsume(Call.estimateLinkBytes(), EventLoop::now()))
    return Refuse(ResultCode::LinkCapReached);
  logDecision("route", Call.RequestId_, Name_, "entry VM " + Start.Vm_,
              "granted slot", Context_.Snapshot_->Config_->Revision_);
  wire::ForwardRequest Body = makeForwardRequest(Call, Left);
  Body.set_grant(Start.Grant_);
  Body.set_incarnation(Start.Incarnation_);
  Duration Wait =
      isRepeatable(Call.Method_) ? Left : Left + LateResponseTimeout;
  Out.Cancel_ = Context_.Peers_->forward(
      Peer->PeerAddress_, std::move(Body), Wait,
      [this, Loop = Context_.Loop_, Attempt = Start.Attempt_,
       Id = Call.RequestId_](std::optional<wire::ForwardReply> Reply) {
        Loop->post([this, Attempt, Id, Reply = std::move(Reply)] {
          onPeerResponse(Attempt, Id, Reply);
        });
      });
}

void ServiceTraffic::onPeerResponse(AttemptIndex Attempt,
                                    const std::string &RequestId,
                                    std::optional<wire::ForwardReply> Reply) {
  CallResult Result{ResultCode::PeerAnswerLost, nullptr, ""};
  if (Reply)
    Result = decodeForwardReply(*Reply, RequestId);
  Context_.Metrics_->countAttempt(Name_, "entry-vm", Result.Code_);
  finishAttempt(Attempt, std::move(Result));
}

void ServiceTraffic::finishAttempt(AttemptIndex Attempt, CallResult Reply) {
  auto Found = OpenAttempts_.find(Attempt);
  if (Found == OpenAttempts_.end())
    return;
  ResultCode Code = Reply.Code_;
  Found->second.Result_ = std::move(Reply);
  Dispatcher_.finishAttempt(Attempt, Code, EventLoop::now());
  runActions();
  OpenAttempts_.erase(Attempt);
}

void ServiceTraffic::run(const CancelAttempt &Cancel) {
  auto Found = OpenAttempts_.find(Cancel.Attempt_);
  if (Found == OpenAttempts_.end())
    return;
  if (Found->second.HttpCall_.isValid())
    Context_.Loop_->cancelCall(Found->second.HttpCall_);
  if (Found->second.Cancel_)
    Found->second.Cancel_();
  Context_.Loop_->post([this, Attempt = Cancel.Attempt_] {
    finishAttempt(Attempt, {ResultCode::Cancelled, nullptr, ""});
  });
}

void ServiceTraffic::run(const RequestSlots &Ask) {
  const Member *Peer = Context_.Snapshot_->findMember(Ask.Vm_);
  if (!Peer || !Context_.Peers_->isConnected(Peer->PeerAddress_)) {
    Context_.Loop_->post([this, Vm = Ask.Vm_] {
      Dispatcher_.onSlotReply({Vm, 0, 0, 0, Duration::zero()},
                              EventLoop::now());
      runActions();
    });
    return;
  }
  wire::SlotRequest Body;
  Body.set_service(Name_);
  Body.set_vm(Context_.Settings_->Vm_);
  Body.set_region(Context_.Settings_->Region_);
  Body.set_wanted(Ask.Wanted_);
  Body.set_wait_ms(static_cast<uint32_t>(toMilliseconds(Ask.Wait_)));
  Context_.Peers_->askSlots(
      Peer->PeerAddress_, std::move(Body), Ask.Wait_ + SlotReplyMargin,
      [this, Loop = Context_.Loop_, Vm = Ask.Vm_,
       RequestedAt = EventLoop::now()](std::optional<wire::SlotReply> Reply) {
        Loop->post([this, Vm, RequestedAt, Reply = std::move(Reply)] {
          PeerSlotReply Answer{Vm, 0, 0, 0, Duration::zero()};
          Time Now = EventLoop::now();
          if (Reply)
            Answer = {Vm, Reply->grant(), Reply->incarnation(), Reply->slots(),
                      RequestedAt + milliseconds(Reply->ttl_ms()) - Now};
          Context_.Metrics_->countGrant(Name_, "received", Answer.Slots_);
          Dispatcher_.onSlotReply(Answer, Now);
          runActions();
        });
      });
}

void ServiceTraffic::run(const ReleaseGrant &Release) {
  const Member *Peer = Context_.Snapshot_->findMember(Release.Vm_);
  if (!Peer)
    return;
  wire::SlotRelease Body;
  Body.set_service(Name_);
  Body.set_grant(Release.Grant_);
  Context_.Peers_->releaseSlots(Peer->PeerAddress_, std::move(Body),
                                ReleaseTimeout,
                                [](const std::optional<wire::Empty> &) {});
}

void ServiceTraffic::run(const SendSlotReply &Answer) {
  auto Found = SlotRequests_.find(Answer.Request_);
  Duration Waited = EventLoop::now() - SlotRequestTimes_[Answer.Request_];
  wire::SlotReply Reply;
  Reply.set_slots(Answer.Slots_);
  Reply.set_incarnation(Context_.Snapshot_->Self_.Incarnation_);
  if (Answer.Slots_ > 0)
    Reply.set_grant(Answer.Grant_.get());
  // The peer counts the lifetime from the time of its request, so the time
  // spent waiting here is added.
  Reply.set_ttl_ms(static_cast<uint32_t>(toMilliseconds(Answer.Ttl_ + Waited)));
  Context_.Metrics_->countGrant(Name_, "given", Answer.Slots_);
  if (Answer.Slots_ > 0)
    logDecision("grant", std::to_string(Answer.Grant_.get()), Name_,
                std::to_string(Answer.Slots_) + " slots to " +
                    SlotRequestVms_[Answer.Request_],
                "free here, waited for there",
                Context_.Snapshot_->Config_->Revision_);
  Found->second(std::move(Reply));
  SlotRequests_.erase(Found);
  SlotRequestVms_.erase(Answer.Request_);
  SlotRequestTimes_.erase(Answer.Request_);
}

} // namespace cranberry
