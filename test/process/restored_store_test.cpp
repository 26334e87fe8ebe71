/// \file restored_store_test.cpp A store that comes back from an older copy.
#include "standin/route_client_base.h"
#include "standin/routed_fleet_base.h"
#include "test/support/steering_fixture_base.h"

#include <catch2/catch.hpp>

using namespace cranberry;
using namespace cranberry::standin;
using namespace cranberry::test;
using nlohmann::json;

namespace {

json makeRoutes(const std::string &Service) {
  return json::array(
      {makeRoute("r-read", "/read/", Service, true, seconds(3))});
}

} // namespace

TEST_CASE("steering: a change confirmed by a restored store is in force on all "
          "VMs") {
  SteeringFixture F({{"north-a", "north-a", "south-a"}, {"one", "two"}});
  F.startAll();
  F.Fleet_.store().saveCopy();
  F.Fleet_.configure(makeRoutes("two"));
  for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
    CHECK(F.waitUntil([&] { return F.getService(Vm) == "two"; }));
  F.Fleet_.store().restoreCopy();
  // The confirmed change stays in force while the store lacks it.
  Time End = getNow() + seconds(2);
  while (getNow() < End)
    for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
      REQUIRE(F.getService(Vm) == "two");
  // Its revision is given out again.
  F.Fleet_.configure(makeRoutes("one"));
  for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
    CHECK(F.waitUntil([&] { return F.getService(Vm) == "one"; }));
}

TEST_CASE("steering: a server that left before the store was restored gets no "
          "requests") {
  SteeringFixture F({{"north-a", "north-a"}, {"one"}});
  F.startAll();
  FleetServer &Draining = F.Fleet_.servers()[0];
  F.Fleet_.store().saveCopy();
  F.Fleet_.registerServer(Draining, true);
  F.waitForPropagation();
  F.Fleet_.store().restoreCopy();
  F.waitForPropagation();
  unsigned Before = Draining.Server_->getArrivals();
  for (int I = 0; I < 40; ++I)
    for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
      CHECK_FALSE(F.getService(Vm).empty());
  CHECK(Draining.Server_->getArrivals() == Before);
}

TEST_CASE("steering: a server that the restored store lacks is used until it "
          "registers again") {
  SteeringFixture F({{"north-a", "north-a"}, {"one"}, 1});
  FleetServer &Only = F.Fleet_.servers()[0];
  F.Fleet_.unregisterServer(Only);
  F.Fleet_.store().saveCopy();
  F.Fleet_.registerServer(Only);
  F.startAll();
  F.Fleet_.store().restoreCopy();
  Time End = getNow() + milliseconds(1500);
  while (getNow() < End)
    for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
      REQUIRE(F.getService(Vm) == "one");
  F.Fleet_.registerServer(Only);
  F.waitForPropagation();
  for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
    CHECK(F.getService(Vm) == "one");
}

TEST_CASE("steering: an evacuation outlasts a store that was restored without "
          "it") {
  SteeringFixture F({{"north-a", "north-b"}, {"one"}});
  F.startAll();
  F.Fleet_.store().saveCopy();
  F.Fleet_.store().put("evacuations", "north-a", json::object());
  F.waitForPropagation();
  unsigned Before = F.getArrivals("north-a");
  F.Fleet_.store().restoreCopy();
  Time End = getNow() + milliseconds(1500);
  while (getNow() < End)
    CHECK_FALSE(F.getService(0).empty());
  CHECK(F.getArrivals("north-a") == Before);
  // The operator writes it again, and later takes it back.
  F.Fleet_.store().put("evacuations", "north-a", json::object());
  F.waitForPropagation();
  CHECK(F.getArrivals("north-a") == Before);
  F.Fleet_.store().remove("evacuations", "north-a");
  CHECK(F.waitUntil([&] {
    return !F.getService(0).empty() && F.getArrivals("north-a") > Before;
  }));
}
