/// \file steering_test.cpp Steering of entry VM processes among stand-ins.
#include "net/ingress_server_base.h"
#include "standin/route_client_base.h"
#include "standin/routed_fleet_base.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace cranberry;
using namespace cranberry::standin;
using nlohmann::json;

namespace {

constexpr Duration WaitTimeout = seconds(20);

/// Temporary directory of one test; the destructor removes it.
struct TestDirectory {
  TestDirectory() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "cranberryXXXXXX").string();
    REQUIRE(mkdtemp(Pattern.data()));
    Path_ = Pattern;
  }
  ~TestDirectory() { std::filesystem::remove_all(Path_); }

  std::string Path_; ///< Path of the directory.
};

/// Fleet that serves "/read/" (idempotent) and "/pay/" (at most once).
struct Fixture {
  explicit Fixture(const FleetPlan &Plan = {{"north-a"}, {"one", "two"}})
      : Fleet_(Plan, std::string(PROGRAM_DIR) + "/cranberryd",
               Directory_.Path_) {
    Fleet_.configure(makeRoutes("one"));
  }

  static json makeRoutes(const std::string &Service) {
    return json::array(
        {makeRoute("r-read", "/read/", Service, true, seconds(3)),
         makeRoute("r-pay", "/pay/", "one", false, seconds(3))});
  }

  void startAll() {
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      Fleet_.start(I);
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      REQUIRE(Fleet_.waitReady(I, WaitTimeout));
  }

  std::string makeId() { return "id" + std::to_string(++Ids_); }

  ClientReply call(RouteClient &Client, const std::string &Target,
                   const std::string &Id, const std::string &Method = "GET") {
    return Client.call({Method, Target, Id, "7", seconds(3)}, seconds(10));
  }

  /// \return The lookup response of an entry VM's directory for clients of a
  /// region; null if it failed.
  json lookUp(size_t Vm, const std::string &Region = "north") {
    RouteClient Directory(Fleet_.vm(Vm).Directory_.getAddress());
    ClientReply Reply = Directory.call(
        {"GET", "/api/lookup?name=shop.example&region=" + Region +
                    "&zone=" + Region + "-a"},
        seconds(5));
    return Reply.Status_ == 200 ? json::parse(Reply.Body_) : json();
  }

  /// \return Whether the log of an entry VM contains \p Text.
  bool isLogged(size_t Vm, const std::string &Text) {
    std::ifstream File(Fleet_.getLogPath(Vm));
    std::stringstream All;
    All << File.rdbuf();
    return All.str().find(Text) != std::string::npos;
  }

  /// \return How often \p Id was run, over all servers.
  size_t countRuns(const std::string &Id) {
    size_t Count = 0;
    for (FleetServer &Each : Fleet_.servers())
      for (const ServerRun &Run : Each.Server_->getRuns())
        Count += Run.AttemptId_ == Id ? 1 : 0;
    return Count;
  }

  unsigned getArrivals(const std::string &Service) {
    unsigned Count = 0;
    for (FleetServer &Each : Fleet_.servers())
      Count += Each.Service_ == Service ? Each.Server_->getArrivals() : 0;
    return Count;
  }

  void setFaults(ResponseFault Fault) {
    for (FleetServer &Each : Fleet_.servers())
      Each.Server_->setFault(Fault);
  }

  template <typename F> static bool waitUntil(F Condition) {
    RouteClient Pauser("");
    Time End = getNow() + WaitTimeout;
    while (!Condition() && getNow() < End)
      Pauser.pause(milliseconds(10));
    return Condition();
  }

  TestDirectory Directory_; ///< Holds the settings and logs.
  RoutedFleet Fleet_;       ///< Fleet under test.
  int Ids_ = 0;             ///< Number of the last attempt id.
};

} // namespace

TEST_CASE("steering: a request gets its own complete response") {
  Fixture F;
  F.startAll();
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  for (int I = 0; I < 20; ++I) {
    std::string Id = F.makeId();
    ClientReply Reply = F.call(Client, "/read/x?q=1", Id);
    CHECK(Reply.Status_ == 200);
    CHECK(Reply.Body_ == Id + " /read/x?q=1");
    CHECK_FALSE(Reply.Signature_.empty());
  }
  CHECK(F.call(Client, "/other/x", F.makeId()).Status_ == 404);
}

