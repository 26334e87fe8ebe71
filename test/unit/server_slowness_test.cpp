/// \file server_slowness_test.cpp How fast a server's speed is learned.
#include "request/server_slowness_base.h"
#include "test/support/steering_model_base.h"

#include <catch2/catch.hpp>

using namespace cranberry;
using namespace cranberry::test;

namespace {

/// \return Samples of \p Observed until the estimate is within a tenth of it.
unsigned countSamples(ServerSlowness &Server, double Observed) {
  constexpr unsigned Most = 100;
  unsigned Count = 0;
  while (Count < Most && std::abs(Server.get() / Observed - 1) > 0.1) {
    Server.record(Observed);
    ++Count;
  }
  return Count;
}

} // namespace

TEST_CASE("server slowness: a few samples show a slowdown and its end") {
  // A server that is five times as slow ends two requests a second of a VM, and
  // should be known within two seconds.
  ServerSlowness Server;
  CHECK(countSamples(Server, 5) <= 4);
  CHECK(countSamples(Server, 1) <= 4);
  CHECK(countSamples(Server, 2) <= 4);
}

TEST_CASE("server slowness: single stragglers hardly count") {
  ServerSlowness Server;
  for (int I = 0; I < 300; ++I) {
    Server.record(I % 30 == 0 ? 7 : 1);
    REQUIRE(Server.get() < 1.25);
    REQUIRE(Server.get() > 0.9);
  }
}

TEST_CASE("server slowness: requests that started together count once") {
  // Four requests started at the usual estimate end one after the other.
  ServerSlowness Server;
  for (int I = 0; I < 4; ++I)
    Server.record(3);
  CHECK(Server.get() < 3.05);
  CHECK(Server.get() > 2.5);
}

TEST_CASE("server slowness: the estimate stays in its range") {
  ServerSlowness Server;
  for (int I = 0; I < 50; ++I)
    Server.record(1000);
  CHECK(Server.get() == Approx(8));
  for (int I = 0; I < 50; ++I)
    Server.record(0);
  CHECK(Server.get() == Approx(0.5));
}

TEST_CASE("model: requests go around servers that have become slow") {
  // One server in six takes five times as long from second 2 to 10, which
  // leaves 0.867 of the room.
  SteeringModelPlan Plan;
  Plan.VmsPerZone_ = 2;
  Plan.ServersPerZone_ = 24;
  Plan.Objects_ = 330;
  Plan.Load_ = 1.1;
  Plan.SlowFrom_ = seconds(2);
  Plan.SlowLength_ = seconds(8);
  Plan.SlowFactor_ = 5;
  Plan.Length_ = seconds(16);
  SteeringModelReport Report = SteeringModel(Plan).run();
  CAPTURE(Report.getInTimeShare(0, 2), Report.getInTimeShare(2, 10),
          Report.getInTimeShare(10, 16));
  constexpr double RoomLeft = 5.0 / 6 + 1.0 / 30;
  double Before = Report.getInTimeShare(0, 2);
  CHECK(Report.getInTimeShare(2, 10) > RoomLeft * Before);
  CHECK(Report.getInTimeShare(10, 16) > 0.95 * Before);
}
