/// \file server_state_base.h Load, speed and health of one backend server.
#ifndef CRANBERRY_REQUEST_SERVER_STATE_BASE_H
#define CRANBERRY_REQUEST_SERVER_STATE_BASE_H

#include "request/balancer_type.h"
#include "request/object_cache_model_base.h"
#include "request/service_time_history_base.h"
#include "request/shared_rate_limiter_base.h"
#include "request/start_rate_limiter_base.h"

#include <vector>

namespace cranberry {

/// Service time measured by one attempt.
struct ServiceTimeSample {
  Duration Ran_{0};  ///< Service time, corrected for interference.
  uint64_t Key_ = 0; ///< Hash of the requested object; 0 for none.
  /// Rank of the server among the object's preferred servers in its
  /// region.
  unsigned PreferenceRank_ = 0;
  /// Cache state of the object when the request was sent.
  CacheState CacheStateAtStart_ = CacheState::Unknown;
};

/// Tracks load, speed and health of one server, from this VM's own attempts and
/// the load reports in their responses.
class ServerState {
public:
  explicit ServerState(BackendServerConfig Config)
      : Config_(std::move(Config)) {}

  /// Applies the current configuration from the server registry.
  void setConfig(BackendServerConfig Config);

  const BackendServerConfig &getConfig() const { return Config_; }

  /// Records that an attempt was sent.
  /// \param HomeRank Rank among the object's preferred servers in the
  /// region.
  /// \param Expected Predicted time until the response.
  void recordStart(FlowIndex Flow, uint64_t Key, unsigned HomeRank,
                   Duration Expected, Time Now);

  /// Records that an attempt ended.
  /// \param Work Service time estimate for the route.
  /// \return Measured service time, if the server served the request.
  std::optional<ServiceTimeSample> recordEnd(const EndedAttempt &Ended,
                                             const ServiceTimeEstimate &Work,
                                             Time Now);

  /// \return Whether the server accepts attempts now, apart from its slots.
  bool isAvailable(Time Now);

  /// \return Whether the server wants no requests from this VM now, as it has
  /// answered one with a time to wait.
  bool wantsNoRequests(Time Now) const { return Now < UnwantedUntil_; }

  /// \return End of the backoff and of the time that the server named, or a
  /// time in the past.
  Time getBackoffEnd() const { return std::max(BackoffUntil_, UnwantedUntil_); }

  /// \return Expected wait for a slot and for the rate limit, behind \p Planned
  /// requests that are queued on this VM for the same server. Requires
  /// isAvailable().
  Duration getExpectedWait(unsigned Planned, Time Now) const;

  /// \return Estimated requests at the server, including those of other VMs.
  double getEstimatedLoad(Time Now) const;

  /// \return Estimated requests at the server from other VMs.
  double getOtherVmLoad(Time Now) const;

  Duration getLoadReportAge(Time Now) const { return Now - LoadReportedAt_; }

  /// \return Factor on the cost of the server for the attempts that it refuses.
  /// A refusal costs a round trip and a retry, but doesn't delay a request that
  /// is served, so that it is no part of getSlowness().
  double getRefusalFactor() const;

  /// \return Expected service time, relative to the usual.
  double getSlowness(Time Now) const;

  CacheState getCacheState(uint64_t Key) const { return ObjectCache_.get(Key); }

  /// \return Whether another object would evict a warm one.
  bool isObjectCacheFull() const { return ObjectCache_.isFull(); }
  bool isCold(Time Now) const { return Now < Config_.ColdUntil_; }
  unsigned getInFlight() const {
    return static_cast<unsigned>(Attempts_.size());
  }

  /// \return Whether attempts have been overdue for so long, without any
  /// response from the server, that it is considered dead.
  bool isSilent(Time Now) const;

  /// \return Attempts that became suspect since the last call.
  std::vector<FlowIndex> takeSuspects(Time Now);

  /// \return Time until the server's rate limit allows a start behind
  /// \p Planned others. Requires isAvailable().
  Duration getRateWait(unsigned Planned, Time Now) const {
    return RateLimiter_.getWait(Planned, Now).value_or(Duration(0));
  }

  /// \return Limiter of this VM's share of the server's request rate.
  SharedRateLimiter &getRateLimiter() { return RateLimiter_; }

  /// Extends the cold phase until \p Until, and never shortens it.
  void extendColdPhase(Time Until);

private:
  struct Attempt {
    FlowIndex Flow_;               ///< Client request.
    Time Started_;                 ///< Time of the send.
    Duration Expected_;            ///< Predicted time until the response.
    uint64_t Key_;                 ///< Hash of the requested object.
    unsigned PreferenceRank_;      ///< Rank of this server for the object.
    CacheState CacheStateAtStart_; ///< Cache state of the object at the send.
    bool IsReported_ = false;      ///< Whether takeSuspects() has returned it.
  };

  /// \param Gain Weight of the report; 1 replaces the estimate.
  void recordLoad(const LoadReport &Load, double Gain, Time Now);
  ServiceTimeSample recordServed(const Attempt &Done, Duration Ran,
                                 const ServiceTimeEstimate &Work);
  void startBackoff(Time Now);

  BackendServerConfig Config_;    ///< Newest configuration.
  std::vector<Attempt> Attempts_; ///< Attempts in flight.
  ObjectCacheModel ObjectCache_;  ///< Model of the server's object cache.
  Duration MeanServiceTime_ = milliseconds(150); ///< Smoothed service time.
  StartRateLimiter ColdStartLimiter_; ///< Limits starts while it is cold.
  SharedRateLimiter RateLimiter_; ///< Limits starts at the server's request.
  double OtherVmLoad_ = 0;   ///< Requests of other VMs at the last load report.
  Time LoadReportedAt_;      ///< Time of the last load report.
  double Interference_ = 1;  ///< Interference in the last load report.
  double Slowness_ = 1;      ///< Smoothed ratio of actual to expected time.
  double FailureShare_ = 0;  ///< Smoothed share of attempts that failed.
  double RefusalShare_ = 0;  ///< Smoothed share of attempts that were refused.
  Time LastResponse_;        ///< Time of the last response of any kind.
  Time BackoffUntil_;        ///< End of the backoff.
  Time UnwantedUntil_;       ///< See wantsNoRequests().
  Duration BackoffDelay_{0}; ///< Length of the last backoff.
  bool IsProbing_ = false; ///< Allows one attempt at a time until it responds.
};

} // namespace cranberry

#endif
