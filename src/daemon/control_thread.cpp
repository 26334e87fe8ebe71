/// \file control_thread.cpp Thread that owns membership and configuration.
#include "daemon/control_thread_base.h"

#include "core/result_func.h"
#include "daemon/decision_log_func.h"
#include "daemon/wire_func.h"
#include "version/object_func.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

using nlohmann::json;

namespace cranberry {

namespace {

constexpr Duration HeartbeatTimeout = seconds(1);
constexpr Duration ChangesTimeout = seconds(5);
constexpr Duration WatchTimeout = seconds(5);
constexpr Duration RetryDelay = seconds(1);
constexpr Duration VmListPeriod = seconds(2);
/// A new process serves once it has the latest configuration known to a peer.
/// If no peer responds, it serves after this time.
constexpr Duration JoinTimeout = milliseconds(1500);
constexpr Duration StatusPeriod = seconds(5);

bool isConfigurationChange(const ObjectChanges &Changes) {
  return std::any_of(
      Changes.Objects_.begin(), Changes.Objects_.end(),
      [](const Object &O) { return O.Id_.Kind_ != ObjectKind::Status; });
}

} // namespace

ControlThread::ControlThread(const Settings &Config, const Member &Self,
                             PeerClient &Peers, Metrics &Counters,
                             PublishCallback OnChange)
    : Settings_(Config), Peers_(Peers), Metrics_(Counters),
      Publish_(std::move(OnChange)),
      Platform_(Loop_, Counters, Config.Platform_,
                Self.Vm_ + "-" + std::to_string(Self.Incarnation_)),
      Membership_(Self, Config.Peers_, Self.Incarnation_) {}

ControlThread::~ControlThread() { stop(); }

void ControlThread::start() {
  Time Now = EventLoop::now();
  Membership_.setKeyEpoch(1);
  JoinDeadline_ = Now + JoinTimeout;
  Loop_.addTimer(Now, [this] { sendHeartbeats(); });
  Loop_.addTimer(Now, [this] { watchPlatform(); });
  Loop_.addTimer(Now, [this] { pollVms(); });
  Loop_.addTimer(Now + StatusPeriod, [this] { writeStatus(); });
  Loop_.addTimer(Now + Settings_.KeyEpochLength_,
                 [this] { advanceKeyEpoch(); });
  Thread_ = std::thread([this] { Loop_.run(); });
}

void ControlThread::stop() {
  Loop_.stop();
  if (Thread_.joinable())
    Thread_.join();
}

void ControlThread::advanceKeyEpoch() {
  Membership_.setKeyEpoch(Membership_.getSelf().KeyEpoch_ + 1);
  publish();
  Loop_.addTimer(EventLoop::now() + Settings_.KeyEpochLength_,
                 [this] { advanceKeyEpoch(); });
}

void ControlThread::sendHeartbeats() {
  Time Now = EventLoop::now();
  for (const std::string &Address : Membership_.selectHeartbeatTargets(Now))
    sendHeartbeat(Address);
  if (Membership_.testAndClearChanged())
    publish();
  updateReadiness();
  notifyWatchers();
  Loop_.addTimer(Now + Settings_.HeartbeatPeriod_,
                 [this] { sendHeartbeats(); });
}

void ControlThread::sendHeartbeat(const std::string &Address) {
  wire::Heartbeat Body = encodeHeartbeat(Membership_.makeHeartbeat(Address));
  Peers_.exchange(Address, std::move(Body), HeartbeatTimeout,
                  [this, Address](std::optional<wire::Heartbeat> Reply) {
                    Loop_.post([this, Address, Reply = std::move(Reply)] {
                      Time Now = EventLoop::now();
                      if (!Reply) {
                        Membership_.recordHeartbeatFailure(Address, Now);
                      } else {
                        HeartbeatBody Answer = decodeHeartbeat(*Reply);
                        Membership_.handleHeartbeatResponse(Answer, Now);
                        onPeerRevision(Answer.Sender_);
                      }
                      if (Membership_.testAndClearChanged())
                        publish();
                    });
                  });
}

void ControlThread::handleHeartbeat(const wire::Heartbeat &Body,
                                    PeerRespond<wire::Heartbeat> Respond) {
  Loop_.post([this, Body, Respond = std::move(Respond)] {
    HeartbeatBody Received = decodeHeartbeat(Body);
    Respond(encodeHeartbeat(
        Membership_.handleHeartbeat(Received, EventLoop::now())));
    onPeerRevision(Received.Sender_);
    if (Membership_.testAndClearChanged())
      publish();
  });
}

void ControlThread::onPeerRevision(const Member &Peer) {
  NewestPeerRevision_ = std::max(NewestPeerRevision_, Peer.Revision_);
  updateReadiness();
  if (Peer.Revision_ > Store_.getRevision())
    pullChanges(Peer.PeerAddress_);
}

void ControlThread::pullChanges(const std::string &Address) {
  if (IsPulling_)
    return;
  IsPulling_ = true;
  wire::ChangesRequest Body;
  Body.set_since(Store_.getRevision());
  Peers_.getChanges(Address, std::move(Body), ChangesTimeout,
                    [this](std::optional<wire::ChangesReply> Reply) {
                      Loop_.post([this, Reply = std::move(Reply)] {
                        IsPulling_ = false;
                        if (Reply)
                          applyChanges(cranberry::decodeChanges(*Reply));
                      });
                    });
}

void ControlThread::handleChangesRequest(
    const wire::ChangesRequest &Body, PeerRespond<wire::ChangesReply> Respond) {
  Loop_.post([this, Since = Body.since(), Respond = std::move(Respond)] {
    Respond(encodeChanges(Store_.getChangesSince(Since)));
  });
}

bool ControlThread::isZoneLeader(const char *Task) const {
  std::vector<std::string> Names;
  for (const Member &M : Membership_.getMembers())
    if (M.Zone_ == Settings_.Zone_ && M.State_ == MemberState::Alive)
      Names.push_back(M.Vm_);
  std::optional<size_t> Chosen = pickOwner(Names, Settings_.Zone_ + Task);
  return Chosen && Names[*Chosen] == Settings_.Vm_;
}

void ControlThread::watchPlatform() {
  auto Reschedule = [this](Duration Delay) {
    Loop_.addTimer(EventLoop::now() + Delay, [this] { watchPlatform(); });
  };
  if (HasConfig_ && !isZoneLeader("/watch"))
    return Reschedule(RetryDelay);
  Duration Wait = HasConfig_ ? WatchTimeout : Duration::zero();
  Platform_.fetchChanges(
      Store_.getRevision(), Wait,
      [this, Reschedule](std::optional<ObjectChanges> Changes) {
        if (!Changes)
          return Reschedule(RetryDelay);
        applyChanges(*Changes);
        Reschedule(Duration::zero());
      });
}

void ControlThread::pollVms() {
  auto Reschedule = [this] {
    Loop_.addTimer(EventLoop::now() + VmListPeriod, [this] { pollVms(); });
  };
  bool IsAlone = Membership_.getMembers().size() == 1;
  if (!IsAlone && !isZoneLeader("/vms"))
    return Reschedule();
  Platform_.fetchVms(
      [this, Reschedule](std::optional<std::vector<ListedVm>> Vms) {
        Reschedule();
        if (!Vms)
          return;
        std::set<std::string> Leaving;
        for (const ListedVm &Listed : *Vms) {
          if (Listed.IsEntryVm_ && !Listed.IsLeaving_)
            Membership_.addSeed(Listed.Address_);
          if (!Listed.IsEntryVm_ && Listed.IsLeaving_)
            Leaving.insert(Listed.Address_);
        }
        if (Leaving == LeavingServers_)
          return;
        for (const std::string &Server : Leaving)
          logDecision("drain", Server, "-", "no new work",
                      "platform's list of VMs", Config_->Revision_);
        LeavingServers_ = std::move(Leaving);
        publish();
      });
}

void ControlThread::applyChanges(const ObjectChanges &Changes) {
  Revision Before = Store_.getRevision();
  bool HasChanged = Store_.applyChanges(Changes);
  bool IsFirst = !std::exchange(HasConfig_, true);
  if (!HasChanged && !IsFirst)
    return;
  if (isConfigurationChange(Changes) || IsFirst) {
    Config_ = Builder_.build(Store_);
    LOG(INFO) << "configuration version=" << Config_->Revision_
              << " before=" << Before << " objects=" << Changes.Objects_.size()
              << " ignored=" << Config_->IgnoredObjects_.size();
    for (const IgnoredObject &Ignored : Config_->IgnoredObjects_)
      LOG(WARNING) << "ignored " << getName(Ignored.Id_.Kind_) << "/"
                   << Ignored.Id_.Name_ << ": " << Ignored.Reason_;
  }
  Membership_.setRevision(Store_.getRevision());
  updateReadiness();
  publish();
  notifyWatchers();
}

void ControlThread::updateReadiness() {
  if (IsReady_ || !HasConfig_)
    return;
  bool HasPeer = Membership_.getMembers().size() > 1;
  bool IsNewest = Store_.getRevision() >= NewestPeerRevision_;
  IsReady_ = IsNewest && (HasPeer || EventLoop::now() >= JoinDeadline_);
  if (!IsReady_)
    return;
  LOG(INFO) << "ready version=" << Store_.getRevision()
            << " newest-seen=" << NewestPeerRevision_;
  publish();
}

void ControlThread::publish() {
  auto Next = std::make_shared<Snapshot>();
  Next->Config_ = Config_;
  Next->Members_ = Membership_.getMembers();
  Next->ViewVersion_ = Membership_.getViewVersion();
  Next->Self_ = Membership_.getSelf();
  Next->LeavingServers_ = LeavingServers_;
  Next->IsReady_ = IsReady_;
  Publish_(std::move(Next));
}

void ControlThread::notifyWatchers() {
  Time Now = EventLoop::now();
  std::vector<Watcher> Open;
  Open.swap(Watchers_);
  for (Watcher &Each : Open)
    if (Store_.getRevision() > Each.Since_ || Now >= Each.Deadline_)
      Each.Callback_(Store_);
    else
      Watchers_.push_back(std::move(Each));
}

void ControlThread::watchObjects(
    Revision Since, Time Until, std::function<void(const ObjectStore &)> Read) {
  Loop_.post([this, Since, Until, Read = std::move(Read)]() mutable {
    Watchers_.push_back({Since, Until, std::move(Read)});
    notifyWatchers();
  });
}

void ControlThread::readObjects(std::function<void(const ObjectStore &)> Read) {
  Loop_.post([this, Read = std::move(Read)] { Read(Store_); });
}

bool ControlThread::validateWrite(const ObjectId &Id, const std::string &Body,
                                  Reason &Why) {
  Why = {};
  auto Exists = [this](const ObjectId &Target) {
    return Store_.find(Target) != nullptr;
  };
  if (!Body.empty())
    return parseObject(Id, Body, Exists, Why).has_value();
  if (!Exists(Id)) {
    Why = {ResultCode::ObjectNotFound, "", ""};
    return false;
  }
  for (const auto &[Other, Known] : Store_.getObjects()) {
    if (Known.IsDeleted_ || Other.Kind_ == ObjectKind::Status)
      continue;
    std::vector<ObjectId> Targets =
        getReferences(Other.Kind_, json::parse(Known.Body_, nullptr, false));
    if (std::find(Targets.begin(), Targets.end(), Id) == Targets.end())
      continue;
    Why = {ResultCode::ObjectStillReferenced, "",
           std::string("by ") + getName(Other.Kind_) + "/" + Other.Name_};
    return false;
  }
  return true;
}

void ControlThread::validateObject(ObjectId Id, std::string Body,
                                   std::function<void(Reason)> Done) {
  Loop_.post([this, Id = std::move(Id), Body = std::move(Body),
              Done = std::move(Done)] {
    Reason Why;
    validateWrite(Id, Body, Why);
    Done(Why);
  });
}

void ControlThread::writeObject(ObjectId Id, std::string Body,
                                std::optional<ExpectedRevision> Before,
                                PlatformClient::WriteCallback Done) {
  Loop_.post([this, Id = std::move(Id), Body = std::move(Body), Before,
              Done = std::move(Done)] {
    // References are checked against the latest objects of the platform; the
    // local ones may be stale.
    Platform_.fetchChanges(
        Store_.getRevision(), Duration::zero(),
        [this, Id, Body, Before, Done](std::optional<ObjectChanges> Changes) {
          if (!Changes)
            return Done({{ResultCode::PlatformUnreachable, "", ""}, 0});
          applyChanges(*Changes);
          Reason Why;
          if (!validateWrite(Id, Body, Why))
            return Done({Why, 0});
          commitWrite(Id, Body, Before, Done);
        });
  });
}

void ControlThread::commitWrite(const ObjectId &Id, const std::string &Body,
                                std::optional<ExpectedRevision> Before,
                                const PlatformClient::WriteCallback &Done) {
  const Object *Known = Store_.find(Id);
  ExpectedRevision Current =
      Known ? ExpectedRevision(Known->Revision_) : std::nullopt;
  Platform_.writeObject(
      Id, Body, Before.value_or(Current),
      [this, Id, Done](const WriteResult &Result) {
        LOG(INFO) << "write object=" << getName(Id.Kind_) << "/" << Id.Name_
                  << " result=\"" << formatReason(Result.Why_)
                  << "\" version=" << Result.Revision_;
        Done(Result);
        Platform_.fetchChanges(Store_.getRevision(), Duration::zero(),
                               [this](std::optional<ObjectChanges> Changes) {
                                 if (Changes)
                                   applyChanges(*Changes);
                               });
      });
}

void ControlThread::writeStatus() {
  Loop_.addTimer(EventLoop::now() + StatusPeriod, [this] { writeStatus(); });
  if (!IsReady_ || !isZoneLeader("/status"))
    return;
  json Vms = json::object();
  for (const Member &M : Membership_.getMembers())
    if (M.Zone_ == Settings_.Zone_)
      Vms[M.Vm_] = {{"state", MemberStateNames[static_cast<size_t>(M.State_)]},
                    {"version", M.Revision_}};
  json Body{{"zone", Settings_.Zone_},
            {"version", Config_->Revision_},
            {"writer", Settings_.Vm_},
            {"ignored", Config_->IgnoredObjects_.size()},
            {"entryVms", Vms}};
  ExpectedRevision Before =
      StatusRevision_ ? ExpectedRevision(StatusRevision_) : std::nullopt;
  Platform_.writeObject({ObjectKind::Status, Settings_.Zone_}, Body.dump(),
                        Before, [this](const WriteResult &Result) {
                          // After a conflict, the next write expects the
                          // revision that won.
                          StatusRevision_ = Result.Revision_;
                        });
}

void ControlThread::announceLeaving() {
  Loop_.post([this] {
    Membership_.announceLeaving();
    publish();
    // All members are notified at once, not only the heartbeat targets. The
    // load is acceptable because a graceful shutdown is rare.
    for (const Member &M : Membership_.getMembers())
      if (M.Vm_ != Settings_.Vm_)
        sendHeartbeat(M.PeerAddress_);
  });
}

} // namespace cranberry
