/// \file departure_test.cpp Servers that leave or want no requests for a while.
#include "test/support/steering_fixture_base.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace cranberry;
using namespace cranberry::standin;
using namespace cranberry::test;
using nlohmann::json;

namespace {

/// Two entry VMs of a zone, and one client for each that sends without a pause.
class Fixture : public SteeringFixture {
public:
  Fixture() : SteeringFixture({{"north-a", "north-a"}, {"one"}, 3, 4}) {
    startAll();
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      Clients_.emplace_back([this, I] { runClient(I); });
  }

  ~Fixture() {
    IsStopping_ = true;
    for (std::thread &Each : Clients_)
      Each.join();
  }

  FleetServer &server(size_t Index) { return Fleet_.servers()[Index]; }

  void writeEntry(size_t Index, int64_t Born) {
    RoutedServer &Server = *server(Index).Server_;
    json Entry = Server.getEntry("one", "north-a", false, ++Sequence_);
    Entry["address"] = server(Index).Link_->getAddress();
    Entry["born"] = Born;
    Fleet_.store().put("servers", Server.getId(), Entry);
  }

  static void pause(Duration Length) { RouteClient("").pause(Length); }

  unsigned getArrivals(size_t Index) {
    return server(Index).Server_->getArrivals();
  }

  std::atomic<unsigned> Served_ = 0; ///< Requests that succeeded.
  std::atomic<unsigned> Failed_ = 0; ///< Requests that didn't.

private:
  void runClient(size_t Vm) {
    RouteClient Client(Fleet_.vm(Vm).FrontLink_->getAddress());
    for (unsigned I = 0; !IsStopping_; ++I) {
      std::string Id = std::to_string(Vm) + "-" + std::to_string(I);
      ClientReply Reply = Client.call(
          {"GET", "/read/x", Id, std::to_string(I % 20), seconds(1)},
          seconds(3));
      ++(Reply.Status_ == 200 ? Served_ : Failed_);
      if (Reply.Status_ != 200)
        Client.pause(milliseconds(20));
    }
  }

  unsigned Sequence_ = 100;              ///< Number of the last entry.
  std::atomic<bool> IsStopping_ = false; ///< Ends the clients.
  std::vector<std::thread> Clients_;     ///< One client for each entry VM.
};

/// Bound on the time from a VM's first answer that announces the departure to
/// the last request that it sends; the setting serverDrainMs.
constexpr Duration DrainBound = milliseconds(2000);

} // namespace

TEST_CASE("steering: a server that says it leaves gets no more requests, "
          "whatever the store says") {
  Fixture F;
  REQUIRE(F.waitUntil([&] { return F.getArrivals(0) > 20; }));
  F.server(0).Server_->setLeaving(true);
  F.pause(DrainBound);
  unsigned Before = F.getArrivals(0);
  SECTION("its entry is renewed") {
    for (int I = 0; I < 10; ++I) {
      F.writeEntry(0, 1);
      F.pause(milliseconds(100));
    }
  }
  SECTION("the store is away") {
    F.Fleet_.store().setMode(StoreMode::Refuse);
    F.pause(seconds(2));
    F.Fleet_.store().setMode(StoreMode::Serve);
    F.pause(seconds(1));
  }
  SECTION("its entry is removed and comes back") {
    F.Fleet_.unregisterServer(F.server(0));
    F.pause(milliseconds(1500));
    F.writeEntry(0, 1);
    F.pause(milliseconds(1500));
  }
  CHECK(F.getArrivals(0) == Before);
  F.server(0).Server_->setLeaving(false);
  F.writeEntry(0, 2); // A new start.
  CHECK(F.waitUntil([&] { return F.getArrivals(0) > Before + 5; }));
}

