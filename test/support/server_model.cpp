/// \file server_model.cpp Simulated backend server in virtual time.
#include "test/support/server_model_base.h"

#include "core/duration_func.h"

#include <algorithm>

namespace cranberry::test {

uint64_t ServerModel::handleRequest(uint64_t Key, ResponseCallback Done) {
  uint64_t Number = NextNumber_++;
  if (Running_ < Plan_.Slots_)
    run({Number, Key, std::move(Done)});
  else if (Queue_.size() < Plan_.MaxQueue_)
    Queue_.push_back({Number, Key, std::move(Done)});
  else
    Done({false, false, getLoad()});
  return Number;
}

void ServerModel::cancel(uint64_t Request) {
  std::erase_if(Queue_, [Request](const QueuedRequest &Each) {
    return Each.Number_ == Request;
  });
  auto Found = InSlots_.find(Request);
  if (Found == InSlots_.end())
    return;
  if (!Found->second.WasWarm_)
    Warm_.remove(Found->second.Key_);
  InSlots_.erase(Found);
  release();
}

void ServerModel::slowDown(Time Until, double Factor) {
  SlowUntil_ = Until;
  SlowFactor_ = Factor;
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
  if (Clock_.now() < SlowUntil_)
    Factor *= SlowFactor_;
  return IsWarm ? Factor * (1 - Plan_.WarmSaving_) : Factor;
}

LoadReport ServerModel::getLoad() { return {Running_, getQueued(), Noise_}; }

void ServerModel::release() {
  --Running_;
  if (Queue_.empty())
    return;
  QueuedRequest Next = std::move(Queue_.front());
  Queue_.pop_front();
  run(std::move(Next));
}

void ServerModel::run(QueuedRequest Request) {
  ++Running_;
  bool WasWarm = Request.Key_ != 0 && markWarm(Request.Key_);
  InSlots_[Request.Number_] = {Request.Key_, WasWarm};
  Duration Length = scaleDuration(Plan_.Work_, drawFactor(WasWarm));
  Clock_.after(Length, [this, WasWarm, Number = Request.Number_,
                        Done = std::move(Request.Done_)] {
    if (InSlots_.erase(Number) == 0)
      return; // Cancelled.
    release();
    Done({true, WasWarm, getLoad()});
  });
}

} // namespace cranberry::test
