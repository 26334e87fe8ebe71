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

constexpr Duration DrainPollInterval = milliseconds(20);
constexpr Duration PeerShutdownTimeout = seconds(1);
/// Time before the end of a drain that is left for sending the last responses.
constexpr Duration DrainResponseTime = milliseconds(300);
/// Time until all peers know that this VM is leaving.
constexpr Duration LeavePropagationDelay = seconds(2);

} // namespace

Daemon::Daemon(Settings Config, uint64_t Incarnation)
    : Settings_(std::move(Config)), Incarnation_(Incarnation),
      Peers_(PeerClient::create()) {}

Daemon::~Daemon() {
  HttpServer_.reset();
  if (PeerServer_)
    PeerServer_->shutdown(PeerShutdownTimeout);
  if (ControlThread_)
    ControlThread_->stop();
  for (std::unique_ptr<TrafficThread> &Thread : TrafficThreads_)
    Thread->stop();
}

bool Daemon::start(Reason &Why) {
  HttpServerLimits Limits;
  Limits.Threads_ = Settings_.HttpThreads_;
  Limits.MaxConnections_ = Settings_.MaxConnections_;
  Limits.MaxBodyBytes_ = static_cast<size_t>(Settings_.MaxBodyKb_) << 10;
  HttpServer_ = HttpServer::open(
      Settings_.Http_, Limits,
      [this](HttpRequest Request, HttpRespond Respond) {
        handleHttp(std::move(Request), std::move(Respond));
      },
      Why);
  if (!HttpServer_)
    return false;
  PeerServer_ = PeerServer::open(Settings_.Peer_, makePeerHandlers(), Why);
  if (!PeerServer_)
    return false;
  Member Self;
  Self.Vm_ = Settings_.Vm_;
  Self.Region_ = Settings_.Region_;
  Self.Zone_ = Settings_.Zone_;
  Self.HttpAddress_ = Settings_.HttpAdvertise_.empty()
                          ? HttpServer_->getAddress()
                          : Settings_.HttpAdvertise_;
  Self.PeerAddress_ = Settings_.PeerAdvertise_.empty()
                          ? PeerServer_->getAddress()
                          : Settings_.PeerAdvertise_;
  Self.Incarnation_ = Incarnation_;
  for (unsigned I = 0; I < Settings_.TrafficThreads_; ++I)
    TrafficThreads_.push_back(
        std::make_unique<TrafficThread>(Settings_, *Peers_, Metrics_));
  ControlThread_ = std::make_unique<ControlThread>(
      Settings_, Self, *Peers_, Metrics_,
      [this](const SnapshotPtr &Next) { publishSnapshot(Next); });
  CallerApi_ = std::make_unique<CallerApi>(
      Settings_, Snapshots_, Metrics_, [this](CallSpec Call, CallCallback End) {
        TrafficThread &Thread = getTrafficThread(Call.Service_);
        Thread.submit(std::move(Call), std::move(End));
      });
  OperatorApi_ = std::make_unique<OperatorApi>(
      Settings_, Snapshots_, *ControlThread_, TrafficThreads_, Metrics_);
  for (std::unique_ptr<TrafficThread> &Thread : TrafficThreads_)
    Thread->start();
  ControlThread_->start();
  IsStarted_ = true;
  return true;
}

TrafficThread &Daemon::getTrafficThread(const std::string &Service) {
  return *TrafficThreads_[absl::HashOf(Service) % TrafficThreads_.size()];
}

void Daemon::publishSnapshot(const SnapshotPtr &Next) {
  Snapshots_.set(Next);
  std::vector<std::vector<std::string>> Names(TrafficThreads_.size());
  for (const ServiceConfig &Service : Next->Config_->Services_)
    Names[absl::HashOf(Service.Name_) % TrafficThreads_.size()].push_back(
        Service.Name_);
  for (size_t I = 0; I < TrafficThreads_.size(); ++I)
    TrafficThreads_[I]->setSnapshot(Next, std::move(Names[I]));
}

void Daemon::handleHttp(HttpRequest Request, HttpRespond Respond) {
  if (!IsStarted_)
    return Respond(makeErrorResponse({ResultCode::NotReady, "", ""}));
  if (Request.Path_ == "/v1/lookup")
    return CallerApi_->handleLookup(Request, Respond);
  if (Request.RawPath_.starts_with("/v1/call/"))
    return CallerApi_->handleCall(std::move(Request), std::move(Respond));
  OperatorApi_->handleRequest(Request, Respond);
}