TEST_CASE("steering: if all servers say that they leave, requests are refused "
          "until one starts again") {
  Fixture F;
  REQUIRE(F.waitUntil([&] { return F.Served_ > 40; }));
  for (size_t I = 0; I < 3; ++I)
    F.server(I).Server_->setLeaving(true);
  F.pause(DrainBound);
  unsigned Before = F.getArrivals(0) + F.getArrivals(1) + F.getArrivals(2);
  unsigned Served = F.Served_;
  F.pause(seconds(1));
  CHECK(F.getArrivals(0) + F.getArrivals(1) + F.getArrivals(2) == Before);
  CHECK(F.Served_ == Served);
  F.server(1).Server_->setLeaving(false);
  F.writeEntry(1, 2);
  CHECK(F.waitUntil([&] { return F.Served_ > Served + 20; }));
}

TEST_CASE("steering: a server that refuses with Retry-After is left alone for "
          "that long") {
  Fixture F;
  REQUIRE(F.waitUntil([&] { return F.getArrivals(0) > 20; }));
  F.server(0).Server_->setRetryAfter("4");
  F.server(0).Server_->setFault(ResponseFault::Refuse);
  F.pause(milliseconds(700));
  unsigned Before = F.getArrivals(0);
  unsigned Failed = F.Failed_;
  // Each VM has been refused within the first half second and waits 4 s.
  F.pause(milliseconds(2800));
  CHECK(F.getArrivals(0) == Before);
  CHECK(F.Failed_ == Failed);
  F.server(0).Server_->setFault(ResponseFault::None);
  CHECK(F.waitUntil([&] { return F.getArrivals(0) > Before + 10; }));
}

TEST_CASE("steering: if all servers refuse with Retry-After, requests are "
          "refused without being sent") {
  Fixture F;
  REQUIRE(F.waitUntil([&] { return F.Served_ > 40; }));
  for (size_t I = 0; I < 3; ++I) {
    F.server(I).Server_->setRetryAfter("3.5");
    F.server(I).Server_->setFault(ResponseFault::Refuse);
  }
  F.pause(milliseconds(700));
  unsigned Before = F.getArrivals(0) + F.getArrivals(1) + F.getArrivals(2);
  unsigned Failed = F.Failed_;
  F.pause(seconds(2));
  CHECK(F.getArrivals(0) + F.getArrivals(1) + F.getArrivals(2) == Before);
  CHECK(F.Failed_ > Failed);
  for (size_t I = 0; I < 3; ++I)
    F.server(I).Server_->setFault(ResponseFault::None);
  unsigned Served = F.Served_;
  CHECK(F.waitUntil([&] { return F.Served_ > Served + 20; }));
}

TEST_CASE("report: running work of a server whose entry lapses is neither "
          "repeated nor given up") {
  SteeringFixture F({{"north-a"}, {"one"}, 2, 4, milliseconds(1500)});
  F.Fleet_.configure(
      json::array({makeRoute("r-read", "/read/", "one", true, seconds(4)),
                   makeRoute("r-pay", "/pay/", "one", false, seconds(4))}));
  F.startAll();
  std::atomic<int> Succeeded = 0;
  std::vector<std::thread> Clients;
  Clients.reserve(4);
  for (int I = 0; I < 4; ++I)
    Clients.emplace_back([&F, &Succeeded, I] {
      RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
      std::string Target = I % 2 == 0 ? "/read/x" : "/pay/x";
      ClientReply Reply =
          Client.call({"GET", Target, "lapse" + std::to_string(I),
                       std::to_string(I), seconds(4)},
                      seconds(10));
      Succeeded += Reply.Status_ == 200 ? 1 : 0;
    });
  auto GetRuns = [&F] {
    size_t Count = 0;
    for (FleetServer &Each : F.Fleet_.servers())
      Count += Each.Server_->getRuns().size();
    return Count;
  };
  CHECK(F.waitUntil([&] { return GetRuns() == 4; }));
  for (FleetServer &Each : F.Fleet_.servers())
    F.Fleet_.unregisterServer(Each);
  for (std::thread &Each : Clients)
    Each.join();
  CHECK(Succeeded == 4);
  CHECK(GetRuns() == 4);
}