TEST_CASE(
    "steering: a VM without a configuration reports that it is not ready") {
  Fixture F;
  F.Fleet_.store().setMode(StoreMode::Refuse);
  F.Fleet_.start(0);
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  RouteClient Ready(F.Fleet_.vm(0).Readiness_.getAddress());
  REQUIRE(F.waitUntil([&] {
    return Ready.call({"GET", "/api/readiness"}, seconds(1)).Status_ == 503;
  }));
  ClientReply Reply = F.call(Client, "/read/x", F.makeId());
  CHECK(Reply.Status_ == 503);
  CHECK(Reply.RetryAfter_ > 0);
  F.Fleet_.store().setMode(StoreMode::Serve);
  CHECK(F.Fleet_.waitReady(0, WaitTimeout));
  CHECK(F.call(Client, "/read/x", F.makeId()).Status_ == 200);
}

TEST_CASE("steering: a request that runs at most once is never repeated") {
  Fixture F;
  F.startAll();
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  for (ResponseFault Fault : {ResponseFault::Lose, ResponseFault::Unsigned}) {
    F.setFaults(Fault);
    std::string Id = F.makeId();
    ClientReply Reply = F.call(Client, "/pay/x", Id, "POST");
    CHECK(Reply.Status_ == 502);
    CHECK(F.countRuns(Id) == 1);
    Client.reset();
  }
  // If every server refuses, the request has not run anywhere.
  F.setFaults(ResponseFault::Refuse);
  std::string Id = F.makeId();
  ClientReply Refused = F.call(Client, "/pay/x", Id, "POST");
  CHECK(Refused.Status_ == 503);
  CHECK(Refused.RetryAfter_ > 0);
  CHECK(F.countRuns(Id) == 0);
  // An error that the server itself returns is passed to the client.
  F.setFaults(ResponseFault::Fail);
  Id = F.makeId();
  ClientReply Failed = F.call(Client, "/pay/x", Id, "POST");
  CHECK(Failed.Status_ == 500);
  CHECK_FALSE(Failed.Signature_.empty());
  CHECK(F.countRuns(Id) == 1);
}

TEST_CASE("steering: an idempotent request is finished by another server") {
  // The fleet has more servers than the route allows for one request.
  Fixture F({{"north-a"}, {"one", "two"}, 5});
  F.startAll();
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  std::vector<FleetServer> &Servers = F.Fleet_.servers();
  for (ResponseFault Fault : {ResponseFault::Lose, ResponseFault::Refuse,
                              ResponseFault::Fail, ResponseFault::Unsigned}) {
    Servers[0].Server_->setFault(Fault);
    for (int I = 0; I < 6; ++I) {
      std::string Id = F.makeId();
      CHECK(F.call(Client, "/read/x" + std::to_string(I), Id).Status_ == 200);
    }
  }
  // If every server refuses, the route's limit of servers still holds.
  F.setFaults(ResponseFault::Refuse);
  unsigned Before = F.getArrivals("one");
  CHECK(F.call(Client, "/read/x", F.makeId()).Status_ == 503);
  CHECK(F.getArrivals("one") - Before <= 2);
}

TEST_CASE("steering: a route's timeout ends a request whose server is silent") {
  Fixture F;
  json Routes = json::array(
      {makeRoute("r-pay", "/pay/", "one", false, milliseconds(300))});
  F.Fleet_.configure(Routes);
  F.startAll();
  F.setFaults(ResponseFault::Silent);
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  Time Start = getNow();
  std::string Id = F.makeId();
  CHECK(F.call(Client, "/pay/x", Id, "POST").Status_ == 504);
  CHECK(getNow() - Start >= milliseconds(300));
  CHECK(F.countRuns(Id) == 1);
}

TEST_CASE("steering: a client's disconnect cancels the request at the server") {
  Fixture F;
  for (FleetServer &Each : F.Fleet_.servers())
    Each.Server_->setServiceTime(seconds(2));
  F.startAll();
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  std::string Id = F.makeId();
  REQUIRE(Client.send({"GET", "/read/x", Id, "7", seconds(3)}));
  REQUIRE(F.waitUntil([&] { return F.countRuns(Id) == 1; }));
  Client.reset();
  CHECK(F.waitUntil([&] {
    unsigned Cancelled = 0;
    for (FleetServer &Each : F.Fleet_.servers())
      Cancelled += Each.Server_->getCancelled();
    return Cancelled == 1;
  }));
}

