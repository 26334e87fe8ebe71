/// \file outdated_homes_test.cpp Home regions on entry VMs that miss a version.
#include "test/support/steering_fixture_base.h"

#include <csignal>

using namespace cranberry;
using namespace cranberry::standin;
using cranberry::test::SteeringFixture;
using nlohmann::json;

namespace {

/// VMs in different regions, the first one of each zone reads the store.
class Fixture : public SteeringFixture {
public:
  explicit Fixture(const std::vector<std::string> &Zones = {"north-a",
                                                            "south-a"})
      : SteeringFixture({Zones, {"one"}}) {
    setHome("north");
    startAll();
    // Watches are open, and the VMs have exchanged heartbeats.
    waitForPropagation();
  }

  void setHome(const std::string &Region) {
    json Home = makeRoute("r-home", "/home/", "one", true, seconds(3));
    Home["homeRegions"] = {Region};
    Fleet_.configure(json::array(
        {makeRoute("r-read", "/read/", "one", true, seconds(3)), Home}));
  }

  unsigned getStatus(const std::string &Target, size_t Vm = 0) {
    RouteClient Client(Fleet_.vm(Vm).FrontLink_->getAddress());
    return Client
        .call(
            {"GET", Target, "home" + std::to_string(++Count_), "", seconds(3)},
            seconds(10))
        .Status_;
  }

  /// Sends requests with homes through a VM.
  /// \return Number that servers of the north received.
  unsigned countInNorth(unsigned Status, size_t Vm = 0) {
    unsigned Before = getNorthArrivals();
    for (int I = 0; I < 5; ++I)
      CHECK(getStatus("/home/x", Vm) == Status);
    return getNorthArrivals() - Before;
  }

private:
  unsigned getNorthArrivals() {
    return getArrivals("north-a") + getArrivals("north-b");
  }

  int Count_ = 0; ///< Number of requests.
};

/// Three VMs, of which the first two, those of the north, are cut off together.
class CutFixture : public Fixture {
public:
  CutFixture() : Fixture({"north-a", "north-b", "south-a"}) {}

  void setCut(bool IsCut) {
    LinkMode Mode = IsCut ? LinkMode::Silent : LinkMode::Pass;
    Fleet_.vm(2).PeerLink_->setMode(Mode);
    for (size_t Vm = 0; Vm < CutCount; ++Vm) {
      Fleet_.setHeartbeatsLost(2, Vm, IsCut);
      Fleet_.vm(Vm).StoreLink_->setMode(Mode);
    }
  }

  static constexpr size_t CutCount = 2;
};

constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;

} // namespace

// The VM hears of the version in heartbeats, but its own calls get no response.
TEST_CASE("homes: a VM that can't get a version that another one has in force "
          "sends nothing to the homes before") {
  Fixture F;
  CHECK(F.countInNorth(Ok) == 5);
  F.Fleet_.vm(0).StoreLink_->setMode(LinkMode::Silent);
  F.Fleet_.vm(1).PeerLink_->setMode(LinkMode::Silent);
  F.setHome("south");
  SteeringFixture::waitForPropagation();
  CHECK(F.countInNorth(Unavailable) == 0);
  CHECK(F.getStatus("/read/x") == Unavailable);
  F.Fleet_.vm(0).StoreLink_->setMode(LinkMode::Pass);
  F.Fleet_.vm(1).PeerLink_->setMode(LinkMode::Pass);
  CHECK(SteeringFixture::waitUntil(
      [&F] { return F.getStatus("/home/x") == Ok; }));
  CHECK(F.countInNorth(Ok) == 0);
}

// Each way of the news takes a second for a question and its response.
TEST_CASE("homes: a version reaches a VM whose calls to others take a second") {
  Fixture F;
  F.Fleet_.vm(1).PeerLink_->setDelay(milliseconds(500));
  F.Fleet_.vm(0).StoreLink_->setMode(LinkMode::Silent);
  F.setHome("south");
  unsigned South = F.getArrivals("south-a");
  CHECK(SteeringFixture::waitUntil([&F, South] {
    F.getStatus("/home/x");
    return F.getArrivals("south-a") > South;
  }));
}

