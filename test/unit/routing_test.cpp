/// \file routing_test.cpp Platform messages, routes and server registry.
#include "platform/decode_func.h"
#include "platform/wire_names.h"
#include "version/route_table_base.h"
#include "version/server_registry_base.h"

#include <catch2/catch.hpp>

using namespace cranberry;
using nlohmann::json;

namespace {

json makeConfig() {
  return {{"version", "0000001f"},
          {"routes",
           {{{"name", "r-1"},
             {"host", "Shop.Example"},
             {"pathPrefix", "/a/"},
             {"kind", "safe"},
             {"timeout", "1200ms"},
             {"targetLatency", "0.4s"},
             {"priority", 1},
             {"service", "one"},
             {"attempts", 2},
             {"stickySessions", true},
             {"homeRegions", {"north"}}},
            {{"name", "r-2"},
             {"host", "shop.example"},
             {"pathPrefix", "/a/b/"},
             {"kind", "unsafe"},
             {"timeout", "800ms"},
             {"targetLatency", "300ms"},
             {"priority", 0},
             {"trafficSplit",
              {{{"service", "one"}, {"weight", 90}},
               {{"service", "two"}, {"weight", 10}}}},
             {"attempts", 1},
             {"homeRegions", json::array()}}}},
          {"services",
           {{{"name", "one"},
             {"healthPath", "/health"},
             {"connectionLimit", 330},
             {"coldStart", "3s"},
             {"coldPerS", 11.5}}}},
          {"limits",
           {{"headerBytes", 16384},
            {"bodyBytes", 1000},
            {"headerTimeout", "3000ms"},
            {"idleTimeout", "15000ms"}}}};
}

json makeServer() {
  return {{"service", "one"},
          {"address", "10.0.0.1:80"},
          {"zone", "north-a"},
          {"version", "v1"},
          {"slots", 5},
          {"state", "ready"},
          {"coldRemaining", "2s"},
          {"sequence", 4},
          {"born", 1700000000000}};
}

platform::StoreObject makeObject(json Body, const std::string &Name = "main") {
  return {Name, 7, std::move(Body)};
}

ServerRecord makeRecord(const std::string &Id, bool IsDraining = false) {
  ServerRecord Record;
  Record.InstanceId_ = Id;
  Record.Service_ = "one";
  Record.Address_ = "10.0.0.1:80";
  Record.Zone_ = "north-a";
  Record.IsDraining_ = IsDraining;
  return Record;
}

std::set<std::string> getIds(const ServerRegistry &Registry) {
  std::set<std::string> Ids;
  for (const UsableServer &Server : Registry.getUsableServers())
    Ids.insert(Server.Record_.InstanceId_);
  return Ids;
}

using Ids = std::set<std::string>;

} // namespace

TEST_CASE("a configuration is decoded into routes, services and limits") {
  Reason Why;
  std::optional<RoutingConfig> Config =
      platform::decodeRouting(makeObject(makeConfig()), Why);
  REQUIRE(Config);
  CHECK(Config->Version_ == 0x1f);
  CHECK(Config->Revision_ == 7);
  REQUIRE(Config->Routes_.size() == 2);
  const RouteConfig &First = Config->Routes_[0];
  CHECK(First.Host_ == "shop.example");
  CHECK(First.IsIdempotent_);
  CHECK(First.Timeout_ == milliseconds(1200));
  CHECK(First.LatencyObjective_ == milliseconds(400));
  CHECK(First.MaxServers_ == 2);
  CHECK(First.HasAffinity_);
  CHECK(First.HomeRegions_ == std::vector<std::string>{"north"});
  const RouteConfig &Second = Config->Routes_[1];
  CHECK_FALSE(Second.IsIdempotent_);
  CHECK_FALSE(Second.HasAffinity_);
  REQUIRE(Second.TrafficSplit_.size() == 2);
  CHECK(Second.TrafficSplit_[1].Service_ == "two");
  CHECK(Second.TrafficSplit_[1].Weight_ == 10);
  CHECK(Config->Services_[0].ColdRate_ == 11.5);
  CHECK(Config->Limits_.BodyBytes_ == 1000);
}