TEST_CASE("steering: a draining or removed server gets no new requests") {
  Fixture F;
  F.startAll();
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  std::vector<FleetServer> &Servers = F.Fleet_.servers();
  std::set<RoutedServer *> Left{Servers[0].Server_.get(),
                                Servers[1].Server_.get()};
  auto GetLeaving = [&Servers] { return Servers[0].Server_->getArrivals(); };
  for (bool IsRemoved : {false, true}) {
    INFO("removed: " << IsRemoved);
    F.Fleet_.registerServer(Servers[0]);
    REQUIRE(F.waitUntil([&] {
      unsigned Before = GetLeaving();
      for (int I = 0; I < 8; ++I)
        F.call(Client, "/read/x" + std::to_string(I), F.makeId());
      RouteClient Fresh(F.Fleet_.vm(0).FrontLink_->getAddress());
      for (int I = 0; I < 16; ++I)
        Fresh.call(
            {"GET", "/read/x", F.makeId(), std::to_string(I), seconds(3)},
            seconds(10));
      return GetLeaving() > Before;
    }));
    if (IsRemoved)
      F.Fleet_.unregisterServer(Servers[0]);
    else
      F.Fleet_.registerServer(Servers[0], true);
    Time Told = getNow();
    unsigned Last = GetLeaving();
    Time LastSeen = Told;
    for (int I = 0; getNow() < Told + milliseconds(2500); ++I) {
      ClientReply Reply = Client.call(
          {"GET", "/read/x", F.makeId(), std::to_string(I % 16), seconds(3)},
          seconds(10));
      CHECK(Reply.Status_ == 200);
      if (GetLeaving() != Last)
        LastSeen = getNow();
      Last = GetLeaving();
    }
    CHECK(LastSeen - Told < milliseconds(2000));
  }
}

TEST_CASE("steering: a configuration is in force soon and never goes back") {
  Fixture F({{"north-a", "north-b"}, {"one", "two"}});
  F.startAll();
  RouteClient First(F.Fleet_.vm(0).FrontLink_->getAddress());
  REQUIRE(F.call(First, "/read/x", F.makeId()).Status_ == 200);
  unsigned Before = F.getArrivals("two");
  CHECK(Before == 0);
  F.Fleet_.configure(Fixture::makeRoutes("two"));
  Time Told = getNow();
  for (size_t Vm = 0; Vm < 2; ++Vm) {
    RouteClient Client(F.Fleet_.vm(Vm).FrontLink_->getAddress());
    CHECK(F.waitUntil([&] {
      unsigned Old = F.getArrivals("one");
      return F.call(Client, "/read/x", F.makeId()).Status_ == 200 &&
             F.getArrivals("one") == Old;
    }));
  }
  CHECK(getNow() - Told < milliseconds(2500));
  unsigned Old = F.getArrivals("one");
  for (int I = 0; I < 20; ++I)
    F.call(First, "/read/x", F.makeId());
  CHECK(F.getArrivals("one") == Old);
}

TEST_CASE(
    "steering: an evacuated zone gets no requests until the evacuation ends") {
  Fixture F({{"north-a", "north-b"}, {"one"}});
  F.startAll();
  F.Fleet_.store().put("evacuations", "north-a", json::object());
  auto GetInZone = [&F] {
    unsigned Count = 0;
    for (FleetServer &Each : F.Fleet_.servers())
      Count += Each.Zone_ == "north-a" ? Each.Server_->getArrivals() : 0;
    return Count;
  };
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  REQUIRE(F.waitUntil([&] {
    unsigned Before = GetInZone();
    for (int I = 0; I < 8; ++I)
      Client.call({"GET", "/read/x", F.makeId(), std::to_string(I), seconds(3)},
                  seconds(10));
    return GetInZone() == Before;
  }));
  unsigned Before = GetInZone();
  for (int I = 0; I < 40; ++I)
    CHECK(
        Client
            .call({"GET", "/read/x", F.makeId(), std::to_string(I), seconds(3)},
                  seconds(10))
            .Status_ == 200);
  CHECK(GetInZone() == Before);
  F.Fleet_.store().remove("evacuations", "north-a");
  CHECK(F.waitUntil([&] {
    for (int I = 0; I < 8; ++I)
      Client.call({"GET", "/read/x", F.makeId(), std::to_string(I), seconds(3)},
                  seconds(10));
    return GetInZone() > Before;
  }));
}

