/// \file at_most_once_test.cpp Keyed requests run at most once under faults.
#include "cluster_base.h"

#include "net/blocking_call_func.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace cranberry;
using namespace cranberry::test;
using standin::BackendProfile;
using standin::LinkMode;
using standin::ServerFaults;

namespace {

/// Creates two zones of one region, each with one backend server.
/// \param Mean Mean service time of a request.
Cluster makeCluster(Duration Mean = milliseconds(5)) {
  BackendProfile Profile;
  Profile.Slots_ = 4;
  Profile.Mean_ = Mean;
  Profile.StragglerShare_ = 0;
  return Cluster({"r-a", "r-b"}, 1, Profile);
}

std::string getOutcome(const HttpResult &Result) {
  return Result.getHeader("x-outcome");
}

std::string getResult(const HttpResult &Result) {
  return Result.getHeader("x-result");
}

} // namespace

TEST_CASE("a repeated key gets the recorded answer through any entry VM") {
  Cluster World = makeCluster();
  std::string Key = World.makeKey(0);
  HttpResult First = World.call(0, "POST", Key);
  REQUIRE(getOutcome(First) == "answered");
  for (size_t Vm : {0, 1, 1, 0}) {
    HttpResult Again = World.call(Vm, "POST", Key);
    CHECK(getOutcome(Again) == "answered");
    CHECK(Again.Body_ == First.Body_);
  }
  CHECK(World.getRuns(Key) == 1);
}

TEST_CASE("a non-idempotent request needs a well-formed key") {
  Cluster World = makeCluster();
  CHECK(getResult(World.call(0, "POST", "")) == "304");
  CHECK(getResult(World.call(0, "POST", "nonsense")) == "305");
  CHECK(getOutcome(World.call(0, "POST", "nonsense")) == "not-run");
}

TEST_CASE("an answer that the server loses is unknown and never run again") {
  Cluster World = makeCluster();
  ServerFaults Faults;
  Faults.LoseResponses_ = 1;
  World.server("r-a", 0).setFaults(Faults);
  std::string Key = World.makeKey(0);
  HttpResult First = World.call(0, "POST", Key, milliseconds(500));
  CHECK(getOutcome(First) == "unknown");
  HttpResult Again = World.call(1, "POST", Key, milliseconds(500));
  CHECK(getOutcome(Again) == "unknown");
  CHECK(World.getRuns(Key) == 1);
}

TEST_CASE("a late answer is kept for a repeated key") {
  Cluster World = makeCluster();
  ServerFaults Slow;
  Slow.SlowFactor_ = 1000;
  World.server("r-a", 0).setFaults(Slow);
  std::string Key = World.makeKey(0);
  HttpResult First = World.call(0, "POST", Key, milliseconds(20));
  HttpResult Again = World.call(0, "POST", Key, seconds(15));
  // The first call can succeed if its service time happens to be very short.
  CHECK((getOutcome(First) == "unknown" || getOutcome(First) == "answered"));
  CHECK(getOutcome(Again) == "answered");
  CHECK(World.getRuns(Key) == 1);
}

TEST_CASE("the home VM is killed while the request runs") {
  Cluster World = makeCluster(milliseconds(400));
  std::string Key = World.makeKey(0);
  auto First = World.startCall(0, "POST", Key);
  REQUIRE(waitUntil([&] { return World.getRuns(Key) == 1; }, seconds(5)));
  World.vm(0).Process_->signal(SIGKILL);
  CHECK(World.vm(0).Process_->wait() == -SIGKILL);
  CHECK(First().Code_ == ResultCode::ServerAnswerLost);
  CHECK(getOutcome(World.call(1, "POST", Key)) == "unknown");
  World.startVm(0);
  REQUIRE(waitUntil([&] { return World.get(0, "/readyz").Status_ == 200; },
                    seconds(10)));
  HttpResult Again = World.call(0, "POST", Key);
  CHECK(getOutcome(Again) == "unknown");
  CHECK(getResult(Again) == "306");
  CHECK(World.getRuns(Key) == 1);
}

TEST_CASE("the home VM is suspended while the request runs, and resumes") {
  Cluster World = makeCluster(milliseconds(400));
  std::string Key = World.makeKey(0);
  auto First = World.startCall(0, "POST", Key, seconds(10));
  REQUIRE(waitUntil([&] { return World.getRuns(Key) == 1; }, seconds(5)));
  World.vm(0).Process_->signal(SIGSTOP);
  HttpResult Meanwhile = World.call(1, "POST", Key, milliseconds(500));
  CHECK(getOutcome(Meanwhile) == "unknown");
  World.vm(0).Process_->signal(SIGCONT);
  CHECK(getOutcome(First()) == "answered");
  CHECK(getOutcome(World.call(0, "POST", Key)) == "answered");
  CHECK(World.getRuns(Key) == 1);
}

TEST_CASE("the connection to the home VM goes silent") {
  Cluster World = makeCluster();
  std::string Key = World.makeKey(0);
  World.vm(0).PeerLink_->setMode(LinkMode::Stuck);
  HttpResult Through = World.call(1, "POST", Key, seconds(1));
  CHECK(getOutcome(Through) == "unknown");
  CHECK(getOutcome(World.call(0, "POST", Key)) == "answered");
  // Later calls succeed because the entry VM opens a new connection.
  CHECK(waitUntil(
      [&] {
        return getOutcome(World.call(1, "POST", Key, seconds(1))) == "answered";
      },
      seconds(10)));
  CHECK(World.getRuns(Key) == 1);
}

TEST_CASE("crossed answers never reach a caller") {
  Cluster World = makeCluster();
  ServerFaults Faults;
  Faults.SwapResponses_ = 1;
  REQUIRE(getOutcome(World.call(0, "GET", "")) == "answered");
  World.server("r-a", 0).setFaults(Faults);
  std::string Key = World.makeKey(0);
  HttpResult Crossed = World.call(0, "POST", Key);
  CHECK(getOutcome(Crossed) == "unknown");
  CHECK(getResult(Crossed) == "319");
  CHECK(getOutcome(World.call(0, "POST", Key)) == "unknown");
  CHECK(World.getRuns(Key) == 1);
}

TEST_CASE(
    "a non-idempotent request that a draining server refuses runs once on "
    "another server") {
  Cluster World = makeCluster();
  ServerFaults Refuses;
  Refuses.Draining_ = true;
  World.server("r-a", 0).setFaults(Refuses);
  std::string Key = World.makeKey(0);
  CHECK(getOutcome(World.call(0, "POST", Key)) == "answered");
  CHECK(World.getRuns(Key) == 1);
  CHECK(World.server("r-b", 0).getRunsByKey().size() == 1);
}

TEST_CASE("the loser of a hedge is cancelled at its server") {
  BackendProfile Profile;
  Profile.Slots_ = 4;
  Profile.Mean_ = milliseconds(5);
  Profile.StragglerShare_ = 0;
  Cluster World({"r-a"}, 2, Profile);
  for (int I = 0; I < 60; ++I)
    REQUIRE(getOutcome(World.call(0, "GET", "")) == "answered");
  ServerFaults Slow;
  Slow.SlowFactor_ = 100000;
  World.server("r-a", 0).setFaults(Slow);
  for (int I = 0; I < 6; ++I)
    CHECK(getOutcome(World.call(0, "GET", "", seconds(60))) == "answered");
  CHECK(waitUntil([&] { return World.server("r-a", 0).getCancelled() > 0; },
                  seconds(5)));
}
