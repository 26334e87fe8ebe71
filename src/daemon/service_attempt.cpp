/// \file service_attempt.cpp Calls to backend servers and entry VMs.
#include "daemon/service_traffic_base.h"

#include "core/result_func.h"
#include "daemon/decision_log_func.h"
#include "daemon/wire_func.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr Duration AskReplyMargin = seconds(1);
constexpr Duration ReleaseTimeout = seconds(1);
/// How long an attempt that may not be repeated is waited for after its
/// caller's deadline, so that a repeated key can still get the answer.
constexpr Duration LateAnswerWait = seconds(20);

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
  Out.Timeout_ = Repeatable ? Left : Left + LateAnswerWait;
  Out.IsNewConnectionRequired_ = !Repeatable;
  return Out;
}

void ServiceTraffic::run(const StartServerAttempt &Start) {
  OpenCall &Open = Calls_.at(Start.Request_);
  if (!Open.Started_)
    Context_.Metrics_->observeQueueing(Name_,
                                       EventLoop::now() - Open.Call_.Arrived_);
  Open.Started_ = true;
  std::string AttemptId =
      Open.Call_.RequestId_ + "." + std::to_string(++Open.Attempts_);
  logDecision("route", Open.Call_.RequestId_, Name_, "server " + Start.Server_,
              Start.Why_, Context_.Snapshot_->Config_->Revision_);
  OpenAttempt &Out = Attempts_[Start.Attempt_];
  Out.Request_ = Start.Request_;
  Out.HttpCall_ = Context_.Loop_->startCall(
      makeServerCall(Open, Start.Server_, AttemptId),
      [this, Attempt = Start.Attempt_, Server = Start.Server_,
       AttemptId](HttpResult Result) {
        endServerAttempt(Attempt, Server, AttemptId, std::move(Result));
      });
}

void ServiceTraffic::noteServerState(const std::string &Server,
                                     const HttpResult &Result) {
  if (Result.getHeader("x-draining").empty())
    return;
  logDecision("drain", Server, Name_, "no new work", "server's answer says so",
              Context_.Snapshot_->Config_->Revision_);
  Dispatcher_.setHealth(Server, ServerHealth::Draining, EventLoop::now());
}

void ServiceTraffic::endServerAttempt(AttemptIndex Attempt,
                                      const std::string &Server,
                                      const std::string &AttemptId,
                                      HttpResult Result) {
  CallReply Reply{Result.Code_, nullptr, Server};
  const std::string &Echo = Result.getHeader("x-request-id");
  bool IsRefusal = !Result.getHeader("x-not-run").empty();
  noteServerState(Server, Result);
  if (Reply.Code_ == ResultCode::Ok && !Echo.empty() && Echo != AttemptId)
    Reply.Code_ = ResultCode::ServerAnswerCrossed;
  else if (Reply.Code_ == ResultCode::Ok && Result.Status_ == 503 && IsRefusal)
    Reply.Code_ = ResultCode::ServerRefused;
  Context_.Metrics_->countAttempt(Name_, "server", Reply.Code_);
  if (Reply.Code_ == ResultCode::Ok)
    Reply.Answer_ = std::make_shared<Answer>(
        Answer{Result.Status_, keepAnswerHeaders(Result.Headers_),
               std::move(Result.Body_)});
  endAttempt(Attempt, std::move(Reply));
}

wire::ForwardRequest ServiceTraffic::makeForward(const CallSpec &Call,
                                                 Duration Left) const {
  wire::ForwardRequest Body;
  Body.set_request_id(Call.RequestId_);
  Body.set_service(Call.Service_);
  Body.set_method(Call.Method_);
  Body.set_path(Call.Path_);
  Body.set_key(Call.Key_);
  Body.set_body(Call.Body_);
  writeHeaders(Call.Headers_, *Body.mutable_headers());
  Body.set_deadline_ms(
      static_cast<uint32_t>(std::max<int64_t>(1, toMilliseconds(Left))));
  Body.set_sender_vm(Context_.Settings_->Vm_);
  Body.set_sender_region(Context_.Settings_->Region_);
  return Body;
}

LinkBudget *ServiceTraffic::findLink(const std::string &Region) {
  auto Found = Context_.Links_.find(Region);
  return Found == Context_.Links_.end() ? nullptr : &Found->second;
}

void ServiceTraffic::sendOverLink(const std::string &Region, size_t Bytes,
                                  std::function<void()> Send) {
  LinkBudget *Link = findLink(Region);
  Time Now = EventLoop::now();
  if (!Link || Link->trySend(Bytes, Now))
    return Send();
  Context_.Loop_->addTimer(Link->getReadyTime(Now),
                           [this, Region, Bytes, Send = std::move(Send)] {
                             sendOverLink(Region, Bytes, Send);
                           });
}

