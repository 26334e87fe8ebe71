/// \file control_thread_base.h Owns membership, configuration and drain.
#ifndef CRANBERRY_DAEMON_CONTROL_THREAD_BASE_H
#define CRANBERRY_DAEMON_CONTROL_THREAD_BASE_H

#include "daemon/platform_client_base.h"
#include "daemon/settings_type.h"
#include "daemon/snapshot_type.h"
#include "net/event_loop_base.h"
#include "net/peer_link_base.h"
#include "observe/metrics_base.h"
#include "process/membership_base.h"
#include "version/configuration_builder_base.h"
#include "version/object_store_base.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace cranberry {

/// The thread that owns all control state and publishes snapshots of it.
class ControlThread {
public:
  using PublishCallback = std::function<void(SnapshotPtr)>;

  ControlThread(const Settings &Config, const Member &Self, PeerClient &Peers,
                Metrics &Counters, PublishCallback OnChange);
  ~ControlThread();

  void start();
  void stop();

  /// \name Calls of peers and operators; safe from any thread.
  /// @{
  void handleHeartbeat(const wire::Heartbeat &Body,
                       PeerRespond<wire::Heartbeat> Respond);
  void handleChangesRequest(const wire::ChangesRequest &Body,
                            PeerRespond<wire::ChangesReply> Respond);

  /// Validates and writes an object.
  /// \param Body JSON text; empty to delete the object.
  /// \param Before Version that must be there; nothing to create; unset
  /// outer optional to take whatever is there now.
  void writeObject(ObjectId Id, std::string Body,
                   std::optional<ExpectedRevision> Before,
                   PlatformClient::WriteCallback Done);

  /// Validates without writing.
  void validateObject(ObjectId Id, std::string Body,
                      std::function<void(Reason)> Done);

  /// Reads the objects known here.
  void readObjects(std::function<void(const ObjectStore &)> Read);

  /// Calls \p Read when the revision is past \p Since or at \p Until.
  void watchObjects(Revision Since, Time Until,
                    std::function<void(const ObjectStore &)> Read);

  /// Announces that this VM is leaving.
  void announceLeaving();
  /// @}

  Time getLastIterationTime() const { return Loop_.getLastTick(); }

private:
  struct Watcher {
    Revision Since_; ///< Revision that the watcher knows.
    Time Deadline_;  ///< When it is answered at the latest.
    std::function<void(const ObjectStore &)> Callback_; ///< Answers it.
  };

  void sendHeartbeats();
  void sendHeartbeat(const std::string &Address);
  void onPeerRevision(const Member &Peer);
  void pullChanges(const std::string &Address);
  void watchPlatform();
  void pollVms();
  void advanceKeyEpoch();
  void writeStatus();
  bool isZoneLeader(const char *Duty) const;
  void updateReadiness();
  void applyChanges(const ObjectChanges &Changes);
  void publish();
  void notifyWatchers();
  bool validateWrite(const ObjectId &Id, const std::string &Body, Reason &Why);
  void commitWrite(const ObjectId &Id, const std::string &Body,
                   std::optional<ExpectedRevision> Before,
                   const PlatformClient::WriteCallback &Done);

  const Settings &Settings_;     ///< Settings.
  PeerClient &Peers_;            ///< Connections to peers.
  Metrics &Metrics_;             ///< Counters.
  PublishCallback Publish_;      ///< Takes each new snapshot.
  EventLoop Loop_;               ///< This thread's loop.
  PlatformClient Platform_;      ///< Platform.
  Membership Membership_;        ///< Entry VMs.
  ObjectStore Store_;            ///< Objects.
  ConfigurationBuilder Builder_; ///< Builds Config_.
  ConfigurationPtr Config_ = std::make_shared<Configuration>(); ///< In force.
  std::set<std::string> LeavingServers_; ///< By the platform's list.
  std::vector<Watcher> Watchers_;        ///< Open watches of operators.
  Revision StatusRevision_ = 0;          ///< Of the status object last written.
  bool HasConfig_ = false;               ///< Whether a configuration came.
  bool IsReady_ = false;                 ///< Whether it may be served by.
  Time JoinDeadline_;               ///< When peers are waited for no longer.
  Revision NewestPeerRevision_ = 0; ///< Newest that any peer has told of.
  bool IsPulling_ = false;          ///< Whether a pull is out.
  std::thread Thread_;              ///< The thread.
};

} // namespace cranberry

#endif
