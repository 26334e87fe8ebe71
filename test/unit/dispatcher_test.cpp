/// \file dispatcher_test.cpp Outcomes, retries, hedges, deadlines and draining.
#include "core/result_func.h"
#include "request/dispatcher_base.h"
#include "test/support/virtual_region_base.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cranberry;
using namespace cranberry::test;

namespace {

FakeRequest makeRequest(bool Repeatable, Duration Length = milliseconds(10)) {
  FakeRequest Request;
  Request.Length_ = Length;
  Request.IsRepeatable_ = Repeatable;
  Request.Deadline_ = seconds(5);
  return Request;
}

/// Serves requests until the retry budget, which grows with the run time of
/// first attempts, is full.
void fillRetryBudget(VirtualRegion &World) {
  for (int I = 0; I < 200; ++I) {
    World.arrive(0, makeRequest(true));
    World.time().runUntil(World.time().now() + milliseconds(20));
  }
}

} // namespace

TEST_CASE("every end of an attempt is classified for both kinds of request") {
  struct Case {
    ResultCode End_;      ///< Result of the first attempt.
    bool IsRepeatable_;   ///< Whether the request may run twice.
    ResultCode Expected_; ///< Result that the caller gets.
    unsigned Runs_;       ///< Expected number of runs on servers.
  };
  const Case Cases[] = {
      {ResultCode::Ok, true, ResultCode::Ok, 1},
      {ResultCode::Ok, false, ResultCode::Ok, 1},
      {ResultCode::ServerConnectFailed, true, ResultCode::Ok, 1},
      {ResultCode::ServerConnectFailed, false, ResultCode::Ok, 1},
      {ResultCode::ServerRefused, true, ResultCode::Ok, 1},
      {ResultCode::ServerRefused, false, ResultCode::Ok, 1},
      {ResultCode::ServerAnswerLost, true, ResultCode::Ok, 2},
      {ResultCode::ServerAnswerLost, false, ResultCode::ServerAnswerLost, 1},
      {ResultCode::ServerAnswerTruncated, true, ResultCode::Ok, 2},
      {ResultCode::ServerAnswerTruncated, false,
       ResultCode::ServerAnswerTruncated, 1},
      {ResultCode::ServerAnswerCrossed, true, ResultCode::Ok, 2},
      {ResultCode::ServerAnswerCrossed, false, ResultCode::ServerAnswerCrossed,
       1},
      {ResultCode::ConnectionSilent, true, ResultCode::Ok, 2},
      {ResultCode::ConnectionSilent, false, ResultCode::ConnectionSilent, 1},
  };
  for (const Case &C : Cases) {
    CAPTURE(getName(C.End_), C.IsRepeatable_);
    VirtualRegion World(1);
    World.addZone("a", "r", 3, 2, {});
    fillRetryBudget(World);
    size_t Before = World.getEnds().size();
    bool Failed = false;
    World.setFault([&](const std::string &) {
      return std::exchange(Failed, true) ? ResultCode::Ok : C.End_;
    });
    World.arrive(0, makeRequest(C.IsRepeatable_));
    World.time().runUntil(World.time().now() + seconds(10));
    REQUIRE(World.getEnds().size() == Before + 1);
    CHECK(World.getEnds().back().Code_ == C.Expected_);
    CHECK(World.getEnds().back().Runs_ == C.Runs_);
  }
}

TEST_CASE(
    "a refusal after an attempt of unknown outcome is not reported as not "
    "run") {
  VirtualRegion World(1);
  World.addZone("a", "r", 1, 1, {});
  fillRetryBudget(World);
  int Tries = 0;
  World.setFault([&](const std::string &) {
    return Tries++ == 0 ? ResultCode::ServerAnswerLost
                        : ResultCode::ServerRefused;
  });
  World.arrive(0, makeRequest(true));
  World.time().runUntil(World.time().now() + seconds(10));
  CHECK(getOutcome(World.getEnds().back().Code_) == Outcome::Unknown);
  CHECK(World.getEnds().back().Runs_ == 1);
}

