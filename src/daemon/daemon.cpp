/// \file daemon.cpp Process of one entry VM.
#include "daemon/daemon_base.h"

#include "daemon/decision_log_func.h"
#include "daemon/wire_func.h"

#include <absl/hash/hash.h>
#include <glog/logging.h>

#include <algorithm>
#include <thread>

namespace cranberry {

namespace {

constexpr Duration DrainPoll = milliseconds(20);
constexpr Duration PeerShutdownTimeout = seconds(1);
/// Time until all peers know that this VM is leaving.
constexpr Duration LeavePropagationDelay = seconds(2);

} // namespace

Daemon::Daemon(Settings Config, uint64_t Incarnation)
    : Settings_(std::move(Config)), Incarnation_(Incarnation),
      Peers_(PeerClient::create()) {}

Daemon::~Daemon() {
  Http_.reset();
  if (Peer_)
    Peer_->shutdown(PeerShutdownTimeout);
  if (Control_)
    Control_->stop();
  for (std::unique_ptr<TrafficThread> &Thread : Traffic_)
    Thread->stop();
}

bool Daemon::start(Reason &Why) {
  HttpServerLimits Limits;
  Limits.Threads_ = Settings_.HttpThreads_;
  Limits.MaxConnections_ = Settings_.MaxConnections_;
  Limits.MaxBodyBytes_ = static_cast<size_t>(Settings_.MaxBodyKb_) << 10;
  Http_ = HttpServer::open(
      Settings_.Http_, Limits,
      [this](HttpRequest Request, HttpRespond Respond) {
        handleHttp(std::move(Request), std::move(Respond));
      },
      Why);
  if (!Http_)
    return false;
  Peer_ = PeerServer::open(Settings_.Peer_, makePeerHandlers(), Why);
  if (!Peer_)
    return false;
  Member Self;
  Self.Vm_ = Settings_.Vm_;
  Self.Region_ = Settings_.Region_;
  Self.Zone_ = Settings_.Zone_;
  Self.HttpAddress_ = Settings_.HttpAdvertise_.empty()
                          ? Http_->getAddress()
                          : Settings_.HttpAdvertise_;
  Self.PeerAddress_ = Settings_.PeerAdvertise_.empty()
                          ? Peer_->getAddress()
                          : Settings_.PeerAdvertise_;
  Self.Incarnation_ = Incarnation_;
  for (unsigned I = 0; I < Settings_.TrafficThreads_; ++I)
    Traffic_.push_back(
        std::make_unique<TrafficThread>(Settings_, *Peers_, Metrics_));
  Control_ = std::make_unique<ControlThread>(
      Settings_, Self, *Peers_, Metrics_,
      [this](const SnapshotPtr &Next) { publish(Next); });
  Callers_ = std::make_unique<CallerApi>(
      Settings_, Holder_, Metrics_, [this](CallSpec Call, CallEnd End) {
        TrafficThread &Thread = getThread(Call.Service_);
        Thread.submit(std::move(Call), std::move(End));
      });
  Operators_ = std::make_unique<OperatorApi>(Settings_, Holder_, *Control_,
                                             Traffic_, Metrics_);
  for (std::unique_ptr<TrafficThread> &Thread : Traffic_)
    Thread->start();
  Control_->start();
  Started_ = true;
  return true;
}

TrafficThread &Daemon::getThread(const std::string &Service) {
  return *Traffic_[absl::HashOf(Service) % Traffic_.size()];
}

void Daemon::publish(const SnapshotPtr &Next) {
  Holder_.set(Next);
  std::vector<std::vector<std::string>> Names(Traffic_.size());
  for (const ServiceConfig &Service : Next->Config_->Services_)
    Names[absl::HashOf(Service.Name_) % Traffic_.size()].push_back(
        Service.Name_);
  for (size_t I = 0; I < Traffic_.size(); ++I)
    Traffic_[I]->setSnapshot(Next, std::move(Names[I]));
}

void Daemon::handleHttp(HttpRequest Request, HttpRespond Respond) {
  if (!Started_)
    return Respond(makeErrorResponse({ResultCode::NotReady, "", ""}));
  if (Request.Path_ == "/v1/lookup")
    return Callers_->lookup(Request, Respond);
  if (Request.RawPath_.starts_with("/v1/call/"))
    return Callers_->call(std::move(Request), std::move(Respond));
  Operators_->handle(Request, Respond);
}

PeerHandlers Daemon::makePeerHandlers() {
  PeerHandlers Handlers;
  Handlers.Exchange_ = [this](const wire::Heartbeat &Body,
                              PeerRespond<wire::Heartbeat> Respond) {
    if (Started_)
      Control_->receiveHeartbeat(Body, std::move(Respond));
    else
      Respond({});
  };
  Handlers.GetChanges_ = [this](const wire::ChangesRequest &Body,
                                PeerRespond<wire::ChangesReply> Respond) {
    if (Started_)
      Control_->getChanges(Body, std::move(Respond));
    else
      Respond({});
  };
  Handlers.AskSlots_ = [this](const wire::SlotRequest &Body,
                              PeerRespond<wire::SlotReply> Respond) {
    if (Started_)
      getThread(Body.service()).askSlots(Body, std::move(Respond));
    else
      Respond({});
  };
  Handlers.ReleaseSlots_ = [this](const wire::SlotRelease &Body,
                                  const PeerRespond<wire::Empty> &Respond) {
    if (Started_)
      getThread(Body.service()).releaseSlots(Body);
    Respond({});
  };
  Handlers.Forward_ = [this](wire::ForwardRequest Body,
                             PeerRespond<wire::ForwardReply> Respond) {
    forward(std::move(Body), std::move(Respond));
  };
  return Handlers;
}

void Daemon::forward(wire::ForwardRequest Body,
                     PeerRespond<wire::ForwardReply> Respond) {
  std::string Id = Body.request_id();
  if (!Started_)
    return Respond(writeForwardReply({ResultCode::NotReady, nullptr, ""}, Id));
  bool IsStale = !Body.to_home() && Body.incarnation() != Incarnation_;
  if (IsStale)
    return Respond(
        writeForwardReply({ResultCode::GrantStale, nullptr, ""}, Id));
  CallSpec Call;
  Call.RequestId_ = Id;
  Call.Service_ = Body.service();
  Call.Method_ = Body.method();
  Call.Path_ = Body.path();
  Call.Key_ = Body.key();
  Call.Headers_ = readHeaders(Body.headers());
  Call.Body_ = std::move(*Body.mutable_body());
  Call.Arrived_ = EventLoop::now();
  Call.Timeout_ = milliseconds(Body.deadline_ms());
  Call.Origin_ = Body.to_home() ? CallOrigin::PeerHome : CallOrigin::PeerSlot;
  Call.Grant_ = Body.grant();
  Call.SenderRegion_ = Body.sender_region();
  ++OpenForwards_;
  TrafficThread &Thread = getThread(Call.Service_);
  Thread.submit(std::move(Call), [this, Id, Respond = std::move(Respond)](
                                     const CallReply &Reply) {
    Respond(writeForwardReply(Reply, Id));
    --OpenForwards_;
  });
}

bool Daemon::drain() {
  LOG(INFO) << "drain vm=" << Settings_.Vm_ << " step=leaving";
  Control_->leave();
  Time Started = EventLoop::now();
  // Callers use cached look-up responses until they expire, and peers list this
  // VM until they learn that it is leaving.
  Time Lapsed = Started + LeavePropagationDelay + Settings_.LookupTtl_;
  Time Limit = std::max(Lapsed, Started + Settings_.DrainLimit_);
  auto IsIdle = [this] {
    return !Http_->hasOpenRequests() && OpenForwards_ == 0;
  };
  while (EventLoop::now() < Lapsed || (!IsIdle() && EventLoop::now() < Limit))
    std::this_thread::sleep_for(DrainPoll);
  Http_->stopAccepting();
  bool IsClean = IsIdle();
  LOG(INFO) << "drain vm=" << Settings_.Vm_ << " step=done clean=" << IsClean
            << " ms=" << toMilliseconds(EventLoop::now() - Started);
  return IsClean;
}

} // namespace cranberry
