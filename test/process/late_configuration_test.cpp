/// \file late_configuration_test.cpp Entry VMs that learn late of a version.
#include "test/support/steering_fixture_base.h"

using namespace cranberry;
using namespace cranberry::standin;
using cranberry::test::SteeringFixture;
using nlohmann::json;

namespace {

/// Time within which the users require an evacuation to be in force.
constexpr Duration EvacuationBound = seconds(5);

json makeWorkspaces(const json &Keys) {
  return json::array({{{"name", "acme"}, {"apiKeys", Keys}}});
}

/// Two VMs in different zones, both of which read the store.
class Fixture : public SteeringFixture {
public:
  Fixture() : SteeringFixture({{"north-a", "south-a"}, {"one"}}) {
    configure({"/read/"}, {"k1"});
    startAll();
    // Watches are open, and the VMs have exchanged heartbeats.
    waitForPropagation();
  }

  void configure(const std::vector<std::string> &Prefixes, const json &Keys) {
    json Routes = json::array();
    for (const std::string &Prefix : Prefixes)
      Routes.push_back(
          makeRoute("r-" + Prefix, Prefix, "one", true, seconds(3)));
    Fleet_.configure(Routes, makeWorkspaces(Keys));
  }

  unsigned getStatus(size_t Vm, const std::string &Target,
                     const std::string &Key) {
    RouteClient Client(Fleet_.vm(Vm).FrontLink_->getAddress());
    return Client
        .call({"GET",
               Target,
               "late" + std::to_string(++Count_),
               "",
               seconds(3),
               {{"Authorization", "Bearer " + Key}}},
              seconds(10))
        .Status_;
  }

private:
  int Count_ = 0; ///< Number of requests.
};

} // namespace

// Guards against proper requests that a VM refused as an older version says
// because its watch on the configuration had been lost without a sign.
TEST_CASE("steering: a version that other VMs have in force reaches a VM whose "
          "watch is lost") {
  Fixture F;
  F.Fleet_.vm(0).StoreLink_->setMode(LinkMode::StuckWaiting);
  F.configure({"/read/", "/new/"}, {"k2"});
  SteeringFixture::waitForPropagation();
  CHECK(F.getStatus(1, "/new/x", "k2") == 200);
  CHECK(F.getStatus(0, "/new/x", "k2") == 200);
  CHECK(F.getStatus(0, "/read/x", "k2") == 200);
  CHECK(F.getStatus(0, "/read/x", "k1") == 401);
}

// Guards against requests to an evacuated zone for as long as a lost watch took
// to be noticed.
TEST_CASE("steering: an evacuation is in force in time on a VM whose watch is "
          "lost") {
  Fixture F;
  // The watch is renewed after an event, so it has its whole wait before it.
  F.Fleet_.store().put("evacuations", "elsewhere", json::object());
  // With events at hand, watches on servers don't wait and aren't stalled.
  for (int I = 0; I < 4; ++I) {
    F.Fleet_.registerServer(F.Fleet_.servers()[0]);
    RouteClient("").pause(milliseconds(25));
  }
  F.Fleet_.vm(0).StoreLink_->setMode(LinkMode::StuckWaiting);
  F.Fleet_.store().put("evacuations", "north-a", json::object());
  RouteClient("").pause(EvacuationBound);
  unsigned Before = F.getArrivals("north-a");
  for (int I = 0; I < 10; ++I)
    CHECK(F.getStatus(0, "/read/x" + std::to_string(I), "k1") == 200);
  CHECK(F.getArrivals("north-a") == Before);
}

// Guards against a final answer from a VM that may not know of a new route.
TEST_CASE("steering: a VM that is out of touch refuses unknown routes and keys "
          "only for now") {
  Fixture F;
  CHECK(F.getStatus(0, "/new/x", "k1") == 404);
  CHECK(F.getStatus(0, "/read/x", "k2") == 401);
  F.Fleet_.vm(0).StoreLink_->setMode(LinkMode::Silent);
  F.Fleet_.vm(0).PeerLink_->setMode(LinkMode::Silent);
  F.Fleet_.vm(1).PeerLink_->setMode(LinkMode::Silent);
  SteeringFixture::waitForPropagation();
  SteeringFixture::waitForPropagation();
  CHECK(F.getStatus(0, "/new/x", "k1") == 503);
  CHECK(F.getStatus(0, "/read/x", "k2") == 503);
  CHECK(F.getStatus(0, "/read/x", "k1") == 200);
}