void ServiceTraffic::run(const StartPeerAttempt &Start) {
  OpenCall &Open = Calls_.at(Start.Request_);
  const CallSpec &Call = Open.Call_;
  ++Open.Attempts_;
  OpenAttempt &Out = Attempts_[Start.Attempt_];
  Out.Request_ = Start.Request_;
  const Member *Peer = Context_.Snapshot_->findMember(Start.Vm_);
  Duration Left = Call.Arrived_ + Call.Timeout_ - EventLoop::now();
  auto Refuse = [&](ResultCode Code) {
    Context_.Loop_->post([this, Attempt = Start.Attempt_, Code] {
      endAttempt(Attempt, {Code, nullptr, ""});
    });
  };
  if (!Peer || !Context_.Peers_->isConnected(Peer->PeerAddress_))
    return Refuse(ResultCode::PeerUnreachable);
  LinkBudget *Link = findLink(Peer->Region_);
  if (Link && !Link->trySend(Call.getLinkBytes(), EventLoop::now()))
    return Refuse(ResultCode::LinkCapReached);
  logDecision("route", Call.RequestId_, Name_, "entry VM " + Start.Vm_,
              "granted slot", Context_.Snapshot_->Config_->Revision_);
  wire::ForwardRequest Body = makeForward(Call, Left);
  Body.set_grant(Start.Grant_);
  Body.set_incarnation(Start.Incarnation_);
  Duration Wait = isRepeatable(Call.Method_) ? Left : Left + LateAnswerWait;
  Out.Cancel_ = Context_.Peers_->forward(
      Peer->PeerAddress_, std::move(Body), Wait,
      [this, Loop = Context_.Loop_, Attempt = Start.Attempt_,
       Id = Call.RequestId_](std::optional<wire::ForwardReply> Reply) {
        Loop->post([this, Attempt, Id, Reply = std::move(Reply)] {
          endPeerAttempt(Attempt, Id, Reply);
        });
      });
}

void ServiceTraffic::endPeerAttempt(AttemptIndex Attempt,
                                    const std::string &RequestId,
                                    std::optional<wire::ForwardReply> Reply) {
  CallReply Result{ResultCode::PeerAnswerLost, nullptr, ""};
  if (Reply)
    Result = readForwardReply(*Reply, RequestId);
  Context_.Metrics_->countAttempt(Name_, "entry-vm", Result.Code_);
  endAttempt(Attempt, std::move(Result));
}

void ServiceTraffic::endAttempt(AttemptIndex Attempt, CallReply Reply) {
  auto Found = Attempts_.find(Attempt);
  if (Found == Attempts_.end())
    return;
  ResultCode Code = Reply.Code_;
  Found->second.Reply_ = std::move(Reply);
  Dispatcher_.finishAttempt(Attempt, Code, EventLoop::now());
  perform();
  Attempts_.erase(Attempt);
}

void ServiceTraffic::run(const CancelAttempt &Cancel) {
  auto Found = Attempts_.find(Cancel.Attempt_);
  if (Found == Attempts_.end())
    return;
  if (Found->second.HttpCall_.isValid())
    Context_.Loop_->cancelCall(Found->second.HttpCall_);
  if (Found->second.Cancel_)
    Found->second.Cancel_();
  Context_.Loop_->post([this, Attempt = Cancel.Attempt_] {
    endAttempt(Attempt, {ResultCode::Cancelled, nullptr, ""});
  });
}

void ServiceTraffic::run(const AskPeer &Ask) {
  const Member *Peer = Context_.Snapshot_->findMember(Ask.Vm_);
  if (!Peer || !Context_.Peers_->isConnected(Peer->PeerAddress_)) {
    Context_.Loop_->post([this, Vm = Ask.Vm_] {
      Dispatcher_.receiveAnswer({Vm, 0, 0, 0, Duration::zero()},
                                EventLoop::now());
      perform();
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
      Peer->PeerAddress_, std::move(Body), Ask.Wait_ + AskReplyMargin,
      [this, Loop = Context_.Loop_, Vm = Ask.Vm_,
       Asked = EventLoop::now()](std::optional<wire::SlotReply> Reply) {
        Loop->post([this, Vm, Asked, Reply = std::move(Reply)] {
          SlotAnswer Answer{Vm, 0, 0, 0, Duration::zero()};
          Time Now = EventLoop::now();
          if (Reply)
            Answer = {Vm, Reply->grant(), Reply->incarnation(), Reply->slots(),
                      Asked + milliseconds(Reply->ttl_ms()) - Now};
          Context_.Metrics_->countGrant(Name_, "received", Answer.Slots_);
          Dispatcher_.receiveAnswer(Answer, Now);
          perform();
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

void ServiceTraffic::run(const AnswerAsk &Answer) {
  auto Found = Asks_.find(Answer.Ask_);
  Duration Waited = EventLoop::now() - AskTimes_[Answer.Ask_];
  wire::SlotReply Reply;
  Reply.set_slots(Answer.Slots_);
  Reply.set_incarnation(Context_.Snapshot_->Self_.Incarnation_);
  if (Answer.Slots_ > 0)
    Reply.set_grant(Answer.Grant_.get());
  // The holder counts from when it asked, so the wait here is added.
  Reply.set_ttl_ms(static_cast<uint32_t>(toMilliseconds(Answer.Ttl_ + Waited)));
  Context_.Metrics_->countGrant(Name_, "given", Answer.Slots_);
  if (Answer.Slots_ > 0)
    logDecision(
        "grant", std::to_string(Answer.Grant_.get()), Name_,
        std::to_string(Answer.Slots_) + " slots to " + AskVms_[Answer.Ask_],
        "free here, waited for there", Context_.Snapshot_->Config_->Revision_);
  Found->second(std::move(Reply));
  Asks_.erase(Found);
  AskVms_.erase(Answer.Ask_);
  AskTimes_.erase(Answer.Ask_);
}

} // namespace cranberry
