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
    CHECK(First.InTime_ + First.Late_ + First.Refused_ + First.Cut_ ==
          First.Offered_);
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

TEST_CASE("model: many VMs keep the objects of a region in small caches") {
  // Nine VMs in each zone, work of 2 s if an object isn't cached, and caches
  // that hold one copy of each object three times over, but no nine copies.
  SteeringModelPlan Plan;
  Plan.VmsPerZone_ = 9;
  Plan.ServersPerZone_ = 30;
  Plan.Server_.Work_ = milliseconds(2040);
  Plan.Server_.WarmSaving_ = 0.75;
  Plan.Server_.WarmCapacity_ = 9;
  Plan.Objects_ = 260;
  Plan.AreObjectsShared_ = true;
  Plan.Objective_ = milliseconds(1500);
  Plan.Deadline_ = seconds(3);
  Plan.WarmUp_ = seconds(10);
  Plan.Length_ = seconds(20);
  for (double Load : {0.6, 0.9}) {
    CAPTURE(Load);
    Plan.Load_ = Load;
    SteeringModelReport Report = SteeringModel(Plan).run();
    CHECK(Report.Warm_ > 0.9 * (Report.InTime_ + Report.Late_));
    CHECK(Report.InTime_ > 0.85 * Report.Offered_);
  }
}

TEST_CASE("model: a burst that fills the servers leaves no overload behind") {
  SteeringModelPlan Plan;
  Plan.VmsPerZone_ = 8;
  Plan.ServersPerZone_ = 20;
  Plan.Server_.Slots_ = 9;
  Plan.Server_.MaxQueue_ = 27;
  Plan.Server_.Work_ = milliseconds(1104);
  Plan.Server_.WarmSaving_ = 0.75;
  Plan.Server_.WarmCapacity_ = 12;
  Plan.Objects_ = 400;
  Plan.AreObjectsShared_ = true;
  Plan.Objective_ = milliseconds(800);
  Plan.Deadline_ = milliseconds(1500);
  Plan.Load_ = 1.5;
  Plan.WarmUp_ = seconds(12);
  Plan.BurstFrom_ = seconds(5);
  Plan.BurstLength_ = seconds(4);
  Plan.BurstFactor_ = 3;
  Plan.Length_ = seconds(20);
  SteeringModelReport Report = SteeringModel(Plan).run();
  double Before = Report.getInTimeShare(0, 5);
  double After = Report.getInTimeShare(12, 20);
  CAPTURE(Before, After, Report.getInTimeShare(5, 9));
  CHECK(After > 0.9 * Before);
}

TEST_CASE("model: servers that return cold are used while they are cold") {
  // 97 servers of a zone with 24 VMs, of which two serve the clients. A server
  // tolerates 4.8 starts a second: even shares leave 0.2 to a VM, whole starts
  // two to each of the two.
  auto Run = [](double ColdStartRate) {
    SteeringModelPlan Plan;
    Plan.VmsPerZone_ = 2;
    Plan.ServersPerZone_ = 97;
    Plan.Objects_ = 1300;
    Plan.Load_ = 1.1;
    Plan.ColdFrom_ = seconds(2);
    Plan.ColdStartRate_ = ColdStartRate;
    Plan.Length_ = seconds(10);
    return SteeringModel(Plan).run();
  };
  SteeringModelReport Even = Run(0.2);
  SteeringModelReport Whole = Run(2);
  CAPTURE(Even.ColdStarts_, Whole.ColdStarts_, Even.Refused_, Whole.Refused_,
          Even.Cut_, Whole.Cut_, Even.Late_, Whole.Late_,
          Even.getInTimeShare(2, 5), Whole.getInTimeShare(2, 5),
          Even.getInTimeShare(5, 10), Whole.getInTimeShare(5, 10));
  CHECK(Even.ColdStarts_ == 0);
  CHECK(Whole.ColdStarts_ > 0);
  // Three windows of four starts each.
  CHECK(Whole.ColdStarts_ <= 97 * 3 * 4);
  CHECK(Whole.getInTimeShare(2, 5) > Even.getInTimeShare(2, 5));
  CHECK(Whole.Refused_ + Whole.Cut_ < Even.Refused_ + Even.Cut_);
}