TEST_CASE(
    "a hedge that is refused does not hide that the first attempt may have "
    "run") {
  Dispatcher D(DispatcherLimits{});
  Time Now{seconds(10)};
  D.setServers({{"s:1", 4, false}, {"s:2", 4, false}}, Now);
  std::vector<AttemptIndex> Started;
  std::optional<ResultCode> End;
  GrantIndex Grant;
  auto CollectActions = [&] {
    for (const Action &Next : D.takeActions()) {
      if (const auto *Start = std::get_if<StartServerAttempt>(&Next))
        Started.push_back(Start->Attempt_);
      if (const auto *Finish = std::get_if<FinishRequest>(&Next))
        End = Finish->Code_;
      if (const auto *Answer = std::get_if<SendSlotReply>(&Next))
        Grant = Answer->Grant_;
    }
  };
  auto Add = [&](GrantIndex Under) {
    RequestTraits Traits;
    Traits.Arrived_ = Now;
    Traits.Deadline_ = Now + seconds(5);
    Traits.Grant_ = Under;
    D.addRequest(std::move(Traits), Now);
    CollectActions();
  };
  for (int I = 0; I < 100; ++I) {
    Add(GrantIndex::invalid());
    Now += milliseconds(10);
    D.finishAttempt(Started.back(), ResultCode::Ok, Now);
    CollectActions();
  }
  D.addSlotRequest({SlotRequestIndex(1), 1, false, Duration(0), Now}, Now);
  CollectActions();
  Started.clear();
  End.reset();
  Add(Grant);
  Now += milliseconds(60);
  D.tick(Now);
  CollectActions();
  REQUIRE(Started.size() == 2);
  D.finishAttempt(Started[0], ResultCode::ServerAnswerLost, Now);
  D.finishAttempt(Started[1], ResultCode::ServerRefused, Now);
  CollectActions();
  REQUIRE(End);
  CHECK(getOutcome(*End) == Outcome::Unknown);
}

TEST_CASE("random faults: a request that ran is never reported as not run, and "
          "no server exceeds its slots") {
  for (uint64_t Seed = 1; Seed <= 30; ++Seed) {
    CAPTURE(Seed);
    VirtualRegion World(Seed);
    std::mt19937_64 Random(Seed);
    DispatcherLimits Limits;
    Limits.MaxConcurrent_ = 9;
    World.addZone("a", "r", 3, 3, Limits);
    World.addZone("b", "r", 2, 3, Limits);
    World.addZone("c", "other", 2, 3, Limits);
    World.connect(milliseconds(1), milliseconds(20));
    const ResultCode Ends[] = {ResultCode::Ok,
                               ResultCode::Ok,
                               ResultCode::Ok,
                               ResultCode::Ok,
                               ResultCode::ServerRefused,
                               ResultCode::ServerConnectFailed,
                               ResultCode::ServerAnswerLost,
                               ResultCode::ServerAnswerCrossed};
    World.setFault(
        [&](const std::string &) { return Ends[Random() % std::size(Ends)]; });
    World.Check_ = [&] {
      for (size_t Z = 0; Z < 3; ++Z)
        for (const std::string &Server : World.zone(Z).Servers_)
          REQUIRE(World.getRunning(Server) <= 3);
    };
    unsigned RequestCount = 0;
    for (int I = 0; I < 400; ++I) {
      FakeRequest Request =
          makeRequest(Random() % 2 == 0, milliseconds(5 + Random() % 40));
      Request.Deadline_ = milliseconds(20 + Random() % 400);
      World.arrive(Random() % 3, Request);
      ++RequestCount;
      size_t Zone = Random() % 3;
      const std::string &Server =
          World.zone(Zone)
              .Servers_[Random() % World.zone(Zone).Servers_.size()];
      World.setHealth(Zone, Server,
                      Random() % 8 == 0 ? ServerHealth::Down
                                        : ServerHealth::Up);
      World.time().runUntil(World.time().now() + milliseconds(Random() % 8));
    }
    for (size_t Z = 0; Z < 3; ++Z)
      for (const std::string &Server : World.zone(Z).Servers_)
        World.setHealth(Z, Server, ServerHealth::Up);
    World.time().runUntil(World.time().now() + seconds(30));
    REQUIRE(World.getEnds().size() == RequestCount);
    for (const FakeEnd &End : World.getEnds()) {
      if (getOutcome(End.Code_) == Outcome::NotRun)
        CHECK(End.Runs_ == 0);
      if (End.Code_ == ResultCode::Ok)
        CHECK(End.Runs_ >= 1);
    }
    for (size_t Z = 0; Z < 3; ++Z) {
      CHECK(World.zone(Z).Dispatcher_->isIdle());
      CHECK(World.zone(Z).Dispatcher_->getStats(World.time().now()).InUse_ ==
            0);
    }
  }
}

