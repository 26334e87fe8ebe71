/// \file planned_stop_test.cpp Requests around the planned stop of an entry VM.
#include "test/support/steering_fixture_base.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

using namespace cranberry;
using namespace cranberry::standin;
using namespace cranberry::test;
using nlohmann::json;

namespace {

constexpr Duration Grace = seconds(4); ///< The setting stopGraceMs.

/// One entry VM that serves "/read/" (idempotent) and "/pay/" (at most once).
class Fixture : public SteeringFixture {
public:
  /// \param Timeout Timeout of both routes.
  /// \param ServiceTime Time that the servers take.
  Fixture(Duration Timeout, Duration ServiceTime)
      : SteeringFixture({{"north-a"}, {"one"}, 4, 50, ServiceTime}) {
    Fleet_.configure(
        json::array({makeRoute("r-read", "/read/", "one", true, Timeout),
                     makeRoute("r-pay", "/pay/", "one", false, Timeout)}));
    startAll();
  }

  /// \return How often each attempt was run, over all servers.
  std::map<std::string, unsigned> countRuns() {
    std::map<std::string, unsigned> Result;
    for (FleetServer &Each : Fleet_.servers())
      for (const ServerRun &Run : Each.Server_->getRuns())
        ++Result[Run.AttemptId_];
    return Result;
  }

  std::string getAddress() { return Fleet_.vm(0).FrontLink_->getAddress(); }
};

} // namespace

// Guards against requests that a stopping VM accepted late, passed on and cut
// without a response.
TEST_CASE("report: a request that a stopping VM passes on gets its response") {
  Fixture F(milliseconds(2500), milliseconds(1500));
  std::mutex Mutex;
  std::map<std::string, ClientReply> Replies;
  std::atomic<bool> IsOver = false;
  std::vector<std::thread> Clients;
  constexpr int ClientCount = 20;
  Clients.reserve(ClientCount);
  for (int I = 0; I < ClientCount; ++I)
    Clients.emplace_back([&, I] {
      RouteClient Client(F.getAddress());
      Client.pause(milliseconds(45) * I);
      for (int Number = 0; !IsOver; ++Number) {
        std::string Id = std::to_string(I) + "-" + std::to_string(Number);
        std::string Target = I % 2 == 0 ? "/read/x" : "/pay/x";
        ClientReply Reply = Client.call(
            {"GET", Target, Id, std::to_string(I), seconds(10)}, seconds(10));
        std::lock_guard<std::mutex> Lock(Mutex);
        Replies[Id] = Reply;
        if (Reply.Status_ != 200)
          Client.pause(milliseconds(30));
      }
    });
  RouteClient("").pause(seconds(1));
  F.Fleet_.vm(0).Process_->signal(SIGTERM);
  CHECK(F.Fleet_.vm(0).Process_->wait() == 0);
  IsOver = true;
  for (std::thread &Each : Clients)
    Each.join();
  std::map<std::string, unsigned> Runs = F.countRuns();
  CHECK(Runs.size() > ClientCount);
  for (const auto &[Id, Count] : Runs) {
    CAPTURE(Id);
    CHECK(Count == 1);
    CHECK(Replies[Id].Status_ == 200);
  }
  for (const auto &[Id, Reply] : Replies)
    if (Reply.Status_ != 200)
      CHECK_FALSE(Runs.contains(Id));
}

// Guards against requests that were open when the stop began and whose
// connections ended without a response at its end.
TEST_CASE("report: a request that outlasts the stop of its VM gets a response "
          "of unknown outcome") {
  Fixture F(seconds(20), seconds(30));
  std::atomic<unsigned> Unknown = 0;
  std::vector<std::thread> Clients;
  constexpr int ClientCount = 8;
  Clients.reserve(ClientCount);
  for (int I = 0; I < ClientCount; ++I)
    Clients.emplace_back([&, I] {
      RouteClient Client(F.getAddress());
      std::string Target = I % 2 == 0 ? "/read/x" : "/pay/x";
      ClientReply Reply =
          Client.call({"GET", Target, "long-" + std::to_string(I),
                       std::to_string(I), seconds(20)},
                      seconds(25));
      Unknown += Reply.Status_ == 504 ? 1 : 0;
    });
  CHECK(F.waitUntil([&] { return F.countRuns().size() == ClientCount; }));
  Time Begin = getNow();
  F.Fleet_.vm(0).Process_->signal(SIGTERM);
  CHECK(F.Fleet_.vm(0).Process_->wait() == 0);
  CHECK(getNow() - Begin < Grace);
  for (std::thread &Each : Clients)
    Each.join();
  CHECK(Unknown == ClientCount);
}
