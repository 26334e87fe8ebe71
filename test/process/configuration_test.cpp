/// \file configuration_test.cpp Configuration writes under outages and races.
#include "cluster_base.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <thread>

using namespace cranberry;
using namespace cranberry::test;
using nlohmann::json;
using standin::LinkMode;
using standin::PlatformFaults;

namespace {

Cluster makeCluster() {
  standin::BackendProfile Profile;
  Profile.Mean_ = milliseconds(5);
  return Cluster({"r-a", "r-b", "q-a"}, 1, Profile);
}

std::string makeService(int Queue) {
  return json{{"deadlineMs", 5000}, {"maxQueue", Queue}}.dump();
}

uint64_t readVersion(const HttpResult &Result) {
  return json::parse(Result.Body_).value("version", uint64_t{0});
}

std::string getCode(const HttpResult &Result) {
  return Result.getHeader("x-result");
}

} // namespace

TEST_CASE("an accepted change is in force on all entry VMs within 10 s") {
  Cluster World = makeCluster();
  HttpResult Written = World.put(1, "service", "pay", makeService(100));
  REQUIRE(Written.Status_ == 200);
  CHECK(World.waitInForce(readVersion(Written), 3, seconds(10)));
}

TEST_CASE("a change spreads among peers when the platform goes down just after "
          "it was accepted") {
  Cluster World = makeCluster();
  for (size_t Vm : {1, 2})
    World.vm(Vm).PlatformLink_->setMode(LinkMode::Cut);
  HttpResult Written = World.put(0, "service", "pay", makeService(101));
  REQUIRE(Written.Status_ == 200);
  PlatformFaults Down;
  Down.Down_ = true;
  World.platform().setFaults(Down);
  CHECK(World.waitInForce(readVersion(Written), 3, seconds(10)));
  CHECK(World.call(2, "GET", "").getHeader("x-outcome") == "answered");
}

TEST_CASE("during a platform outage writes are refused or unknown, never lost, "
          "and requests are still served") {
  Cluster World = makeCluster();
  PlatformFaults Down;
  Down.Down_ = true;
  World.platform().setFaults(Down);
  HttpResult Refused = World.put(0, "service", "pay", makeService(102));
  CHECK(getCode(Refused) == "401");
  CHECK(Refused.getHeader("x-outcome") == "not-run");
  std::string Key = World.makeKey(1);
  CHECK(World.call(1, "POST", Key).getHeader("x-outcome") == "answered");
  World.platform().setFaults({});
  HttpResult Written = World.put(0, "service", "pay", makeService(103));
  CHECK(Written.Status_ == 200);
}

TEST_CASE("a write that took effect while its answer was lost is recognised") {
  struct Case {
    unsigned Lost_;    ///< Writes that take effect without a response.
    unsigned Dropped_; ///< Writes that are lost before they take effect.
  };
  for (const Case &C : {Case{1, 0}, Case{0, 1}, Case{2, 0}}) {
    CAPTURE(C.Lost_, C.Dropped_);
    Cluster World = makeCluster();
    uint64_t Before = World.platform().getRevision();
    PlatformFaults Faults;
    Faults.LoseWrites_ = C.Lost_;
    Faults.DropWrites_ = C.Dropped_;
    World.platform().setFaults(Faults);
    HttpResult Written = World.put(0, "drain", "d1", R"({"vm":"none"})");
    CHECK(Written.Status_ == 200);
    CHECK(readVersion(Written) > Before);
    HttpResult Read = World.get(0, "/v1/objects/drain/d1");
    CHECK(Read.Status_ == 200);
    CHECK(readVersion(Read) == readVersion(Written));
  }
}

TEST_CASE("of two operators that race, one succeeds and the other gets a "
          "conflict with the current version") {
  Cluster World = makeCluster();
  for (int Round = 0; Round < 5; ++Round) {
    HttpResult Known = World.get(0, "/v1/objects/service/pay");
    std::string Version = std::to_string(readVersion(Known));
    REQUIRE(World.waitInForce(readVersion(Known), 3, seconds(10)));
    std::vector<HttpResult> Results(2);
    std::thread Other([&] {
      Results[1] =
          World.put(1, "service", "pay", makeService(300 + Round), Version);
    });
    Results[0] =
        World.put(0, "service", "pay", makeService(200 + Round), Version);
    Other.join();
    REQUIRE(Results[0].Status_ != Results[1].Status_);
    size_t Winner = Results[0].Status_ == 200 ? 0 : 1;
    const HttpResult &Loser = Results[1 - Winner];
    CHECK(Loser.Status_ == 412);
    CHECK(getCode(Loser) == "209");
    CHECK(Loser.getHeader("etag") == Results[Winner].getHeader("etag"));
    CHECK(waitUntil(
        [&] {
          return readVersion(World.get(0, "/v1/objects/service/pay")) ==
                 readVersion(Results[Winner]);
        },
        seconds(10)));
  }
}

TEST_CASE("a restarted entry VM never serves an older configuration, although "
          "the platform's reads lag") {
  Cluster World = makeCluster();
  HttpResult Written = World.put(0, "service", "pay", makeService(104));
  REQUIRE(Written.Status_ == 200);
  REQUIRE(World.waitInForce(readVersion(Written), 3, seconds(10)));
  PlatformFaults Lag;
  Lag.ReadLag_ = seconds(3600);
  World.platform().setFaults(Lag);
  World.vm(1).Process_->signal(SIGKILL);
  World.vm(1).Process_->wait();
  World.startVm(1);
  bool HasReverted = false;
  REQUIRE(waitUntil(
      [&] {
        bool IsReady = World.get(1, "/readyz").Status_ == 200;
        if (IsReady && World.getVersion(1) < readVersion(Written))
          HasReverted = true;
        return IsReady;
      },
      seconds(10)));
  CHECK_FALSE(HasReverted);
  CHECK(World.getVersion(1) >= readVersion(Written));
}

TEST_CASE("an invalid object is refused with its field and a result code, and "
          "changes nothing") {
  Cluster World = makeCluster();
  uint64_t Before = World.platform().getRevision();
  CHECK(getCode(World.put(0, "pool", "p", R"({"slots":0})")) == "205");
  CHECK(getCode(World.put(0, "pool", "p", "{")) == "201");
  CHECK(getCode(World.put(0, "nothing", "p", "{}")) == "202");
  CHECK(getCode(World.put(0, "zone", "z", R"({"region":"none"})")) == "207");
  CHECK(getCode(World.put(0, "status", "r-a", "{}")) == "326");
  CHECK(getCode(World.put(0, "service", "pay", "{}", "\"x\"")) == "213");
  CHECK(getCode(World.put(0, "service", "pay", "{}", "\"1\"")) == "209");
  std::map<std::string, uint64_t> Calls = World.platform().getCallCounts();
  CHECK(json::parse(World.get(0, "/v1/objects/service/pay").Body_)["version"] <=
        Before);
}
