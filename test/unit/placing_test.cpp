/// \file placing_test.cpp Choice of a server, order of the queue, grants.
#include "request/held_grants_base.h"
#include "request/issued_grants_base.h"
#include "request/request_queue_base.h"
#include "request/route_history_base.h"
#include "request/server_pool_base.h"
#include "test/support/virtual_region_base.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cranberry;
using namespace cranberry::test;

namespace {

const Time Start{seconds(100)};

} // namespace

TEST_CASE("with two servers the slower one is found by its timing") {
  ServerPool Pool;
  Pool.setServers({{"a", 4, false}, {"b", 4, false}}, Start);
  for (int I = 0; I < 20; ++I) {
    Pool.recordTiming(ServerIndex(0), milliseconds(50), milliseconds(10));
    Pool.recordTiming(ServerIndex(1), milliseconds(10), milliseconds(10));
  }
  CHECK(Pool.isSlow(ServerIndex(0)));
  CHECK_FALSE(Pool.isSlow(ServerIndex(1)));
  CHECK(Pool.getUsableSlots(Start) == 5);
  for (int I = 0; I < 40; ++I)
    Pool.recordTiming(ServerIndex(0), milliseconds(10), milliseconds(10));
  CHECK_FALSE(Pool.isSlow(ServerIndex(0)));
}

TEST_CASE(
    "idle servers are used in turn, and one without peers to compare is not "
    "slow") {
  ServerPool Pool;
  Pool.setServers({{"a", 4, false}, {"b", 4, false}}, Start);
  for (unsigned I = 0; I < 6; ++I) {
    std::optional<ServerIndex> Picked = Pool.pick(Start, {});
    REQUIRE(Picked);
    CHECK(Picked->get() == I % 2);
    Pool.acquireSlot(*Picked);
    Pool.releaseSlot(*Picked);
  }
  for (int I = 0; I < 50; ++I)
    Pool.recordTiming(ServerIndex(0), seconds(1), milliseconds(10));
  CHECK_FALSE(Pool.isSlow(ServerIndex(0)));
}

TEST_CASE("one straggler does not make a server slow") {
  ServerPool Pool;
  Pool.setServers({{"a", 4, false}, {"b", 4, false}}, Start);
  Pool.recordTiming(ServerIndex(0), seconds(1), milliseconds(10));
  CHECK_FALSE(Pool.isSlow(ServerIndex(0)));
}

TEST_CASE("a server that refuses rests for a growing while") {
  ServerPool Pool;
  Pool.setServers({{"a", 4, false}}, Start);
  Pool.recordRefusal(ServerIndex(0), Start);
  CHECK(Pool.getFreeSlots(Start + milliseconds(49)) == 0);
  CHECK(Pool.getFreeSlots(Start + milliseconds(50)) == 4);
  Pool.recordRefusal(ServerIndex(0), Start + milliseconds(50));
  CHECK(Pool.getFreeSlots(Start + milliseconds(149)) == 0);
  CHECK(Pool.getFreeSlots(Start + milliseconds(150)) == 4);
}

TEST_CASE("a removed server finishes what it has and keeps its index") {
  ServerPool Pool;
  Pool.setServers({{"a", 2, false}, {"b", 2, false}}, Start);
  Pool.acquireSlot(ServerIndex(0));
  Pool.setServers({{"b", 2, false}}, Start);
  CHECK(Pool.getFreeSlots(Start) == 2);
  CHECK(Pool.getStatus(Start).size() == 2);
  Pool.releaseSlot(ServerIndex(0));
  CHECK(Pool.getStatus(Start).size() == 1);
}

TEST_CASE("order of a queue") {
  RequestQueue Fifo(FifoOrder{});
  RequestQueue ShortFirst(ShortFirstOrder{4});
  for (RequestQueue *Queue : {&Fifo, &ShortFirst}) {
    Queue->push(RequestIndex(1), Start, milliseconds(100));
    Queue->push(RequestIndex(2), Start + milliseconds(10), milliseconds(1));
    Queue->push(RequestIndex(3), Start + milliseconds(500), milliseconds(1));
  }
  CHECK(Fifo.pop()->get() == 1);
  CHECK(ShortFirst.pop()->get() == 2);
  // Ageing: the long request yields for 400 ms, not for ever.
  CHECK(ShortFirst.pop()->get() == 1);
  ShortFirst.pushFront(RequestIndex(4));
  CHECK(ShortFirst.pop()->get() == 4);
  ShortFirst.remove(RequestIndex(3));
  CHECK(ShortFirst.isEmpty());
}

TEST_CASE("routes leave out segments with digits and the query") {
  CHECK(makeRoute("GET", "/item/7f3a?x=1") == "GET /item/#");
  CHECK(makeRoute("GET", "/render/7f3a") == "GET /render/#");
  CHECK(makeRoute("POST", "/") == "POST /");
}

TEST_CASE("a grant is refused once it has lapsed at its giver") {
  IssuedGrants Ledger;
  GrantIndex Grant = Ledger.add(2, milliseconds(100), true, Start);
  CHECK(Ledger.getReservedSlots(Start) == 2);
  CHECK(Ledger.tryUseSlot(Grant, Start));
  CHECK(Ledger.getReservedSlots(Start) == 1);
  Ledger.returnSlot(Grant, Start + milliseconds(20));
  CHECK(Ledger.getReservedSlots(Start + milliseconds(20)) == 2);
  CHECK(Ledger.tryUseSlot(Grant, Start + milliseconds(149)));
  CHECK_FALSE(Ledger.tryUseSlot(Grant, Start + milliseconds(150)));
  CHECK(Ledger.getReservedSlots(Start + milliseconds(150)) == 0);
}