PeerHandlers Daemon::makePeerHandlers() {
  PeerHandlers Handlers;
  Handlers.Exchange_ = [this](const wire::Heartbeat &Body,
                              PeerRespond<wire::Heartbeat> Respond) {
    if (IsStarted_)
      ControlThread_->handleHeartbeat(Body, std::move(Respond));
    else
      Respond({});
  };
  Handlers.GetChanges_ = [this](const wire::ChangesRequest &Body,
                                PeerRespond<wire::ChangesReply> Respond) {
    if (IsStarted_)
      ControlThread_->handleChangesRequest(Body, std::move(Respond));
    else
      Respond({});
  };
  Handlers.AskSlots_ = [this](const wire::SlotRequest &Body,
                              PeerRespond<wire::SlotReply> Respond) {
    if (IsStarted_)
      getTrafficThread(Body.service())
          .handleSlotRequest(Body, std::move(Respond));
    else
      Respond({});
  };
  Handlers.ReleaseSlots_ = [this](const wire::SlotRelease &Body,
                                  const PeerRespond<wire::Empty> &Respond) {
    if (IsStarted_)
      getTrafficThread(Body.service()).handleSlotRelease(Body);
    Respond({});
  };
  Handlers.Forward_ = [this](wire::ForwardRequest Body,
                             PeerRespond<wire::ForwardReply> Respond) {
    handleForward(std::move(Body), std::move(Respond));
  };
  return Handlers;
}

void Daemon::handleForward(wire::ForwardRequest Body,
                           PeerRespond<wire::ForwardReply> Respond) {
  std::string Id = Body.request_id();
  if (!IsStarted_)
    return Respond(encodeForwardReply({ResultCode::NotReady, nullptr, ""}, Id));
  bool IsStale = !Body.to_home() && Body.incarnation() != Incarnation_;
  if (IsStale)
    return Respond(
        encodeForwardReply({ResultCode::GrantStale, nullptr, ""}, Id));
  CallSpec Call;
  Call.RequestId_ = Id;
  Call.Service_ = Body.service();
  Call.Method_ = Body.method();
  Call.Path_ = Body.path();
  Call.Key_ = Body.key();
  Call.Headers_ = decodeHeaders(Body.headers());
  Call.Body_ = std::move(*Body.mutable_body());
  Call.Arrived_ = EventLoop::now();
  Call.Timeout_ = milliseconds(Body.deadline_ms());
  Call.Origin_ = Body.to_home() ? CallOrigin::PeerHome : CallOrigin::PeerSlot;
  Call.Grant_ = Body.grant();
  Call.SenderRegion_ = Body.sender_region();
  ++OpenForwards_;
  TrafficThread &Thread = getTrafficThread(Call.Service_);
  Thread.submit(std::move(Call), [this, Id, Respond = std::move(Respond)](
                                     const CallResult &Reply) {
    Respond(encodeForwardReply(Reply, Id));
    --OpenForwards_;
  });
}

bool Daemon::drain() {
  LOG(INFO) << "drain vm=" << Settings_.Vm_ << " step=leaving";
  ControlThread_->announceLeaving();
  Time Started = EventLoop::now();
  // Callers use cached look-up responses until they expire, and peers list this
  // VM until they learn that it is leaving.
  Time Lapsed = Started + LeavePropagationDelay + Settings_.LookupTtl_;
  Time Limit = std::max(Lapsed, Started + Settings_.DrainLimit_);
  for (std::unique_ptr<TrafficThread> &Thread : TrafficThreads_)
    Thread->startDrain(Limit - DrainResponseTime);
  auto IsIdle = [this] {
    return !HttpServer_->hasOpenRequests() && OpenForwards_ == 0;
  };
  while (EventLoop::now() < Lapsed || (!IsIdle() && EventLoop::now() < Limit))
    std::this_thread::sleep_for(DrainPollInterval);
  HttpServer_->stopAccepting();
  bool IsClean = IsIdle();
  LOG(INFO) << "drain vm=" << Settings_.Vm_ << " step=done clean=" << IsClean
            << " ms=" << toMilliseconds(EventLoop::now() - Started);
  return IsClean;
}

} // namespace cranberry