TEST_CASE("a configuration with a malformed field is refused with the field's "
          "name") {
  struct Case {
    json::json_pointer Where_;
    json Value_;
    const char *Field_;
  };
  const Case Cases[] = {
      {"/version"_json_pointer, "xyz", "version"},
      {"/version"_json_pointer, 3, "version"},
      {"/routes"_json_pointer, "none", "routes"},
      {"/routes/0/host"_json_pointer, 5, "host"},
      {"/routes/0/timeout"_json_pointer, "soon", "timeout"},
      {"/routes/0/timeout"_json_pointer, 1200, "timeout"},
      {"/routes/0/attempts"_json_pointer, -1, "attempts"},
      {"/routes/0/priority"_json_pointer, "high", "priority"},
      {"/routes/0/stickySessions"_json_pointer, "yes", "stickySessions"},
      {"/routes/1/trafficSplit/0/weight"_json_pointer, "all", "weight"},
      {"/services/0/coldStart"_json_pointer, nullptr, "coldStart"},
      {"/limits/bodyBytes"_json_pointer, "big", "bodyBytes"},
      {"/limits/idleTimeout"_json_pointer, "15", "idleTimeout"},
  };
  for (const Case &Each : Cases) {
    json Body = makeConfig();
    Body[Each.Where_] = Each.Value_;
    INFO(Each.Where_.to_string());
    Reason Why;
    CHECK_FALSE(platform::decodeRouting(makeObject(Body), Why));
    CHECK(Why.Field_ == Each.Field_);
    CHECK(Why.Code_ == ResultCode::ObjectWrongType);
  }
}

TEST_CASE("a malformed server record is refused with the field's name") {
  Reason Why;
  std::optional<ServerRecord> Good =
      platform::decodeServer(makeObject(makeServer(), "i-1"), Why);
  REQUIRE(Good);
  CHECK(Good->InstanceId_ == "i-1");
  CHECK(Good->ColdRemaining_ == seconds(2));
  CHECK(Good->StartTimeMs_ == 1700000000000);
  const std::pair<const char *, json> Cases[] = {
      {"service", 3}, {"address", nullptr}, {"zone", json::array()},
      {"slots", "5"}, {"slots", 0},         {"state", "asleep"},
      {"state", 1},   {"coldRemaining", 3}, {"born", "now"},
  };
  for (const auto &[Field, Value] : Cases) {
    json Body = makeServer();
    Body[Field] = Value;
    INFO(Field << " " << Value.dump());
    CHECK_FALSE(platform::decodeServer(makeObject(Body, "i-1"), Why));
    CHECK(Why.Field_ == Field);
  }
  for (const json &Body : {json("text"), json(nullptr), json::array()})
    CHECK_FALSE(platform::decodeServer(makeObject(Body, "i-1"), Why));
}

TEST_CASE("malformed items of a list page are skipped and the others decoded") {
  std::string Good =
      R"({"metadata":{"name":"i-1","revision":3},"specification":{}})";
  Reason Why;
  std::optional<platform::StorePage> Page = platform::decodePage(
      R"({"items":[)" + Good +
          ",{\"metadata\":7},\"\xff\xfe\x01\",{\"metadata\":{\"name\":\"\xc3"
          "\",\"revision\":4},\"specification\":\"\x02\"}],"
          R"("hasMore":true,"storeRevision":9})",
      Why);
  REQUIRE(Page);
  CHECK(Page->HasMore_);
  CHECK(Page->Revision_ == 9);
  REQUIRE(Page->Objects_.size() == 2);
  CHECK(Page->Objects_[0].Name_ == "i-1");
  for (const char *Bad : {"", "[]", "{", R"({"items":3,"storeRevision":1})",
                          R"({"items":[],"storeRevision":"x"})"})
    CHECK_FALSE(platform::decodePage(Bad, Why));
}

