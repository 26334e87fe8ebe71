/// \file server_model_base.h Simulated backend server in virtual time.
#ifndef CRANBERRY_TEST_SUPPORT_SERVER_MODEL_BASE_H
#define CRANBERRY_TEST_SUPPORT_SERVER_MODEL_BASE_H

#include "request/balancer_type.h"
#include "test/support/virtual_time_base.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <random>

namespace cranberry::test {

/// Parameters of a simulated server. The defaults describe the busiest service
/// of the benches: work of 310 ms on five slots.
struct ServerModelPlan {
  unsigned Slots_ = 5;                ///< Limit of concurrent requests.
  unsigned MaxQueue_ = 15;            ///< Queue limit; more are refused.
  Duration Work_ = milliseconds(310); ///< Mean run time on a cold object.
  double Spread_ = 0.15;              ///< Standard deviation, relative to mean.
  double TailShare_ = 0.03;           ///< Share of stragglers.
  double TailFactor_ = 7;             ///< Run time factor of stragglers.
  double WarmSaving_ = 0.7;           ///< Share of work saved if warm.
  size_t WarmCapacity_ = 49;          ///< Number of objects kept warm.
  double NoiseShare_ = 0.15;          ///< Share of time with a noisy host.
  double NoiseFactor_ = 2.5;          ///< Run time factor with noise.
  Duration NoisePeriod_ = milliseconds(600); ///< Length of a noise period.
};

/// Runs requests in slots, queues requests when all slots are in use, and keeps
/// recently used objects warm.
class ServerModel {
public:
  /// Result of a request.
  struct Response {
    bool IsRun_ = false;   ///< Whether it ran; otherwise it was refused.
    bool WasWarm_ = false; ///< Whether its object was warm.
    LoadReport Load_;      ///< Load at the time of the response.
  };
  using ResponseCallback = std::function<void(const Response &)>;

  ServerModel(const ServerModelPlan &Plan, VirtualTime &Clock, uint64_t Seed)
      : Plan_(Plan), Clock_(Clock), Random_(Seed) {}

  /// Runs, queues or refuses a request.
  /// \param Key Object of the request; 0 for none.
  /// \param Done Called with the result, unless the request is cancelled.
  /// \return Number of the request, for cancel().
  uint64_t handleRequest(uint64_t Key, ResponseCallback Done);

  /// Stops a request whose connection was closed. Its object is not cached.
  void cancel(uint64_t Request);

  /// Takes \p Factor times as long for each request that starts before
  /// \p Until.
  void slowDown(Time Until, double Factor);

  /// Forgets all warm objects, as a server that has just started.
  void forgetObjects() { Warm_.clear(); }

  unsigned getRunning() const { return Running_; }
  unsigned getQueued() const { return static_cast<unsigned>(Queue_.size()); }

private:
  struct QueuedRequest {
    uint64_t Number_;       ///< Number of the request.
    uint64_t Key_;          ///< Object of the request.
    ResponseCallback Done_; ///< Called with the result.
  };

  struct RunningRequest {
    uint64_t Key_; ///< Object of the request.
    bool WasWarm_; ///< Whether it was warm.
  };

  void run(QueuedRequest Request);
  void release();
  bool markWarm(uint64_t Key);
  double drawFactor(bool IsWarm);
  LoadReport getLoad();

  ServerModelPlan Plan_;                       ///< Parameters.
  VirtualTime &Clock_;                         ///< Virtual time.
  std::mt19937_64 Random_;                     ///< Draws run times and noise.
  unsigned Running_ = 0;                       ///< Number of requests in slots.
  uint64_t NextNumber_ = 1;                    ///< Number of the next request.
  std::map<uint64_t, RunningRequest> InSlots_; ///< Requests by number.
  std::deque<QueuedRequest> Queue_; ///< Requests that wait for a slot.
  std::list<uint64_t> Warm_;        ///< Warm objects, most recent first.
  Time NoiseFrom_;                  ///< Start of the current noise period.
  double Noise_ = 1;                ///< Run time factor of that period.
  Time SlowUntil_;                  ///< End of the slowdown.
  double SlowFactor_ = 1;           ///< Run time factor until then.
};

} // namespace cranberry::test

#endif
