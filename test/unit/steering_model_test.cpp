/// \file steering_model_test.cpp Server model, and steering policies on it.
#include "test/support/steering_model_base.h"

#include <catch2/catch.hpp>

using namespace cranberry;
using namespace cranberry::test;

namespace {

SteeringModelReport runModel(SteeringPolicy Policy, double Load, unsigned Vms) {
  SteeringModelPlan Plan;
  Plan.Policy_ = Policy;
  Plan.Load_ = Load;
  Plan.VmsPerZone_ = Vms;
  Plan.Length_ = seconds(15);
  return SteeringModel(Plan).run();
}

} // namespace

TEST_CASE("model: a server keeps its slots, queue and warm objects") {
  VirtualTime Clock;
  ServerModelPlan Plan;
  Plan.Slots_ = 2;
  Plan.MaxQueue_ = 1;
  Plan.WarmCapacity_ = 1;
  Plan.Spread_ = Plan.TailShare_ = Plan.NoiseShare_ = 0;
  ServerModel Server(Plan, Clock, 1);
  std::vector<std::pair<bool, bool>> Ends; // Whether it ran, and warm.
  auto Submit = [&](uint64_t Key) {
    Server.handleRequest(Key, [&](const ServerModel::Response &Response) {
      Ends.emplace_back(Response.IsRun_, Response.WasWarm_);
    });
  };
  for (uint64_t Key : {7, 7, 7, 7})
    Submit(Key);
  CHECK(Server.getRunning() == 2);
  CHECK(Server.getQueued() == 1);
  REQUIRE(Ends.size() == 1); // The fourth request was refused.
  CHECK_FALSE(Ends[0].first);
  Clock.runUntil(Clock.now() + seconds(2));
  REQUIRE(Ends.size() == 4);
  CHECK(std::count(Ends.begin(), Ends.end(), std::pair(true, true)) == 2);
  Submit(8);
  Clock.runUntil(Clock.now() + seconds(2));
  Submit(7); // Object 8 has evicted it.
  Clock.runUntil(Clock.now() + seconds(2));
  CHECK(Ends.back() == std::pair(true, false));
}

TEST_CASE("model: every request ends once, and a seed reproduces a run") {
  for (SteeringPolicy Policy :
       {SteeringPolicy::Balancer, SteeringPolicy::LeastInFlight,
        SteeringPolicy::Random}) {
    SteeringModelReport First = runModel(Policy, 1.5, 2);
    CHECK(First.Offered_ > 1000);
    CHECK(First.InTime_ + First.Late_ + First.Refused_ == First.Offered_);
    SteeringModelReport Second = runModel(Policy, 1.5, 2);
    CHECK(Second.InTime_ == First.InTime_);
    CHECK(Second.LatencyMs_ == First.LatencyMs_);
  }
}

TEST_CASE(
    "model: the balancer serves more requests in time than least in flight") {
  for (unsigned Vms : {1U, 4U})
    for (double Load : {0.5, 0.9, 1.3, 2.0}) {
      CAPTURE(Vms, Load);
      SteeringModelReport Balancer =
          runModel(SteeringPolicy::Balancer, Load, Vms);
      SteeringModelReport LeastInFlight =
          runModel(SteeringPolicy::LeastInFlight, Load, Vms);
      CHECK(Balancer.InTime_ > LeastInFlight.InTime_);
      CHECK(Balancer.Warm_ > LeastInFlight.Warm_);
    }
}