TEST_CASE(
    "steering: a planned stop fails no request and leaves the directory") {
  Fixture F({{"north-a", "north-a"}, {"one"}});
  for (FleetServer &Each : F.Fleet_.servers())
    Each.Server_->setServiceTime(milliseconds(400));
  F.startAll();
  auto GetNamed = [&F] { return F.lookUp(1)["addresses"].size(); };
  REQUIRE(F.waitUntil([&] { return GetNamed() == 2; }));
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  REQUIRE(F.call(Client, "/read/x", F.makeId()).Status_ == 200);
  F.Fleet_.vm(0).Process_->signal(SIGTERM);
  // Uses the open connection while the VM is leaving.
  ClientReply Reply = F.call(Client, "/read/x", F.makeId());
  CHECK(Reply.Status_ == 200);
  CHECK(F.waitUntil([&] { return GetNamed() == 1; }));
  CHECK(F.Fleet_.vm(0).Process_->wait() == 0);
  CHECK_FALSE(F.Fleet_.store().contains("entry-vms", "vm-0"));
}

TEST_CASE("steering: a killed VM leaves the directory, and returns to it") {
  Fixture F({{"north-a", "north-a", "south-a"}, {"one"}});
  F.startAll();
  auto GetNamed = [&F] { return F.lookUp(1)["addresses"].size(); };
  REQUIRE(F.waitUntil([&] { return GetNamed() == 2; }));
  F.Fleet_.vm(0).Process_->signal(SIGKILL);
  Time Killed = getNow();
  CHECK(F.waitUntil([&] { return GetNamed() == 1; }));
  CHECK(getNow() - Killed < seconds(6));
  F.Fleet_.start(0);
  REQUIRE(F.Fleet_.waitReady(0, WaitTimeout));
  CHECK(F.waitUntil([&] { return GetNamed() == 2; }));
}

TEST_CASE("steering: a VM that starts names no VMs of other regions") {
  Fixture F({{"north-a", "south-a"}, {"one"}});
  F.Fleet_.store().remove("config", "main");
  ReservedPort Metrics;
  F.Fleet_.changeSettings(0, {{"metrics", Metrics.getAddress()}});
  auto CountOtherRegions = [&Metrics] {
    std::string Text = RouteClient(Metrics.getAddress())
                           .call({"GET", "/metrics"}, seconds(5))
                           .Body_;
    std::string Name = "\ncranberry_other_region_lookups_total ";
    size_t At = Text.find(Name);
    return At == std::string::npos ? -1
                                   : std::stoi(Text.substr(At + Name.size()));
  };
  for (size_t I = 0; I < F.Fleet_.getVmCount(); ++I)
    F.Fleet_.start(I);
  REQUIRE(F.waitUntil([&] { return !F.lookUp(0, "south").is_null(); }));
  CHECK(F.lookUp(0, "north").is_null());
  CHECK(F.lookUp(0, "west").is_null());
  CHECK(CountOtherRegions() == 0);
  F.Fleet_.configure(F.makeRoutes("one"));
  REQUIRE(F.Fleet_.waitReady(0, WaitTimeout));
  CHECK(F.lookUp(0, "north")["addresses"].size() == 1);
  CHECK_FALSE(F.lookUp(0, "west").is_null());
  CHECK(CountOtherRegions() == 1);
}

TEST_CASE(
    "steering: servers that expire in a store outage are kept for a while") {
  Fixture F;
  F.startAll();
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  F.Fleet_.store().setMode(StoreMode::Refuse);
  RouteClient Pauser("");
  Pauser.pause(milliseconds(1500));
  for (FleetServer &Each : F.Fleet_.servers())
    F.Fleet_.unregisterServer(Each);
  CHECK(F.call(Client, "/read/x", F.makeId()).Status_ == 200);
  F.Fleet_.store().setMode(StoreMode::Serve);
  for (int I = 0; I < 10; ++I) {
    CHECK(F.call(Client, "/read/x", F.makeId()).Status_ == 200);
    Pauser.pause(milliseconds(50));
  }
  // Servers that do not register again are removed.
  CHECK(F.waitUntil(
      [&] { return F.call(Client, "/read/x", F.makeId()).Status_ == 503; }));
}

TEST_CASE("steering: another server at a known address runs nothing") {
  Fixture F({{"north-a"}, {"one"}});
  F.startAll();
  std::vector<FleetServer> &Servers = F.Fleet_.servers();
  // The first server's address now leads to another server instance.
  RoutedServer Other("i-other", 4, milliseconds(5));
  Servers[0].Link_->setTarget(Other.getAddress());
  Servers[0].Link_->setMode(LinkMode::Cut);
  Servers[0].Link_->setMode(LinkMode::Pass);
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  for (int I = 0; I < 40; ++I)
    CHECK(
        Client
            .call({"GET", "/read/x", F.makeId(), std::to_string(I), seconds(3)},
                  seconds(10))
            .Status_ == 200);
  CHECK(Other.getRuns().empty());
}

