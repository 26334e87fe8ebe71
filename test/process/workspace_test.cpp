/// \file workspace_test.cpp Requests of workspaces through entry VM processes.
#include "test/support/steering_fixture_base.h"

#include <future>

using namespace cranberry;
using namespace cranberry::standin;
using cranberry::test::SteeringFixture;
using nlohmann::json;

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

constexpr const char *NameField = "X-Cranberrypost-Tenant-Name";

json makeRoutes() {
  json Anonymous = makeRoute("r-open", "/open/", "one", true, seconds(3));
  Anonymous["anonymous"] = true;
  return json::array(
      {makeRoute("r-read", "/read/", "one", true, seconds(3)), Anonymous});
}

json makeWorkspace(const std::string &Name, const json &Keys,
                   const json &Homes = json::array()) {
  return {{"name", Name},
          {"apiKeys", Keys},
          {"priority", 1},
          {"homeRegions", Homes}};
}

/// Sends requests and finds where they ran.
struct Caller {
  explicit Caller(RoutedFleet &Fleet, std::string Prefix = "id")
      : Fleet_(Fleet), Prefix_(std::move(Prefix)) {}

  ClientReply call(size_t Vm, const std::string &Target, Fields Extra) {
    Id_ = Prefix_ + std::to_string(++Count_);
    RouteClient Client(Fleet_.vm(Vm).FrontLink_->getAddress());
    return Client.call({"GET", Target, Id_, "", seconds(3), std::move(Extra)},
                       seconds(10));
  }

  unsigned getStatus(size_t Vm, const std::string &Key) {
    return call(Vm, "/read/x", {{"Authorization", "Bearer " + Key}}).Status_;
  }

  /// \return Run of the last request and the zone of its server.
  std::pair<ServerRun, std::string> getRun() {
    for (FleetServer &Server : Fleet_.servers())
      for (const ServerRun &Run : Server.Server_->getRuns())
        if (Run.AttemptId_ == Id_)
          return {Run, Server.Zone_};
    return {};
  }

  RoutedFleet &Fleet_; ///< Fleet under test.
  std::string Prefix_; ///< Begin of the ids.
  std::string Id_;     ///< Id of the last request.
  int Count_ = 0;      ///< Number of requests.
};

} // namespace

TEST_CASE("workspace: a request is served under its workspace's key") {
  SteeringFixture Test({{"north-a"}, {"one"}});
  Test.Fleet_.configure(makeRoutes(),
                        json::array({makeWorkspace("acme", {"k1", "k2"})}));
  Test.startAll();
  Caller Client(Test.Fleet_);
  CHECK(Client.call(0, "/read/x", {{"Authorization", "Bearer k2"}}).Status_ ==
        200);
  CHECK(Client.getRun().first.Workspace_ == "acme");
  CHECK_FALSE(Client.getRun().first.HasCredentials_);

  // Neither a name that the client sends nor its key reaches a server.
  CHECK(Client
            .call(0, "/read/x",
                  {{"authorization", "bearer  k1"},
                   {NameField, "other"},
                   {"x-cranberrypost-TENANT-name", "another"},
                   {"Connection", std::string("keep-alive, ") + NameField}})
            .Status_ == 200);
  CHECK(Client.getRun().first.Workspace_ == "acme");
  CHECK_FALSE(Client.getRun().first.HasCredentials_);

  // Nor does a Connection option take away what servers rely on.
  CHECK(Client
            .call(0, "/read/x",
                  {{"Authorization", "Bearer k1"},
                   {"Connection", "X-Cranberrypost-Attempt-Id, host"}})
            .Status_ == 200);
  CHECK(Client.getRun().first.AttemptId_ == Client.Id_);

  CHECK(Client.call(0, "/open/x", {{NameField, "acme"}}).Status_ == 200);
  CHECK(Client.getRun().first.Workspace_.empty());

  for (const Fields &Bad : std::vector<Fields>{
           {},
           {{"Authorization", "Bearer k3"}},
           {{"Authorization", "Basic k1"}},
           {{"Authorization", "Bearer k1"}, {"Authorization", "Bearer k1"}}}) {
    CHECK(Client.call(0, "/read/x", Bad).Status_ == 401);
    CHECK(Client.getRun().first.AttemptId_.empty());
  }
}

TEST_CASE("workspace: requests stay in the homes of their workspace") {
  SteeringFixture Test({{"north-a", "south-a"}, {"one"}});
  Test.Fleet_.configure(
      makeRoutes(), json::array({makeWorkspace("acme", {"k1"}, {"south"}),
                                 makeWorkspace("lost", {"k2"}, {"nowhere"})}));
  Test.startAll();
  Caller Client(Test.Fleet_);
  for (size_t Vm : {0, 1}) {
    CHECK(Client.getStatus(Vm, "k1") == 200);
    CHECK(Client.getRun().second == "south-a");
    CHECK(Client.getStatus(Vm, "k2") == 503);
    CHECK(Client.getRun().first.AttemptId_.empty());
  }
}

TEST_CASE("workspace: a withdrawn key is refused by every VM") {
  SteeringFixture Test({{"north-a", "north-a", "south-a"}, {"one"}});
  Test.Fleet_.configure(makeRoutes(),
                        json::array({makeWorkspace("acme", {"k1", "k2"})}));
  Test.startAll();
  Caller Client(Test.Fleet_);
  for (size_t Vm = 0; Vm < Test.Fleet_.getVmCount(); ++Vm)
    REQUIRE(Client.getStatus(Vm, "k1") == 200);
  Test.Fleet_.configure(makeRoutes(),
                        json::array({makeWorkspace("acme", {"k2", "k3"})}));
  SteeringFixture::waitForPropagation();
  for (size_t Vm = 0; Vm < Test.Fleet_.getVmCount(); ++Vm) {
    CHECK(Client.getStatus(Vm, "k1") == 401);
    CHECK(Client.getStatus(Vm, "k2") == 200);
    CHECK(Client.getStatus(Vm, "k3") == 200);
  }
}

TEST_CASE("workspace: a request that waits when its key is withdrawn is "
          "refused, and one that runs is answered") {
  FleetPlan Plan{{"north-a"}, {"one"}};
  Plan.ServersPerZone_ = 1;
  Plan.Slots_ = 1;
  Plan.ServiceTime_ = milliseconds(1000);
  SteeringFixture Test(Plan);
  Test.Fleet_.configure(makeRoutes(),
                        json::array({makeWorkspace("acme", {"k1"})}));
  Test.startAll();
  Caller First(Test.Fleet_, "first");
  Caller Second(Test.Fleet_, "second");
  auto CallInThread = [](Caller &Client) {
    return std::async(std::launch::async,
                      [&Client] { return Client.getStatus(0, "k1"); });
  };
  std::future<unsigned> Running = CallInThread(First);
  REQUIRE(SteeringFixture::waitUntil(
      [&] { return Test.Fleet_.servers()[0].Server_->getArrivals() == 1; }));
  std::future<unsigned> Waiting = CallInThread(Second);
  // A request that arrives after the change is refused as well.
  RouteClient("").pause(milliseconds(100));
  Test.Fleet_.configure(makeRoutes(),
                        json::array({makeWorkspace("acme", {"k2"})}));
  CHECK(Waiting.get() == 401);
  CHECK(Running.get() == 200);
  CHECK(Second.getRun().first.AttemptId_.empty());
}