TEST_CASE("a watch's changes are decoded in order") {
  Reason Why;
  std::optional<platform::StoreChanges> Changes = platform::decodeChanges(
      R"({"events":[{"removed":false,"object":{"metadata":{"name":"a",
          "revision":4},"specification":{"x":1}}},{"removed":true,"object":
          {"metadata":{"name":"b","revision":5}}},{"removed":true},7],
          "storeRevision":6})",
      Why);
  REQUIRE(Changes);
  CHECK(Changes->Revision_ == 6);
  REQUIRE(Changes->Changes_.size() == 2);
  CHECK(Changes->Changes_[0].Object_.Name_ == "a");
  CHECK_FALSE(Changes->Changes_[0].IsRemoved_);
  CHECK(Changes->Changes_[1].IsRemoved_);
}

TEST_CASE("the headers of client requests and server responses are decoded") {
  RequestMessage Request;
  Request.set(platform::header::AttemptId, "ab12");
  Request.set(platform::header::AffinityKey, "17");
  Request.set(platform::header::Deadline, "2000");
  platform::ClientRequestInfo Info = platform::decodeClientRequest(Request);
  CHECK(Info.AttemptId_ == "ab12");
  CHECK(Info.AffinityKey_ == "17");
  CHECK(Info.Timeout_ == Duration(seconds(2)));
  Request.set(platform::header::Deadline, "soon");
  CHECK_FALSE(platform::decodeClientRequest(Request).Timeout_);

  ResponseMessage Response;
  Response.result(421);
  CHECK(platform::decodeServerResponse(Response).IsNotExecuted_);
  Response.result(200);
  Response.set(platform::header::Load, "3,2,8,250");
  Response.set(platform::header::ColdRemaining, "1500");
  platform::ServerResponseInfo ServerInfo =
      platform::decodeServerResponse(Response);
  CHECK_FALSE(ServerInfo.IsNotExecuted_);
  CHECK_FALSE(ServerInfo.IsSigned_);
  REQUIRE(ServerInfo.Load_);
  CHECK(ServerInfo.Load_->Running_ == 3);
  CHECK(ServerInfo.Load_->Queued_ == 2);
  CHECK(ServerInfo.Load_->Interference_ == 2.5);
  CHECK(ServerInfo.ColdRemaining_ == Duration(milliseconds(1500)));
  for (const char *Bad : {"", "3", "3,2", "a,b,c", "-1,2,3"}) {
    Response.set(platform::header::Load, Bad);
    CHECK_FALSE(platform::decodeServerResponse(Response).Load_);
  }
}

TEST_CASE("a lookup query is decoded") {
  std::optional<platform::LookupQuery> Query = platform::decodeLookupQuery(
      "/api/lookup?name=a.example&region=north&zone=north-a");
  REQUIRE(Query);
  CHECK(Query->Region_ == "north");
  CHECK(Query->Zone_ == "north-a");
  CHECK(platform::decodeLookupQuery("/api/lookup"));
  CHECK_FALSE(platform::decodeLookupQuery("/api/lookups?name=a"));
}

TEST_CASE("the route with the longest prefix is found") {
  Reason Why;
  std::optional<RoutingConfig> Config =
      platform::decodeRouting(makeObject(makeConfig()), Why);
  REQUIRE(Config);
  RouteTable Table(*Config);
  CHECK(Table.find("shop.example", "/a/x") == 0U);
  CHECK(Table.find("SHOP.example:8080", "/a/") == 0U);
  CHECK(Table.find("shop.example", "/a/b/c?d=/e/") == 1U);
  CHECK(Table.find("shop.example", "/a/b?c") == 0U);
  CHECK_FALSE(Table.find("shop.example", "/a"));
  CHECK_FALSE(Table.find("shop.example", "/"));
  CHECK_FALSE(Table.find("shop.example", ""));
  CHECK_FALSE(Table.find("other.example", "/a/x"));
}

