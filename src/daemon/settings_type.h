/// \file settings_type.h Settings of the daemon.
#ifndef CRANBERRY_DAEMON_SETTINGS_TYPE_H
#define CRANBERRY_DAEMON_SETTINGS_TYPE_H

#include "core/time_type.h"

#include <map>
#include <string>
#include <vector>

namespace cranberry {

/// What a process learns from its settings file.
struct Settings {
  std::string Vm_;                 ///< Name of this entry VM.
  std::string Region_;             ///< Region.
  std::string Zone_;               ///< Availability zone.
  std::string Http_;               ///< Listens here for callers, operators.
  std::string Peer_;               ///< Listens here for other entry VMs.
  std::string HttpAdvertise_;      ///< Where callers reach Http_, if elsewhere.
  std::string PeerAdvertise_;      ///< Where peers reach Peer_, if elsewhere.
  std::string Platform_;           ///< "address:port" of the platform.
  std::vector<std::string> Peers_; ///< Peer addresses to start from.
  unsigned HttpThreads_ = 2;       ///< Threads that read and write HTTP.
  unsigned TrafficThreads_ = 2;    ///< Threads that route requests.
  unsigned MaxConnections_ = 4096; ///< Most open connections of callers.
  unsigned MaxBodyKb_ = 1024;      ///< Largest request body, in KiB.
  Duration LookupTtl_ = seconds(5);              ///< Life of a look-up answer.
  Duration HeartbeatPeriod_ = milliseconds(500); ///< Between heartbeats.
  Duration HealthPeriod_ = milliseconds(500);    ///< Between health probes.
  Duration KeyEpochLength_ = std::chrono::minutes(10); ///< Of a key epoch.
  Duration DrainLimit_ = seconds(60); ///< Longest planned stop.
  unsigned MaxKeys_ = 200000;         ///< Most idempotency keys remembered.
  unsigned MaxAnswerMb_ = 32;         ///< Most MiB of answers remembered.
  std::string Readiness_;             ///< Listens here for readiness checks.
  std::string Directory_; ///< Listens here for look-ups. Chooses steering of
                          ///< the store's routes, see SteeringVm.
  std::string Metrics_;   ///< Serves metrics here; empty for nowhere.
  std::map<std::string, std::string> Zones_; ///< Region of each zone.
  Duration StopGrace_ = seconds(6); ///< From SIGTERM until the process is
                                    ///< killed.
  double RepeatRatio_ = 0.1;        ///< Repeats for each request.
  double RepeatSlack_ = 0;          ///< Repeats beside the ratio, of all VMs.
  Duration RepeatWindow_ = seconds(10);       ///< Window of both.
  Duration ServerDrain_ = milliseconds(2000); ///< In which a leaving server
                                              ///< must get no more work.
  double MaxRegionShift_ = 1;  ///< Most of a region's requests that may change
                               ///< the region where they run within 2 s.
  double ColdBurstFactor_ = 1; ///< Times the rate that a cold server bears.
  unsigned LogLinesPerSecond_ = 40; ///< Most log lines of one kind.
};

} // namespace cranberry

#endif