TEST_CASE("homes: a version reaches a VM that no other one can reach") {
  Fixture F;
  F.Fleet_.vm(0).PeerLink_->setMode(LinkMode::Silent);
  F.Fleet_.vm(1).PeerLink_->setDelay(milliseconds(500));
  F.Fleet_.vm(0).StoreLink_->setMode(LinkMode::Silent);
  F.setHome("south");
  unsigned South = F.getArrivals("south-a");
  CHECK(SteeringFixture::waitUntil([&F, South] {
    F.getStatus("/home/x");
    return F.getArrivals("south-a") > South;
  }));
}

TEST_CASE("homes: a VM that hears from nobody refuses requests with homes, and "
          "no others") {
  Fixture F;
  F.Fleet_.vm(0).StoreLink_->setMode(LinkMode::Silent);
  F.Fleet_.vm(0).PeerLink_->setMode(LinkMode::Silent);
  F.Fleet_.vm(1).PeerLink_->setMode(LinkMode::Silent);
  F.setHome("south");
  SteeringFixture::waitForPropagation();
  CHECK(F.countInNorth(Unavailable) == 0);
  CHECK(F.getStatus("/read/x") == Ok);
  F.Fleet_.vm(0).StoreLink_->setMode(LinkMode::Pass);
  F.Fleet_.vm(0).PeerLink_->setMode(LinkMode::Pass);
  F.Fleet_.vm(1).PeerLink_->setMode(LinkMode::Pass);
  CHECK(SteeringFixture::waitUntil(
      [&F] { return F.getStatus("/home/x") == Ok; }));
  CHECK(F.countInNorth(Ok) == 0);
}

// With the store away nothing can change, and the VMs agree on the version.
TEST_CASE("homes: VMs that agree on the version serve requests with homes "
          "while the store is away") {
  Fixture F;
  F.Fleet_.vm(0).StoreLink_->setMode(LinkMode::Silent);
  F.Fleet_.vm(1).StoreLink_->setMode(LinkMode::Silent);
  for (int I = 0; I < 3; ++I)
    SteeringFixture::waitForPropagation();
  CHECK(F.countInNorth(Ok) == 5);
}

TEST_CASE("homes: VMs that are cut off together don't confirm each other's "
          "homes") {
  CutFixture F;
  for (size_t Vm = 0; Vm < CutFixture::CutCount; ++Vm)
    CHECK(F.countInNorth(Ok, Vm) == 5);
  F.setCut(true);
  F.setHome("south");
  for (int I = 0; I < 2; ++I) {
    SteeringFixture::waitForPropagation();
    for (size_t Vm = 0; Vm < CutFixture::CutCount; ++Vm) {
      CHECK(F.countInNorth(Unavailable, Vm) == 0);
      CHECK(F.getStatus("/read/x", Vm) == Ok);
    }
  }
  F.setCut(false);
  for (size_t Vm = 0; Vm < CutFixture::CutCount; ++Vm) {
    CHECK(SteeringFixture::waitUntil(
        [&F, Vm] { return F.getStatus("/home/x", Vm) == Ok; }));
    CHECK(F.countInNorth(Ok, Vm) == 0);
  }
}

TEST_CASE("homes: a fleet that loses a VM while the store is away refuses "
          "requests with homes") {
  CutFixture F;
  for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
    F.Fleet_.vm(Vm).StoreLink_->setMode(LinkMode::Silent);
  for (int I = 0; I < 2; ++I)
    SteeringFixture::waitForPropagation();
  CHECK(F.countInNorth(Ok) == 5);
  F.Fleet_.vm(2).Process_->signal(SIGKILL);
  SteeringFixture::waitForPropagation();
  for (size_t Vm = 0; Vm < CutFixture::CutCount; ++Vm) {
    CHECK(F.countInNorth(Unavailable, Vm) == 0);
    CHECK(F.getStatus("/read/x", Vm) == Ok);
  }
}

TEST_CASE("homes: a VM that has left isn't missed while the store is away") {
  CutFixture F;
  for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
    F.Fleet_.vm(Vm).StoreLink_->setMode(LinkMode::Silent);
  F.Fleet_.vm(2).Process_->signal(SIGTERM);
  CHECK(F.Fleet_.vm(2).Process_->wait() == 0);
  SteeringFixture::waitForPropagation();
  for (size_t Vm = 0; Vm < CutFixture::CutCount; ++Vm)
    CHECK(F.countInNorth(Ok, Vm) == 5);
}