TEST_CASE("a holder stops using a grant before its giver lets it lapse") {
  HeldGrants Wallet;
  Wallet.add({"vm", 7, 1, 1, Start + milliseconds(100)});
  CHECK_FALSE(Wallet.tryUseSlot(Start + milliseconds(100), ""));
  CHECK_FALSE(Wallet.tryUseSlot(Start, "vm"));
  CHECK(Wallet.tryUseSlot(Start, "").has_value());
  CHECK_FALSE(Wallet.tryUseSlot(Start, ""));
  Wallet.returnSlot(7, "vm");
  CHECK(Wallet.prune(Start, true).size() == 1);
}

TEST_CASE("zones lend each other slots, and none runs more than its limit") {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    VirtualRegion World(Seed);
    std::mt19937_64 Random(Seed);
    DispatcherLimits Limits;
    Limits.MaxConcurrent_ = 5;
    World.addZone("a", "r", 2, 3, Limits);
    World.addZone("b", "r", 2, 3, Limits);
    World.addZone("c", "s", 2, 3, Limits);
    World.connect(milliseconds(1), milliseconds(20));
    World.Check_ = [&] {
      for (size_t Z = 0; Z < 3; ++Z) {
        DispatcherStats Stats =
            World.zone(Z).Dispatcher_->getStats(World.time().now());
        REQUIRE(Stats.InUse_ + Stats.Reserved_ <= 5);
      }
    };
    std::exponential_distribution<double> Length(1.0);
    unsigned Made = 0;
    for (int I = 0; I < 600; ++I) {
      FakeRequest Request;
      Request.Length_ =
          Duration(static_cast<int64_t>(20000 * Length(Random)) + 1);
      Request.Deadline_ = seconds(600);
      // All load lands on zone a, more than it can serve alone.
      World.arrive(0, Request);
      ++Made;
      if (Random() % 50 == 0)
        World.zone(1).IsCut_ = !World.zone(1).IsCut_;
      World.time().runUntil(World.time().now() + milliseconds(Random() % 5));
    }
    World.zone(1).IsCut_ = false;
    World.time().runUntil(World.time().now() + seconds(300));
    CHECK(World.getMaxRunningIn("r") <= 10);
    CHECK(World.getMaxRunningIn("s") <= 5);
    CHECK(World.getMaxRunningIn("r") > 5);
    CHECK(World.getEnds().size() == Made);
  }
}

TEST_CASE("a region that is asked by another keeps its headroom") {
  // The way there and back is shorter than the work, and four times as long.
  for (Duration Hop : {milliseconds(20), milliseconds(400)}) {
    CAPTURE(Hop.count());
    VirtualRegion World(1);
    DispatcherLimits Limits;
    Limits.Headroom_ = 0.3;
    World.addZone("a", "r", 1, 1, Limits);
    World.addZone("b", "s", 5, 2, Limits);
    World.connect(milliseconds(1), Hop);
    for (int I = 0; I < 2000; ++I) {
      FakeRequest Request;
      Request.Length_ = milliseconds(200);
      World.arrive(0, Request);
      World.time().runUntil(World.time().now() + milliseconds(5));
    }
    World.time().runUntil(World.time().now() + seconds(2));
    CHECK(World.getMaxRunningIn("s") == 7);
  }
}

TEST_CASE("a region without servers is served by another") {
  VirtualRegion World(1);
  World.addZone("a", "r", 0, 1, {});
  World.addZone("b", "s", 4, 4, {});
  World.connect(milliseconds(1), milliseconds(20));
  for (int I = 0; I < 50; ++I) {
    FakeRequest Request;
    Request.Length_ = milliseconds(10);
    Request.Deadline_ = seconds(5);
    World.arrive(0, Request);
    World.time().runUntil(World.time().now() + milliseconds(20));
  }
  World.time().runUntil(World.time().now() + seconds(5));
  REQUIRE(World.getEnds().size() == 50);
  for (const FakeEnd &End : World.getEnds())
    CHECK(End.Code_ == ResultCode::Ok);
}

TEST_CASE("a holder that was paused through its grants is refused as not run "
          "and overloads no one") {
  VirtualRegion World(1);
  World.addZone("b", "s", 1, 4, {});
  Dispatcher &Giver = *World.zone(0).Dispatcher_;
  Time Now = World.time().now();
  Giver.addSlotRequest({SlotRequestIndex(1), 2, true, Duration(0), Now}, Now);
  Actions Answered = Giver.takeActions();
  REQUIRE(Answered.size() == 1);
  SendSlotReply Answer = std::get<SendSlotReply>(Answered[0]);
  REQUIRE(Answer.Slots_ == 2);
  // The holder sleeps for longer than the grant lives, then acts as its owner.
  Now += seconds(30);
  RequestTraits Traits;
  Traits.Arrived_ = Now;
  Traits.Deadline_ = Now + seconds(5);
  Traits.IsRepeatable_ = false;
  Traits.Grant_ = Answer.Grant_;
  Giver.addRequest(Traits, Now);
  Actions Late = Giver.takeActions();
  REQUIRE(Late.size() == 1);
  CHECK(std::get<FinishRequest>(Late[0]).Code_ == ResultCode::GrantStale);
}
