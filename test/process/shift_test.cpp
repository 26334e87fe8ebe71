/// \file shift_test.cpp Drains, stops, kills and network cuts lose no request.
#include "cluster_base.h"

#include "net/event_loop_base.h"
#include "standin/caller_base.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <map>

using namespace cranberry;
using namespace cranberry::test;
using nlohmann::json;
using standin::Caller;
using standin::LinkMode;
using standin::LoadProfile;
using standin::LoadReport;
using standin::ServerFaults;

namespace {

standin::BackendProfile makeProfile() {
  standin::BackendProfile Profile;
  Profile.Slots_ = 4;
  Profile.Mean_ = milliseconds(10);
  Profile.StragglerShare_ = 0;
  return Profile;
}

LoadProfile makeLoad(double PerSecond) {
  LoadProfile Load;
  Load.Service_ = "pay";
  Load.PerSecond_ = PerSecond;
  Load.KeyedShare_ = 0.3;
  return Load;
}

/// Waits until \p Count more requests have got a response.
/// \return Whether that happened within 30 s.
bool waitAnswered(Caller &Load, unsigned Count) {
  unsigned Before = Load.getReports()["pay"].Answered_;
  return waitUntil(
      [&] { return Load.getReports()["pay"].Answered_ >= Before + Count; },
      seconds(30));
}

void checkNothingLost(Caller &Load, Cluster &World) {
  Load.stop();
  LoadReport Report = Load.getReports()["pay"];
  CHECK(Report.Answered_ == Report.Sent_);
  CHECK(Report.Wrong_ == 0);
  for (const char *Zone : {"r-a", "r-b"})
    for (size_t I : {0, 1})
      for (const auto &[Key, Runs] : World.server(Zone, I).getRunsByKey())
        CHECK(Runs == 1);
}

} // namespace

TEST_CASE("a draining server gets no new requests after 2 s, whatever reports "
          "the drain, and no running request is lost") {
  for (std::string Way : {"health", "answer", "list", "operator"}) {
    CAPTURE(Way);
    Cluster World({"r-a", "r-b"}, 2, makeProfile());
    Caller Load({World.vm(0).getHttp(), World.vm(1).getHttp()}, 7);
    Load.addLoad(makeLoad(100));
    REQUIRE(waitAnswered(Load, 30));
    standin::Backend &Leaving = World.server("r-a", 0);
    ServerFaults Faults;
    // Except for "answer", the server itself would still accept requests.
    Faults.HidesDrain_ = Way != "answer";
    Faults.Draining_ = Way == "health" || Way == "answer";
    Leaving.setFaults(Faults);
    if (Way == "operator")
      REQUIRE(World
                  .put(0, "drain", "d",
                       json{{"server", Leaving.getAddress()}}.dump())
                  .Status_ == 200);
    if (Way == "list") {
      json List = json::array({{{"vm", "s"},
                                {"address", Leaving.getAddress()},
                                {"role", "server"},
                                {"state", "leaving"}}});
      World.platform().setVms(json{{"vms", List}}.dump());
    }
    // The list is read every 2 s and may lag; the limit counts from the read.
    Time Learnt = EventLoop::now() + seconds(Way == "list" ? 4 : 2);
    waitUntil([&] { return EventLoop::now() >= Learnt; }, seconds(5));
    unsigned Runs = Leaving.getRuns();
    REQUIRE(waitAnswered(Load, 100));
    CHECK(Leaving.getRuns() == Runs);
    checkNothingLost(Load, World);
  }
}

TEST_CASE("a planned stop of an entry VM fails no request and exits with 0") {
  Cluster World({"r-a", "r-b"}, 2, makeProfile());
  // All callers use the entry VM that will be stopped.
  HttpResult Written =
      World.put(0, "blocks", "b",
                R"({"blocks":[{"prefix":"10.100.0.0/16","zone":"r-a"}]})");
  REQUIRE(Written.Status_ == 200);
  uint64_t Version = json::parse(Written.Body_)["version"];
  REQUIRE(World.waitInForce(Version, 2, seconds(10)));
  Caller Load({World.vm(0).getHttp(), World.vm(1).getHttp()}, 8);
  Load.addLoad(makeLoad(100));
  REQUIRE(waitAnswered(Load, 50));
  World.vm(0).Process_->signal(SIGTERM);
  CHECK(World.vm(0).Process_->wait() == 0);
  REQUIRE(waitAnswered(Load, 100));
  checkNothingLost(Load, World);
  // Not a single attempt of a caller failed.
  std::map<std::string, unsigned> Errors = Load.getReports()["pay"].Errors_;
  CAPTURE(Errors);
  CHECK(Errors.empty());
}

