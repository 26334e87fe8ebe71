/// \file settings_type.h Settings of the daemon.
#ifndef CRANBERRY_DAEMON_SETTINGS_TYPE_H
#define CRANBERRY_DAEMON_SETTINGS_TYPE_H

#include "core/time_type.h"

#include <map>
#include <string>
#include <vector>

namespace cranberry {

/// Values of the settings file.
struct Settings {
  std::string Vm_;            ///< Name of this entry VM.
  std::string Region_;        ///< Region of this entry VM.
  std::string Zone_;          ///< Availability zone of this entry VM.
  std::string Http_;          ///< Listening address for callers and operators.
  std::string Peer_;          ///< Listening address for other entry VMs.
  std::string HttpAdvertise_; ///< Address announced for Http_, if different.
  std::string PeerAdvertise_; ///< Address announced for Peer_, if different.
  std::string Platform_;      ///< "address:port" of the platform.
  std::vector<std::string> Peers_;  ///< Peer addresses contacted at the start.
  unsigned HttpThreads_ = 2;        ///< Number of threads for HTTP.
  unsigned TrafficThreads_ = 2;     ///< Number of threads that route requests.
  unsigned MaxConnections_ = 4096;  ///< Limit of open connections of callers.
  unsigned MaxBodyKb_ = 1024;       ///< Largest request body, in KiB.
  Duration LookupTtl_ = seconds(5); ///< Lifetime of a look-up response.
  Duration HeartbeatPeriod_ = milliseconds(500); ///< Interval of heartbeats.
  Duration HealthPeriod_ = milliseconds(500);    ///< Interval of health probes.
  Duration KeyEpochLength_ =
      std::chrono::minutes(10);       ///< Interval between key epochs.
  Duration DrainLimit_ = seconds(60); ///< Timeout of a graceful shutdown.
  unsigned MaxKeys_ = 200000;         ///< Limit of stored idempotency keys.
  unsigned MaxAnswerMb_ = 32;         ///< Limit of stored responses, in MiB.
  std::string Readiness_; ///< Listening address for readiness checks.
  std::string Directory_; ///< Listening address for look-ups. If set, the
                          ///< process serves the store's routes, see
                          ///< SteeringVm.
  std::string Metrics_;   ///< Listening address for metrics; empty for none.
  std::map<std::string, std::string> Zones_; ///< Region by availability zone.
  Duration StopGrace_ = seconds(6); ///< Time from SIGTERM until the process is
                                    ///< killed.
  double RepeatRatio_ = 0.1;        ///< Retries allowed per request.
  double RepeatSlack_ = 0; ///< Additional retries per window, of all VMs.
  Duration RepeatWindow_ = seconds(10);       ///< Window of the retry budget.
  Duration ServerDrain_ = milliseconds(2000); ///< Time within which a leaving
                                              ///< server gets no more
                                              ///< requests.
  Duration ConfigPropagation_ =
      milliseconds(2500);     ///< Time within which a configuration is in force
                              ///< on all entry VMs.
  double MaxRegionShift_ = 1; ///< Largest share of a region's requests that may
                              ///< move to another region within 2 s.
  double ColdBurstFactor_ = 1; ///< Factor on a cold server's request rate.
  Duration QuotaWindow_{0};    ///< Window in which requests of a workspace are
                               ///< counted; 0 if quotas aren't enforced.
  double QuotaSlack_ = 0;      ///< Requests that a window may have beyond a
                               ///< quota.
  double ProcessorShare_ = 1;  ///< Cores that this VM may use.
  double LinkMbps_ = 0; ///< Speed of this VM's link in Mbit/s; 0 if unknown.
  bool IsFirstStart_ = true; ///< Whether the whole system starts for the first
                             ///< time, and not this process again.
  unsigned LogLinesPerSecond_ = 40; ///< Rate limit per kind of log line.
};

} // namespace cranberry

#endif
