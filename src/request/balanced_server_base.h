/// \file balanced_server_base.h What this entry VM knows of a backend server.
#ifndef CRANBERRY_REQUEST_BALANCED_SERVER_BASE_H
#define CRANBERRY_REQUEST_BALANCED_SERVER_BASE_H

#include "request/balancer_type.h"
#include "request/rate_gate_base.h"
#include "request/warm_set_base.h"
#include "request/work_history_base.h"

#include <vector>

namespace cranberry {

/// What an attempt told of the length of work.
struct ServiceTimeSample {
  Duration Ran_{0};  ///< Time at the server, interference left out.
  uint64_t Key_ = 0; ///< Hash of its object; 0 for none.
  unsigned PreferenceRank_ =
      0; ///< Server's rank among the object's in its zone.
  CacheState CacheStateAtStart_ =
      CacheState::Unknown; ///< Of the object when it was sent.
};

/// Load, speed and health of one server, from this VM's own attempts and the
/// reports that come with their answers.
class ServerState {
public:
  explicit ServerState(BackendServerConfig Config)
      : Config_(std::move(Config)) {}

  /// Takes over what the registry tells now.
  void setConfig(BackendServerConfig Config);

  const BackendServerConfig &getConfig() const { return Config_; }

  /// An attempt was sent.
  /// \param HomeRank Server's rank among the object's in its zone.
  /// \param Expected Predicted time until its answer.
  void recordStart(FlowIndex Flow, uint64_t Key, unsigned HomeRank,
                   Duration Expected, Time Now);

  /// An attempt ended.
  /// \param Work Typical times of such a request.
  /// \return What it tells of the time at a server, if anything.
  std::optional<ServiceTimeSample> recordEnd(const EndedAttempt &Ended,
                                             const ServiceTimeEstimate &Work,
                                             Time Now);

  /// \return Whether requests may go there now, if there is a free slot.
  bool isAvailable(Time Now);

  /// \return Expected wait for a slot, behind \p Planned requests that wait on
  /// this VM for the same server.
  Duration getExpectedWait(unsigned Planned, Time Now) const;

  /// \return Estimated requests there, those of other VMs included.
  double getEstimatedLoad(Time Now) const;

  /// \return Estimated requests there of other VMs.
  double getOtherVmLoad(Time Now) const;

  Duration getLoadReportAge(Time Now) const { return Now - LoadReportedAt_; }

  /// \return Expected length of work, relative to the usual.
  double getSlowness(Time Now) const;

  CacheState getCacheState(uint64_t Key) const { return ObjectCache_.get(Key); }

  /// \return Whether another object would push a warm one out.
  bool isObjectCacheFull() const { return ObjectCache_.isFull(); }
  bool isCold(Time Now) const { return Now < Config_.ColdUntil_; }
  unsigned getInFlight() const {
    return static_cast<unsigned>(Attempts_.size());
  }

  /// \return Whether attempts there have waited so long, with no answer to any,
  /// that the server must be taken for dead.
  bool isSilent(Time Now) const;

  /// \return Attempts that became suspect since the last call.
  std::vector<FlowIndex> takeSuspects(Time Now);

  /// Extends the cold phase.
  void extendColdPhase(Time Until);

private:
  struct Attempt {
    FlowIndex Flow_;               ///< Client's request.
    Time Started_;                 ///< When it was sent.
    Duration Expected_;            ///< Predicted time until the answer.
    uint64_t Key_;                 ///< Hash of its object.
    unsigned PreferenceRank_;      ///< See WorkSample.
    CacheState CacheStateAtStart_; ///< Of its object when it was sent.
    bool IsReported_ = false;      ///< By takeSuspects().
  };

  void recordLoad(const LoadReport &Load, Time Now);
  ServiceTimeSample recordServed(const Attempt &Done, Duration Ran,
                                 const ServiceTimeEstimate &Work);
  void startBackoff(Time Now);

  BackendServerConfig Config_;    ///< Newest record.
  std::vector<Attempt> Attempts_; ///< Under way.
  ObjectCacheModel ObjectCache_;  ///< Objects sent there.
  Duration MeanServiceTime_ =
      milliseconds(150);              ///< Smoothed time at the server.
  StartRateLimiter ColdStartLimiter_; ///< Starts while it is cold.
  double OtherVmLoad_ = 0;            ///< Requests of others at ForeignAt_.
  Time LoadReportedAt_;               ///< Last load report.
  double Interference_ = 1;           ///< Of the last load report.
  double Slowness_ = 1;               ///< Smoothed ratio of actual to expected.
  double FailureShare_ = 0;  ///< Smoothed share of attempts that failed.
  Time LastResponse_;        ///< Last response of any kind.
  Time BackoffUntil_;        ///< No attempts before.
  Duration BackoffDelay_{0}; ///< Length of the last rest.
  bool IsProbing_ = false;   ///< One attempt at a time until it answers.
};

} // namespace cranberry

#endif
