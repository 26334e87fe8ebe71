/// \file control_thread_base.h Thread that owns membership and configuration.
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

/// Thread that owns all control state and publishes snapshots of it.
class ControlThread {
public:
  using PublishCallback = std::function<void(SnapshotPtr)>;

  ControlThread(const Settings &Config, const Member &Self, PeerClient &Peers,
                Metrics &Counters, PublishCallback OnChange);
  ~ControlThread();

  void start();
  void stop();

  /// \name Requests of peers and operators; safe from any thread.
  /// @{
  void handleHeartbeat(const wire::Heartbeat &Body,
                       PeerRespond<wire::Heartbeat> Respond);
  void handleChangesRequest(const wire::ChangesRequest &Body,
                            PeerRespond<wire::ChangesReply> Respond);

  /// Validates and writes an object.
  /// \param Body JSON text; empty to delete the object.
  /// \param Before Revision that the object must have; an empty inner optional
  /// if it must not exist; an empty outer optional for the current revision.
  void writeObject(ObjectId Id, std::string Body,
                   std::optional<ExpectedRevision> Before,
                   PlatformClient::WriteCallback Done);

  /// Validates an object without writing it.
  void validateObject(ObjectId Id, std::string Body,
                      std::function<void(Reason)> Done);

  /// Calls \p Read with the objects known to this VM, on the control thread.
  void readObjects(std::function<void(const ObjectStore &)> Read);

  /// Calls \p Read once the revision exceeds \p Since, at \p Until at the
  /// latest.
  void watchObjects(Revision Since, Time Until,
                    std::function<void(const ObjectStore &)> Read);

  /// Announces to all members that this VM is leaving.
  void announceLeaving();
  /// @}

  /// \return Time of the loop's last iteration, for the liveness check.
  Time getLastIterationTime() const { return Loop_.getLastTick(); }

private:
  /// Pending watch request of an operator.
  struct Watcher {
    Revision Since_; ///< Revision known to the watcher.
    Time Deadline_;  ///< Time of the response at the latest.
    std::function<void(const ObjectStore &)> Callback_; ///< Sends the response.
  };

  void sendHeartbeats();
  void sendHeartbeat(const std::string &Address);
  void onPeerRevision(const Member &Peer);
  void pullChanges(const std::string &Address);
  void watchPlatform();
  void pollVms();
  void advanceKeyEpoch();
  void writeStatus();
  /// \return Whether this VM is the one in its zone that performs \p Task.
  bool isZoneLeader(const char *Task) const;
  void updateReadiness();
  void applyChanges(const ObjectChanges &Changes);
  void publish();
  void notifyWatchers();
  bool validateWrite(const ObjectId &Id, const std::string &Body, Reason &Why);
  void commitWrite(const ObjectId &Id, const std::string &Body,
                   std::optional<ExpectedRevision> Before,
                   const PlatformClient::WriteCallback &Done);

  const Settings &Settings_;     ///< Settings of the process.
  PeerClient &Peers_;            ///< Connections to other entry VMs.
  Metrics &Metrics_;             ///< Passed to the platform client.
  PublishCallback Publish_;      ///< Called with each new snapshot.
  EventLoop Loop_;               ///< This thread's loop.
  PlatformClient Platform_;      ///< Client of the platform.
  Membership Membership_;        ///< Known entry VMs.
  ObjectStore Store_;            ///< Objects by the latest known revision.
  ConfigurationBuilder Builder_; ///< Builds Config_ from Store_.
  ConfigurationPtr Config_ = std::make_shared<Configuration>(); ///< Active.
  std::set<std::string> LeavingServers_; ///< As listed by the platform.
  std::vector<Watcher> Watchers_;   ///< Pending watch requests of operators.
  Revision StatusRevision_ = 0;     ///< Revision of the last status write.
  bool HasConfig_ = false;          ///< Whether a configuration was received.
  bool IsReady_ = false;            ///< Whether this VM may serve requests.
  Time JoinDeadline_;               ///< End of the wait for a first peer.
  Revision NewestPeerRevision_ = 0; ///< Latest revision reported by any peer.
  bool IsPulling_ =
      false;           ///< Whether a changes request to a peer is in flight.
  std::thread Thread_; ///< Runs Loop_.
};

} // namespace cranberry

#endif
