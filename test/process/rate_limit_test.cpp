/// \file rate_limit_test.cpp Servers that limit their request rate.
#include "test/support/rate_check_base.h"
#include "test/support/steering_fixture_base.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace cranberry;
using namespace cranberry::standin;
using namespace cranberry::test;

namespace {

constexpr double Limit = 5; ///< Requests per second that servers name.

/// Three entry VMs of one zone and one of another region, with clients that
/// send without a pause.
class Fixture : public SteeringFixture {
public:
  Fixture()
      : SteeringFixture(
            {{"north-a", "north-a", "north-a", "south-a"}, {"one"}, 2, 8}) {
    startAll();
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      Clients_.emplace_back([this, I] { runClient(I); });
  }

  ~Fixture() {
    IsStopping_ = true;
    for (std::thread &Each : Clients_)
      Each.join();
  }

  /// Sets the limit of both servers in zone north-a.
  void setLimit(std::optional<double> PerSecond) {
    for (size_t I : {0, 1})
      Fleet_.servers()[I].Server_->setRateLimit(PerSecond);
  }

  std::vector<Time> getRunTimes(size_t Server) {
    std::vector<Time> Result;
    for (const ServerRun &Run : Fleet_.servers()[Server].Server_->getRuns())
      Result.push_back(Run.At_);
    return Result;
  }

  void pause(Duration Length) { RouteClient("").pause(Length); }

private:
  void runClient(size_t Vm) {
    RouteClient Client(Fleet_.vm(Vm).FrontLink_->getAddress());
    for (unsigned I = 0; !IsStopping_; ++I) {
      std::string Id = std::to_string(Vm) + "-" + std::to_string(I);
      ClientReply Reply = Client.call(
          {"GET", "/read/x", Id, std::to_string(I % 20), seconds(1)},
          seconds(3));
      if (Reply.Status_ != 200)
        Client.pause(milliseconds(20));
    }
  }

  std::atomic<bool> IsStopping_ = false; ///< Ends the clients.
  std::vector<std::thread> Clients_;     ///< One client for each entry VM.
};

} // namespace

TEST_CASE("steering: VMs together send a server no more than the rate that it "
          "names") {
  Fixture F;
  F.setLimit(Limit);
  F.pause(RateSettleTime);
  Time From = getNow();
  F.pause(seconds(6));
  for (size_t Server : {0, 1}) {
    std::vector<Time> Runs = F.getRunTimes(Server);
    CHECK(getPeakRuns(Runs, From) <= getAllowedRuns(Limit));
    // The limit is used, not avoided.
    CHECK(countRuns(Runs, From, From + seconds(6)) >= 6 * Limit / 2);
  }
  F.setLimit(std::nullopt);
  F.pause(RateSettleTime);
  From = getNow();
  F.pause(seconds(2));
  for (size_t Server : {0, 1})
    CHECK(countRuns(F.getRunTimes(Server), From, getNow()) > 2 * 2 * Limit);
}
