/// \file server_model.cpp Simulated backend server in virtual time.
#include "test/support/server_model_base.h"

#include "core/duration_func.h"

#include <algorithm>

namespace cranberry::test {

void ServerModel::handleRequest(uint64_t Key, ResponseCallback Done) {
  if (Running_ < Plan_.Slots_)
    return run(Key, std::move(Done));
  if (Queue_.size() < Plan_.MaxQueue_)
    return Queue_.push_back({Key, std::move(Done)});
  Done({false, false, getLoad()});
}

bool ServerModel::markWarm(uint64_t Key) {
  auto Found = std::find(Warm_.begin(), Warm_.end(), Key);
  bool WasWarm = Found != Warm_.end();
  if (WasWarm)
    Warm_.erase(Found);
  Warm_.push_front(Key);
  if (Warm_.size() > Plan_.WarmCapacity_)
    Warm_.pop_back();
  return WasWarm;
}

double ServerModel::drawFactor(bool IsWarm) {
  std::uniform_real_distribution<double> Share(0, 1);
  if (Clock_.now() - NoiseFrom_ >= Plan_.NoisePeriod_) {
    NoiseFrom_ = Clock_.now();
    Noise_ = Share(Random_) < Plan_.NoiseShare_ ? Plan_.NoiseFactor_ : 1;
  }
  std::normal_distribution<double> Length(1, Plan_.Spread_);
  double Factor = std::max(0.2, Length(Random_)) * Noise_;
  if (Share(Random_) < Plan_.TailShare_)
    Factor *= Plan_.TailFactor_;
  return IsWarm ? Factor * (1 - Plan_.WarmSaving_) : Factor;
}

LoadReport ServerModel::getLoad() { return {Running_, getQueued(), Noise_}; }

void ServerModel::run(uint64_t Key, ResponseCallback Done) {
  ++Running_;
  bool WasWarm = Key != 0 && markWarm(Key);
  Duration Length = scaleDuration(Plan_.Work_, drawFactor(WasWarm));
  Clock_.after(Length, [this, WasWarm, Done = std::move(Done)] {
    --Running_;
    if (!Queue_.empty()) {
      QueuedRequest Next = std::move(Queue_.front());
      Queue_.pop_front();
      run(Next.Key_, std::move(Next.Done_));
    }
    Done({true, WasWarm, getLoad()});
  });
}

} // namespace cranberry::test