TEST_CASE("a planned stop that can't finish its requests exits with 3 and does "
          "not crash") {
  Cluster World({"r-a"}, 1, makeProfile());
  ServerFaults Faults;
  Faults.LoseResponses_ = 1;
  World.server("r-a", 0).setFaults(Faults);
  std::string Key = World.makeKey(0);
  auto Stuck = World.startCall(0, "POST", Key, seconds(20));
  REQUIRE(waitUntil([&] { return World.getRuns(Key) == 1; }, seconds(5)));
  World.vm(0).Process_->signal(SIGTERM);
  CHECK(World.vm(0).Process_->wait() == 3);
  CHECK(Stuck().Code_ == ResultCode::ServerAnswerLost);
}

// Guards against requests that a stopping VM accepted late, passed on and cut
// without a response.
TEST_CASE(
    "report: a request that arrives during a planned stop gets a response "
    "before its end") {
  Cluster World({"r-a", "r-a"}, 1, makeProfile());
  ServerFaults Faults;
  Faults.LoseResponses_ = 1;
  World.server("r-a", 0).setFaults(Faults);
  std::string Key = World.makeKey(0);
  World.vm(0).Process_->signal(SIGTERM);
  auto Late = World.startCall(0, "POST", Key, seconds(20));
  CHECK(World.vm(0).Process_->wait() == 0);
  CHECK(World.getRuns(Key) == 1);
  CHECK(Late().getHeader("x-outcome") == "unknown");
}

TEST_CASE(
    "an entry VM is killed under load: its zone's servers stay in use and "
    "no key runs twice") {
  Cluster World({"r-a", "r-b"}, 2, makeProfile());
  Caller Load({World.vm(0).getHttp(), World.vm(1).getHttp()}, 9);
  Load.addLoad(makeLoad(100));
  REQUIRE(waitAnswered(Load, 50));
  World.vm(0).Process_->signal(SIGKILL);
  World.vm(0).Process_->wait();
  unsigned Runs = World.server("r-a", 0).getRuns();
  CHECK(waitUntil([&] { return World.server("r-a", 0).getRuns() > Runs + 10; },
                  seconds(20)));
  Load.stop();
  LoadReport Report = Load.getReports()["pay"];
  CHECK(Report.Wrong_ == 0);
  CHECK(Report.Answered_ + Report.Unknown_ + Report.NotRun_ == Report.Sent_);
  CHECK(Report.NotRun_ == 0);
  // Only keyed requests at the killed VM may end with an unknown outcome.
  CHECK(Report.Unknown_ <= 10);
  for (const char *Zone : {"r-a", "r-b"})
    for (size_t I : {0, 1})
      for (const auto &[Key, Count] : World.server(Zone, I).getRunsByKey())
        CHECK(Count == 1);
}

TEST_CASE(
    "a zone that is cut off from its peers and the platform still serves") {
  Cluster World({"r-a", "r-b"}, 2, makeProfile());
  for (size_t Vm : {0, 1}) {
    World.vm(Vm).PeerLink_->setMode(LinkMode::Cut);
    World.vm(Vm).PlatformLink_->setMode(LinkMode::Cut);
  }
  for (int I = 0; I < 20; ++I)
    for (size_t Vm : {0, 1})
      CHECK(World.call(Vm, "GET", "").getHeader("x-outcome") == "answered");
  std::string Key = World.makeKey(1);
  CHECK(World.call(1, "POST", Key).getHeader("x-outcome") == "answered");
  // After the cut, both entry VMs see each other again.
  for (size_t Vm : {0, 1}) {
    World.vm(Vm).PeerLink_->setMode(LinkMode::Pass);
    World.vm(Vm).PlatformLink_->setMode(LinkMode::Pass);
  }
  CHECK(World.waitInForce(1, 2, seconds(20)));
}

TEST_CASE(
    "requests are still served after the platform and a server fail together") {
  Cluster World({"r-a", "r-b"}, 2, makeProfile());
  standin::PlatformFaults Down;
  Down.Down_ = true;
  World.platform().setFaults(Down);
  ServerFaults Dead;
  Dead.HealthDown_ = true;
  Dead.LoseResponses_ = 1000;
  World.server("r-a", 0).setFaults(Dead);
  unsigned Answered = 0;
  for (int I = 0; I < 30; ++I)
    Answered +=
        World.call(0, "GET", "").getHeader("x-outcome") == "answered" ? 1 : 0;
  CHECK(Answered >= 28);
}