TEST_CASE("steering: changed settings are applied with and without SIGHUP") {
  Fixture F({{"north-a"}, {"one"}});
  F.startAll();
  REQUIRE(F.lookUp(0)["ttl"] == "5000ms");
  F.Fleet_.changeSettings(0, {{"lookupTtlMs", 1500}});
  CHECK(F.waitUntil([&F] { return F.lookUp(0)["ttl"] == "1500ms"; }));
  F.Fleet_.changeSettings(0, {{"lookupTtlMs", 700}, {"maxBodyKb", 5}});
  F.Fleet_.vm(0).Process_->signal(SIGHUP);
  CHECK(F.waitUntil([&F] { return F.lookUp(0)["ttl"] == "700ms"; }));
  CHECK(F.waitUntil(
      [&F] { return F.isLogged(0, R"("needRestart":"maxBodyKb")"); }));
  // An invalid file leaves the settings unchanged.
  F.Fleet_.changeSettings(0, {{"lookupTtlMs", "soon"}});
  F.Fleet_.vm(0).Process_->signal(SIGHUP);
  CHECK(F.waitUntil(
      [&F] { return F.isLogged(0, R"("event":"settings-refused")"); }));
  CHECK(F.lookUp(0)["ttl"] == "700ms");
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  CHECK(F.call(Client, "/read/x", F.makeId()).Status_ == 200);
}

TEST_CASE("steering: the tool explains the end of a request from the log") {
  Fixture F({{"north-a"}, {"one"}});
  F.startAll();
  RouteClient Client(F.Fleet_.vm(0).FrontLink_->getAddress());
  F.setFaults(ResponseFault::Lose);
  std::string Lost = F.makeId();
  CHECK(F.call(Client, "/pay/x", Lost, "POST").Status_ == 502);
  F.setFaults(ResponseFault::None);
  std::string Served = F.makeId();
  CHECK(F.call(Client, "/read/x", Served).Status_ == 200);
  std::string Out = F.Directory_.Path_ + "/explanation";
  const std::string Program = PROGRAM_DIR "/cranberryctl";
  auto Explain = [&](const std::string &Id) {
    ChildProcess Tool(
        {Program, "explain", Id, "--file", F.Fleet_.getLogPath(0)}, Out, Out);
    int Code = Tool.wait();
    std::ifstream File(Out);
    std::stringstream Text;
    Text << File.rdbuf();
    return std::make_pair(Code, Text.str());
  };
  REQUIRE(F.waitUntil([&] { return F.isLogged(0, Served); }));
  auto [LostCode, LostText] = Explain(Lost);
  CHECK(LostCode == 0);
  CHECK(LostText.find("cause: sent, but no answer came") != std::string::npos);
  CHECK(LostText.find("ended broken") != std::string::npos);
  CHECK(Explain(Served).second.find("cause: answered in time") !=
        std::string::npos);
  CHECK(Explain("unheard-of").first == 1);
}

TEST_CASE("steering: invalid settings are reported with their result code") {
  TestDirectory Directory;
  const std::pair<json, const char *> Rows[] = {
      {{{"vm", "a"}}, "106"},
      {{{"unknown", 1}}, "103"},
      {{{"directory", 5}}, "104"},
      {{{"stopGraceMs", "soon"}}, "104"},
      {{{"stopGraceMs", "1ms"}}, "105"},
      {{{"repeatRatio", -1}}, "105"},
      {{{"zones", {{"a", 3}}}}, "104"},
  };
  for (const auto &[Settings, Code] : Rows) {
    std::string Path = Directory.Path_ + "/settings.json";
    std::string Log = Directory.Path_ + "/log";
    std::filesystem::remove(Log);
    std::ofstream(Path) << Settings.dump();
    ChildProcess Process(
        {std::string(PROGRAM_DIR) + "/cranberryd", "--settings", Path}, Log,
        Log);
    CHECK(Process.wait() == 2);
    std::ifstream File(Log);
    std::string Line;
    std::getline(File, Line);
    INFO(Settings.dump() << ": " << Line);
    CHECK(Line.find(Code) != std::string::npos);
  }
}
