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

/// A fleet in which homes change while requests are open on the VM in north.
class HomesFixture {
public:
  explicit HomesFixture(unsigned ServersPerZone)
      : Test_({{"north-a", "south-a"}, {"one"}, ServersPerZone, 1}) {
    Test_.Fleet_.changeSettings(0, {{"metrics", Metrics_.getAddress()}});
    setHomes({"north"});
    Test_.startAll();
    REQUIRE(waitForGauge("usable_servers", "one", 2 * ServersPerZone));
  }

  void setHomes(const json &Workspace, const json &Route = json::array()) {
    json Read = makeRoute("r-read", "/read/", "one", true, Timeout);
    Read["homeRegions"] = Route;
    Version_ = Test_.Fleet_.configure(
        json::array({Read}),
        json::array({makeWorkspace("acme", {"k1"}, Workspace)}));
  }

  bool waitForVersion() {
    return waitForGauge("config_version", "force", Version_);
  }

  bool waitForGauge(const std::string &Name, const std::string &Of,
                    unsigned Value) {
    std::string Line = "\ncranberry_" + Name + "{of=\"" + Of + "\"} " +
                       std::to_string(Value) + "\n";
    return SteeringFixture::waitUntil([&] { return hasMetric(Line); });
  }

  bool hasMetric(const std::string &Text) {
    ClientReply Reply = RouteClient(Metrics_.getAddress())
                            .call({"GET", "/metrics"}, seconds(5));
    return Reply.Body_.find(Text) != std::string::npos;
  }

  std::future<unsigned> callInThread(const std::string &Id) {
    return std::async(std::launch::async, [this, Id] {
      return RouteClient(Test_.Fleet_.vm(0).FrontLink_->getAddress())
          .call({"GET",
                 "/read/x",
                 Id,
                 "",
                 Timeout,
                 {{"Authorization", "Bearer k1"}}},
                2 * Timeout)
          .Status_;
    });
  }

  /// Starts a request that a server in north leaves unanswered.
  /// \return Link to that server.
  Link &hangInNorth(const std::string &Id, std::future<unsigned> &Status) {
    forEachInNorth([](FleetServer &Server) {
      Server.Server_->setFault(ResponseFault::Silent);
    });
    Status = callInThread(Id);
    REQUIRE(SteeringFixture::waitUntil(
        [&] { return Test_.getArrivals("north-a") == 1; }));
    Link *Result = nullptr;
    forEachInNorth([&](FleetServer &Server) {
      Server.Server_->setFault(ResponseFault::None);
      if (Server.Server_->getArrivals() == 1)
        Result = Server.Link_.get();
    });
    return *Result;
  }

  void releaseInNorth() {
    forEachInNorth([](FleetServer &Server) { Server.Server_->releaseHeld(); });
  }

  /// \return Zones in which a request ran.
  std::vector<std::string> getZones(const std::string &Id) {
    std::vector<std::string> Zones;
    for (FleetServer &Server : Test_.Fleet_.servers())
      for (const ServerRun &Run : Server.Server_->getRuns())
        if (Run.AttemptId_ == Id)
          Zones.push_back(Server.Zone_);
    return Zones;
  }

private:
  static constexpr Duration Timeout = seconds(20);

  template <typename F> void forEachInNorth(F Action) {
    for (FleetServer &Server : Test_.Fleet_.servers())
      if (Server.Zone_ == "north-a")
        Action(Server);
  }

  ReservedPort Metrics_; ///< Port for metrics of the VM in north.
  SteeringFixture Test_; ///< Fleet with one slot a server.
  unsigned Version_ = 0; ///< Last published configuration version.
};

using Zones = std::vector<std::string>;

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

TEST_CASE("workspace: a request that waits when its homes change doesn't run "
          "in the old ones, and one that is in flight goes on") {
  HomesFixture Test(1);
  std::future<unsigned> Running;
  Test.hangInNorth("first", Running);
  std::future<unsigned> Waiting = Test.callInThread("second");
  REQUIRE(Test.waitForGauge("waiting_requests", "one", 1));
  SECTION("to another region") {
    Test.setHomes({"south"});
    REQUIRE(Test.waitForVersion());
    Test.releaseInNorth();
    CHECK(Waiting.get() == 200);
    CHECK(Test.getZones("second") == Zones{"south-a"});
  }
  SECTION("to none") {
    Test.setHomes({"south"}, {"north"});
    REQUIRE(Test.waitForVersion());
    Test.releaseInNorth();
    CHECK(Waiting.get() == 503);
    CHECK(Test.hasMetric("result=\"homes-disjoint\""));
    CHECK(Test.getZones("second").empty());
  }
  CHECK(Running.get() == 200);
  CHECK(Test.getZones("first") == Zones{"north-a"});
}

TEST_CASE("workspace: a request whose homes change during its first attempt "
          "isn't retried in the old ones") {
  HomesFixture Test(2);
  std::future<unsigned> Status;
  Link &Path = Test.hangInNorth("id", Status);
  SECTION("to another region") {
    Test.setHomes({"south"});
    REQUIRE(Test.waitForVersion());
    Path.setMode(LinkMode::Cut);
    CHECK(Status.get() == 200);
    CHECK(Test.getZones("id") == Zones{"north-a", "south-a"});
  }
  SECTION("to none") {
    Test.setHomes({"south"}, {"north"});
    REQUIRE(Test.waitForVersion());
    Path.setMode(LinkMode::Cut);
    CHECK(Status.get() == 502);
    CHECK(Test.getZones("id") == Zones{"north-a"});
  }
}
