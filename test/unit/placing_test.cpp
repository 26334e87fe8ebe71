/// \file placing_test.cpp Server choice, queue order and slot grants.
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

TEST_CASE("of two servers the slower one is detected by its service times") {
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
    "idle servers are used in turn, and one is not slow without others to "
    "compare with") {
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

TEST_CASE("one slow request does not mark its server as slow") {
  ServerPool Pool;
  Pool.setServers({{"a", 4, false}, {"b", 4, false}}, Start);
  Pool.recordTiming(ServerIndex(0), seconds(1), milliseconds(10));
  CHECK_FALSE(Pool.isSlow(ServerIndex(0)));
}

TEST_CASE("a server that refuses gets no requests for a growing backoff") {
  ServerPool Pool;
  Pool.setServers({{"a", 4, false}}, Start);
  Pool.recordRefusal(ServerIndex(0), Start);
  CHECK(Pool.getFreeSlots(Start + milliseconds(49)) == 0);
  CHECK(Pool.getFreeSlots(Start + milliseconds(50)) == 4);
  Pool.recordRefusal(ServerIndex(0), Start + milliseconds(50));
  CHECK(Pool.getFreeSlots(Start + milliseconds(149)) == 0);
  CHECK(Pool.getFreeSlots(Start + milliseconds(150)) == 4);
}

TEST_CASE("a removed server finishes its requests and keeps its index") {
  ServerPool Pool;
  Pool.setServers({{"a", 2, false}, {"b", 2, false}}, Start);
  Pool.acquireSlot(ServerIndex(0));
  Pool.setServers({{"b", 2, false}}, Start);
  CHECK(Pool.getFreeSlots(Start) == 2);
  CHECK(Pool.getStatus(Start).size() == 2);
  Pool.releaseSlot(ServerIndex(0));
  CHECK(Pool.getStatus(Start).size() == 1);
}

TEST_CASE("a request queue pops in order of arrival, or shortest first with "
          "ageing") {
  RequestQueue Fifo(FifoOrder{});
  RequestQueue ShortFirst(ShortFirstOrder{4});
  for (RequestQueue *Queue : {&Fifo, &ShortFirst}) {
    Queue->push(RequestIndex(1), Start, milliseconds(100));
    Queue->push(RequestIndex(2), Start + milliseconds(10), milliseconds(1));
    Queue->push(RequestIndex(3), Start + milliseconds(500), milliseconds(1));
  }
  CHECK(Fifo.pop()->get() == 1);
  CHECK(ShortFirst.pop()->get() == 2);
  // Ageing: the long request lets shorter ones pass for 400 ms only.
  CHECK(ShortFirst.pop()->get() == 1);
  ShortFirst.pushFront(RequestIndex(4));
  CHECK(ShortFirst.pop()->get() == 4);
  ShortFirst.remove(RequestIndex(3));
  CHECK(ShortFirst.isEmpty());
}

TEST_CASE("a route has # for path segments with digits and no query") {
  CHECK(makeRoute("GET", "/item/7f3a?x=1") == "GET /item/#");
  CHECK(makeRoute("GET", "/render/7f3a") == "GET /render/#");
  CHECK(makeRoute("POST", "/") == "POST /");
}

TEST_CASE("a grant is refused once it has expired at its issuer") {
  IssuedGrants Issued;
  GrantIndex Grant = Issued.add(2, milliseconds(100), true, Start);
  CHECK(Issued.getReservedSlots(Start) == 2);
  CHECK(Issued.tryUseSlot(Grant, Start));
  CHECK(Issued.getReservedSlots(Start) == 1);
  Issued.returnSlot(Grant, Start + milliseconds(20));
  CHECK(Issued.getReservedSlots(Start + milliseconds(20)) == 2);
  CHECK(Issued.tryUseSlot(Grant, Start + milliseconds(149)));
  CHECK_FALSE(Issued.tryUseSlot(Grant, Start + milliseconds(150)));
  CHECK(Issued.getReservedSlots(Start + milliseconds(150)) == 0);
}

TEST_CASE("a holder stops using a grant before it expires at its issuer") {
  HeldGrants Held;
  Held.add({"vm", 7, 1, 1, Start + milliseconds(100)});
  CHECK_FALSE(Held.tryUseSlot(Start + milliseconds(100), ""));
  CHECK_FALSE(Held.tryUseSlot(Start, "vm"));
  CHECK(Held.tryUseSlot(Start, "").has_value());
  CHECK_FALSE(Held.tryUseSlot(Start, ""));
  Held.returnSlot(7, "vm");
  CHECK(Held.prune(Start, true).size() == 1);
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
    unsigned RequestCount = 0;
    for (int I = 0; I < 600; ++I) {
      FakeRequest Request;
      Request.Length_ =
          Duration(static_cast<int64_t>(20000 * Length(Random)) + 1);
      Request.Deadline_ = seconds(600);
      // All requests arrive at zone a, more than it can serve alone.
      World.arrive(0, Request);
      ++RequestCount;
      if (Random() % 50 == 0)
        World.zone(1).IsCut_ = !World.zone(1).IsCut_;
      World.time().runUntil(World.time().now() + milliseconds(Random() % 5));
    }
    World.zone(1).IsCut_ = false;
    World.time().runUntil(World.time().now() + seconds(300));
    CHECK(World.getMaxRunningIn("r") <= 10);
    CHECK(World.getMaxRunningIn("s") <= 5);
    CHECK(World.getMaxRunningIn("r") > 5);
    CHECK(World.getEnds().size() == RequestCount);
  }
}

TEST_CASE("a region that is asked by another keeps its headroom") {
  // The round trip is shorter than the service time, or four times as long.
  for (Duration RegionDelay : {milliseconds(20), milliseconds(400)}) {
    CAPTURE(RegionDelay.count());
    VirtualRegion World(1);
    DispatcherLimits Limits;
    Limits.Headroom_ = 0.3;
    World.addZone("a", "r", 1, 1, Limits);
    World.addZone("b", "s", 5, 2, Limits);
    World.connect(milliseconds(1), RegionDelay);
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

TEST_CASE("a holder that was paused until its grant expired is refused as not "
          "run") {
  VirtualRegion World(1);
  World.addZone("b", "s", 1, 4, {});
  Dispatcher &Issuer = *World.zone(0).Dispatcher_;
  Time Now = World.time().now();
  Issuer.addSlotRequest({SlotRequestIndex(1), 2, true, Duration(0), Now}, Now);
  Actions Replies = Issuer.takeActions();
  REQUIRE(Replies.size() == 1);
  SendSlotReply Reply = std::get<SendSlotReply>(Replies[0]);
  REQUIRE(Reply.Slots_ == 2);
  // The holder is paused for longer than the grant is valid, then uses it.
  Now += seconds(30);
  RequestTraits Traits;
  Traits.Arrived_ = Now;
  Traits.Deadline_ = Now + seconds(5);
  Traits.IsRepeatable_ = false;
  Traits.Grant_ = Reply.Grant_;
  Issuer.addRequest(Traits, Now);
  Actions Late = Issuer.takeActions();
  REQUIRE(Late.size() == 1);
  CHECK(std::get<FinishRequest>(Late[0]).Code_ == ResultCode::GrantStale);
}
