/// \file traffic_thread.cpp Thread that routes the requests of its services.
#include "daemon/traffic_thread_base.h"

#include <algorithm>

namespace cranberry {

TrafficThread::TrafficThread(const Settings &Config, PeerClient &Peers,
                             Metrics &Counters)
    : Settings_(Config), Context_{&Settings_,
                                  &Loop_,
                                  &Peers,
                                  &Counters,
                                  std::make_shared<Snapshot>(),
                                  {}} {}

TrafficThread::~TrafficThread() { stop(); }

void TrafficThread::start() {
  Loop_.addTimer(EventLoop::now(), [this] { probeServers(); });
  Thread_ = std::thread([this] { Loop_.run(); });
}

void TrafficThread::stop() {
  Loop_.stop();
  if (Thread_.joinable())
    Thread_.join();
}

void TrafficThread::startDrain(Time End) {
  Loop_.post([this, End] { Context_.DrainEnd_ = End; });
}

void TrafficThread::submit(CallSpec Call, CallCallback End) {
  Loop_.post([this, Call = std::move(Call), End = std::move(End)]() mutable {
    auto Found = Services_.find(Call.Service_);
    if (Found == Services_.end()) {
      End({ResultCode::ServiceUnknown, nullptr, ""});
      return;
    }
    Found->second->submit(std::move(Call), std::move(End));
  });
}

void TrafficThread::handleSlotRequest(wire::SlotRequest Ask,
                                      PeerRespond<wire::SlotReply> Respond) {
  Loop_.post([this, Ask = std::move(Ask), Respond = std::move(Respond)] {
    auto Found = Services_.find(Ask.service());
    if (Found == Services_.end())
      Respond({});
    else
      Found->second->handleSlotRequest(Ask, Respond);
  });
}

void TrafficThread::handleSlotRelease(const wire::SlotRelease &Release) {
  Loop_.post([this, Release] {
    if (auto Found = Services_.find(Release.service());
        Found != Services_.end())
      Found->second->releaseGrant(Release.grant());
  });
}

void TrafficThread::setSnapshot(SnapshotPtr Next,
                                std::vector<std::string> Services) {
  Loop_.post([this, Next = std::move(Next), Services = std::move(Services)] {
    Context_.Snapshot_ = Next;
    const Configuration &Config = *Next->Config_;
    unsigned SharingThreads =
        std::max(1U, Config.getEntryVmCount(Settings_.Region_)) *
        Settings_.TrafficThreads_;
    for (const LinkConfig &Link : Config.Links_)
      if (Link.From_ == Settings_.Region_)
        Context_.Links_[Link.To_].setRate(Link.BytesPerSecond_ / SharingThreads,
                                          EventLoop::now());
    for (const std::string &Name : Services)
      if (!Services_.contains(Name))
        Services_[Name] = std::make_unique<ServiceTraffic>(Name, Context_);
    for (auto &[Name, Service] : Services_)
      Service->applySnapshot();
  });
}

void TrafficThread::collectStats(
    std::function<void(std::map<std::string, ServiceStats>)> Report) {
  Loop_.post([this, Report = std::move(Report)] {
    std::map<std::string, ServiceStats> Stats;
    for (auto &[Name, Service] : Services_)
      Stats[Name] = Service->getStats();
    Report(std::move(Stats));
  });
}

void TrafficThread::probeServers() {
  for (auto &[Name, Service] : Services_)
    Service->probeServers();
  Loop_.addTimer(EventLoop::now() + Settings_.HealthPeriod_,
                 [this] { probeServers(); });
}

} // namespace cranberry
