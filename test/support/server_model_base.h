/// \file server_model_base.h A backend server in virtual time.
#ifndef CRANBERRY_TEST_SUPPORT_SERVER_MODEL_BASE_H
#define CRANBERRY_TEST_SUPPORT_SERVER_MODEL_BASE_H

#include "request/balancer_type.h"
#include "test/support/virtual_time_base.h"

#include <deque>
#include <functional>
#include <list>
#include <random>

namespace cranberry::test {

/// What a server is like. The defaults are those of the benches' busiest
/// service: work of 310 ms on five slots.
struct ServerModelPlan {
  unsigned Slots_ = 5;                ///< Concurrent requests.
  unsigned MaxQueue_ = 15;            ///< More are refused.
  Duration Work_ = milliseconds(310); ///< Mean length on a cold object.
  double Spread_ = 0.15;              ///< Deviation, relative to the mean.
  double TailShare_ = 0.03;           ///< Share of stragglers.
  double TailFactor_ = 7;             ///< How much longer they take.
  double WarmGain_ = 0.7;             ///< Saved on a warm object.
  size_t WarmKeeps_ = 49;             ///< Objects that it keeps warm.
  double NoiseShare_ = 0.15;          ///< Share of time with a noisy host.
  double NoiseFactor_ = 2.5;          ///< How much longer work takes then.
  Duration NoisePeriod_ = milliseconds(600); ///< Length of such a time.
};

/// Runs requests in slots, queues some, and keeps objects warm.
class ServerModel {
public:
  /// What a request's sender learns.
  struct Answer {
    bool IsRun_ = false;   ///< Whether it ran; otherwise it was refused.
    bool WasWarm_ = false; ///< Whether its object was warm.
    LoadReport Load_;      ///< Load at the answer.
  };
  using Answered = std::function<void(const Answer &)>;

  ServerModel(const ServerModelPlan &Plan, VirtualTime &Clock, uint64_t Seed)
      : Plan_(Plan), Clock_(Clock), Random_(Seed) {}

  /// A request arrives.
  /// \param Key Its object; 0 for none.
  void take(uint64_t Key, Answered Done);

  unsigned getRunning() const { return Running_; }
  unsigned getQueued() const { return static_cast<unsigned>(Queue_.size()); }

private:
  struct Waiting {
    uint64_t Key_;  ///< Object.
    Answered Done_; ///< Whom to tell.
  };

  void run(uint64_t Key, Answered Done);
  bool touch(uint64_t Key);
  double drawFactor(bool IsWarm);
  LoadReport getLoad();

  ServerModelPlan Plan_;      ///< Plan.
  VirtualTime &Clock_;        ///< Time.
  std::mt19937_64 Random_;    ///< Lengths of work and noise.
  unsigned Running_ = 0;      ///< Requests in slots.
  std::deque<Waiting> Queue_; ///< Requests that wait.
  std::list<uint64_t> Warm_;  ///< Objects, newest first.
  Time NoiseFrom_;            ///< Start of the period drawn last.
  double Noise_ = 1;          ///< Factor in it.
};

} // namespace cranberry::test

#endif