TEST_CASE(
    "a server that drains, leaves or has no record any more is not usable") {
  ServerRegistry Registry;
  Time Now{};
  CHECK_FALSE(Registry.isLoaded());
  Registry.applySnapshot({makeRecord("a"), makeRecord("b"), makeRecord("c")},
                         Now);
  CHECK(Registry.isLoaded());
  CHECK(getIds(Registry) == Ids{"a", "b", "c"});
  uint64_t Version = Registry.getVersion();
  Registry.applyChange({makeRecord("a", true), false}, Now);
  CHECK(Registry.getVersion() > Version);
  CHECK(getIds(Registry) == Ids{"b", "c"});
  CHECK(Registry.applyChange({makeRecord("b"), true}, Now) ==
        ServerChangeKind::UnexpectedRemoval);
  CHECK(getIds(Registry) == Ids{"c"});
  CHECK(Registry.applyChange({makeRecord("a"), true}, Now) ==
        ServerChangeKind::Expected);
  CHECK(Registry.recordLeaving("c", 0, Now));
  CHECK_FALSE(Registry.recordLeaving("c", 0, Now));
  CHECK(getIds(Registry).empty());
  // A later start time under the same id means a new server process.
  ServerRecord Restarted = makeRecord("c");
  Restarted.StartTimeMs_ = 5;
  Registry.applyChange({Restarted, false}, Now);
  CHECK(getIds(Registry) == Ids{"c"});
}

TEST_CASE("an unchanged server record does not change the registry's version") {
  ServerRegistry Registry;
  Time Now{};
  Registry.applyChange({makeRecord("a"), false}, Now);
  uint64_t Version = Registry.getVersion();
  Registry.applyChange({makeRecord("a"), false}, Now + seconds(1));
  CHECK(Registry.getVersion() == Version);
}

TEST_CASE("records that expire while the store is unavailable are kept for a "
          "grace period") {
  ServerRegistry Registry;
  Time Now{};
  Registry.applySnapshot(
      {makeRecord("a"), makeRecord("b"), makeRecord("d", true)}, Now);
  Registry.onStoreLost();
  Now += seconds(5);
  Registry.onStoreRestored(Now);
  Registry.applySnapshot({}, Now);
  CHECK(getIds(Registry) == Ids{"a", "b"});
  Now += ServerRegistry::ExpiryGracePeriod / 2;
  Registry.applyChange({makeRecord("a"), false}, Now);
  Registry.removeExpired(Now);
  CHECK(getIds(Registry) == Ids{"a", "b"});
  Now += ServerRegistry::ExpiryGracePeriod / 2;
  Registry.removeExpired(Now);
  // A server whose record is still missing is taken to have ended.
  CHECK(getIds(Registry) == Ids{"a"});
  // While the store is available, a removal takes effect at once.
  Registry.applyChange({makeRecord("a"), true}, Now);
  CHECK(getIds(Registry).empty());
}

TEST_CASE(
    "a zone that is evacuated has no usable servers and cold ones afterwards") {
  ServerRegistry Registry;
  Time Now{};
  Registry.applySnapshot({makeRecord("a")}, Now);
  Registry.setEvacuatedZones({"north-a"}, seconds(3), Now);
  CHECK(getIds(Registry).empty());
  Registry.applyChange({makeRecord("b"), false}, Now);
  CHECK(getIds(Registry).empty());
  Now += seconds(10);
  Registry.setEvacuatedZones({}, seconds(3), Now);
  REQUIRE(getIds(Registry) == Ids{"a", "b"});
  for (const UsableServer &Server : Registry.getUsableServers())
    CHECK(Server.ColdUntil_ == Now + seconds(3));
}