TEST_CASE("a storm of failures adds at most a tenth of the load") {
  VirtualRegion World(7);
  World.addZone("a", "r", 5, 4, {});
  World.setFault(
      [](const std::string &) { return ResultCode::ServerAnswerLost; });
  constexpr unsigned RequestCount = 2000;
  for (unsigned I = 0; I < RequestCount; ++I) {
    World.arrive(0, makeRequest(true));
    World.time().runUntil(World.time().now() + milliseconds(2));
  }
  World.time().runUntil(World.time().now() + seconds(20));
  CHECK(World.getEnds().size() == RequestCount);
  CHECK(World.getStarts() <= RequestCount + RequestCount / 10);
  // At least half of the retry budget was used, so that it limits the starts.
  CHECK(World.getStarts() >= RequestCount + RequestCount / 20);
}

TEST_CASE(
    "a request that can't start before its deadline is reported as not run") {
  VirtualRegion World(1);
  World.addZone("a", "r", 1, 1, {});
  World.arrive(0, makeRequest(false, seconds(2)));
  FakeRequest Late = makeRequest(false);
  Late.Deadline_ = milliseconds(100);
  World.arrive(0, Late);
  World.time().runUntil(World.time().now() + milliseconds(150));
  REQUIRE(World.getEnds().size() == 1);
  CHECK(World.getEnds()[0].Code_ == ResultCode::DeadlineBeforeStart);
  CHECK(World.getEnds()[0].Runs_ == 0);
}

TEST_CASE("a deadline that passes while the request runs gives an unknown "
          "outcome, and a later response is reported for it") {
  Dispatcher D(DispatcherLimits{});
  Time Start{seconds(10)};
  D.setServers({{"s:1", 1, false}}, Start);
  RequestTraits Traits;
  Traits.Arrived_ = Start;
  Traits.Deadline_ = Start + milliseconds(50);
  Traits.IsRepeatable_ = false;
  RequestIndex Request = D.addRequest(Traits, Start);
  Actions First = D.takeActions();
  REQUIRE(std::holds_alternative<StartServerAttempt>(First.at(0)));
  AttemptIndex Attempt = std::get<StartServerAttempt>(First[0]).Attempt_;
  D.tick(Start + milliseconds(51));
  Actions Second = D.takeActions();
  REQUIRE(Second.size() == 1);
  CHECK(std::get<FinishRequest>(Second[0]).Code_ ==
        ResultCode::DeadlineAfterStart);
  D.finishAttempt(Attempt, ResultCode::Ok, Start + milliseconds(80));
  Actions Third = D.takeActions();
  REQUIRE(Third.size() == 1);
  CHECK(std::get<ReportLateResult>(Third[0]).Request_ == Request);
  CHECK(std::get<ReportLateResult>(Third[0]).Code_ == ResultCode::Ok);
  CHECK(D.isIdle());
}

TEST_CASE("a slow attempt of a repeatable request is hedged on another server "
          "and the slower attempt cancelled") {
  VirtualRegion World(3);
  World.addZone("a", "r", 2, 1, {});
  fillRetryBudget(World);
  World.setSlow("a:0", 50);
  World.setSlow("a:1", 1);
  size_t Before = World.getEnds().size();
  for (int I = 0; I < 20; ++I) {
    World.arrive(0, makeRequest(true));
    World.time().runUntil(World.time().now() + seconds(1));
  }
  for (size_t I = Before; I < World.getEnds().size(); ++I)
    CHECK(World.getEnds()[I].Latency_ < milliseconds(100));
  CHECK(World.getRunning("a:0") == 0);
  CHECK(World.zone(0).Dispatcher_->getStats(World.time().now()).Hedges_ >= 1);
}

TEST_CASE("a request that may not be repeated is never hedged") {
  VirtualRegion World(3);
  World.addZone("a", "r", 2, 1, {});
  fillRetryBudget(World);
  World.setSlow("a:0", 500);
  World.setSlow("a:1", 500);
  FakeRequest Request = makeRequest(false);
  Request.Deadline_ = seconds(60);
  World.arrive(0, Request);
  World.time().runUntil(World.time().now() + seconds(60));
  CHECK(World.getEnds().back().Runs_ == 1);
}

TEST_CASE("an attempt that makes no progress is dropped within 2 s and its "
          "repeatable request finishes on another server") {
  VirtualRegion World(3);
  DispatcherLimits Limits;
  Limits.IsHedgingEnabled_ = false;
  World.addZone("a", "r", 2, 4, Limits);
  fillRetryBudget(World);
  World.setSlow("a:0", 1e6);
  size_t Before = World.getEnds().size();
  World.arrive(0, makeRequest(true));
  World.arrive(0, makeRequest(true));
  World.time().runUntil(World.time().now() + milliseconds(2100));
  REQUIRE(World.getEnds().size() == Before + 2);
  CHECK(World.getEnds().back().Code_ == ResultCode::Ok);
}

TEST_CASE("a server that drains gets no new requests and finishes its own") {
  VirtualRegion World(1);
  World.addZone("a", "r", 2, 2, {});
  for (int I = 0; I < 4; ++I)
    World.arrive(0, makeRequest(false, seconds(1)));
  REQUIRE(World.getRunning("a:0") == 2);
  World.setHealth(0, "a:0", ServerHealth::Draining);
  for (int I = 0; I < 4; ++I)
    World.arrive(0, makeRequest(false, seconds(1)));
  World.time().runUntil(World.time().now() + milliseconds(1500));
  CHECK(World.getRunning("a:0") == 0);
  World.time().runUntil(World.time().now() + seconds(10));
  REQUIRE(World.getEnds().size() == 8);
  for (const FakeEnd &End : World.getEnds())
    CHECK(End.Code_ == ResultCode::Ok);
}

TEST_CASE("a server that comes back up starts with one slot and ramps up") {
  VirtualRegion World(1);
  World.addZone("a", "r", 1, 8, {});
  World.setHealth(0, "a:0", ServerHealth::Down);
  World.setHealth(0, "a:0", ServerHealth::Up);
  for (int I = 0; I < 20; ++I)
    World.arrive(0, makeRequest(false, seconds(60)));
  CHECK(World.getRunning("a:0") == 1);
  World.time().runUntil(World.time().now() + milliseconds(550));
  CHECK(World.getRunning("a:0") == 2);
  World.time().runUntil(World.time().now() + milliseconds(1000));
  CHECK(World.getRunning("a:0") == 8);
}

TEST_CASE("a full queue refuses a request at once as not run") {
  VirtualRegion World(1);
  DispatcherLimits Limits;
  Limits.MaxQueue_ = 2;
  World.addZone("a", "r", 1, 1, Limits);
  for (int I = 0; I < 4; ++I)
    World.arrive(0, makeRequest(true, seconds(1)));
  World.time().runUntil(World.time().now() + milliseconds(1));
  REQUIRE(World.getEnds().size() == 1);
  CHECK(World.getEnds()[0].Code_ == ResultCode::QueueFull);
}
