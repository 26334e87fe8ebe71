/// \file workspace_test.cpp API keys, homes and ranks of workspaces.
#include "platform/decode_func.h"
#include "workspace/access_check_func.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cranberry;
using nlohmann::json;

namespace {

WorkspaceConfig makeWorkspace(const std::string &Name,
                              const std::vector<std::string> &Keys) {
  WorkspaceConfig Result;
  Result.Name_ = Name;
  for (const std::string &Key : Keys)
    Result.Keys_.emplace_back(Key);
  return Result;
}

RoutingConfig makeConfig(std::vector<WorkspaceConfig> Workspaces) {
  RoutingConfig Result;
  Result.HasWorkspaces_ = true;
  Result.Workspaces_ = std::move(Workspaces);
  return Result;
}

ClientKey makeKey(const std::string &Text) {
  return {ClientKeyForm::Key, WorkspaceKeyDigest(Text),
          getKeyFingerprint(Text)};
}

/// \return Result of a request with \p Key, with the workspace's name behind
/// it if it is admitted.
std::string check(const RoutingConfig &Config, const RouteConfig &Route,
                  const ClientKey &Key, bool IsConfigCurrent = true) {
  AccessDecision Access =
      checkAccess(Config, WorkspaceTable(Config), Route, Key, IsConfigCurrent);
  std::string Name = Access.Workspace_ ? Access.Workspace_->Name_ : "-";
  return Access.Code_ == ResultCode::Ok
             ? "ok " + Name
             : std::to_string(static_cast<unsigned>(Access.Code_));
}

RequestMessage makeRequest(const std::vector<std::string> &Credentials) {
  RequestMessage Result;
  for (const std::string &Each : Credentials)
    Result.insert(boost::beast::http::field::authorization, Each);
  return Result;
}

std::optional<RoutingConfig> decode(const json &Tenants, Reason &Why) {
  platform::StoreObject Object;
  Object.Name_ = "main";
  Object.Revision_ = 1;
  Object.Body_ = {{"version", "0000000c"},
                  {"routes", json::array()},
                  {"services", json::array()},
                  {"tenants", Tenants}};
  return platform::decodeRouting(Object, Why);
}

} // namespace

TEST_CASE("workspace: a key identifies the workspace that holds it") {
  RoutingConfig Config = makeConfig(
      {makeWorkspace("a", {"ka1", "ka2"}), makeWorkspace("b", {"kb", "both"}),
       makeWorkspace("c", {"both", "twice", "twice"})});
  RouteConfig Route;
  CHECK(check(Config, Route, makeKey("ka1")) == "ok a");
  CHECK(check(Config, Route, makeKey("ka2")) == "ok a");
  CHECK(check(Config, Route, makeKey("kb")) == "ok b");
  CHECK(check(Config, Route, makeKey("twice")) == "ok c");
  CHECK(check(Config, Route, makeKey("both")) == "337");
  CHECK(check(Config, Route, makeKey("KA1")) == "337");
  CHECK(check(Config, Route, {}) == "336");
  CHECK(check(Config, Route, {ClientKeyForm::Malformed, {}, {}}) == "336");
  CHECK(WorkspaceTable(Config).getAmbiguousKeyCount() == 1);
}

TEST_CASE("workspace: an unknown key is not refused for good by a VM that may "
          "be behind") {
  RoutingConfig Config = makeConfig({makeWorkspace("a", {"ka"})});
  CHECK(check(Config, {}, makeKey("new"), false) == "338");
  CHECK(check(Config, {}, makeKey("ka"), false) == "ok a");
  // A newer version may serve the route without a key.
  CHECK(check(Config, {}, {}, false) == "338");
  CHECK(check(Config, {}, {ClientKeyForm::Malformed, {}, {}}, false) == "338");
  CHECK(check(Config, {}, {}, true) == "336");
}

TEST_CASE("workspace: anonymous routes need no key") {
  RoutingConfig Config = makeConfig({makeWorkspace("a", {"ka"})});
  RouteConfig Route;
  Route.IsAnonymous_ = true;
  CHECK(check(Config, Route, {}) == "ok -");
  CHECK(check(Config, Route, makeKey("ka")) == "ok a");
  CHECK(check(Config, Route, makeKey("other")) == "ok -");
}

TEST_CASE("workspace: a configuration without workspaces asks for no keys") {
  CHECK(check({}, {}, {}) == "ok -");
  CHECK(check({}, {}, makeKey("any")) == "ok -");
  // A configuration whose workspaces are all invalid must not open the routes.
  CHECK(check(makeConfig({}), {}, makeKey("any")) == "337");
}

TEST_CASE("workspace: the homes of route and workspace both bind") {
  RouteConfig Route;
  WorkspaceConfig Workspace;
  CHECK(getAllowedRegions(Route, nullptr).Regions_.empty());
  CHECK(getAllowedRegions(Route, &Workspace).Regions_.empty());
  Route.HomeRegions_ = {"north", "south"};
  CHECK(getAllowedRegions(Route, &Workspace).Regions_ == Route.HomeRegions_);
  Workspace.HomeRegions_ = {"south", "west"};
  CHECK(getAllowedRegions(Route, &Workspace).Regions_ ==
        std::vector<std::string>{"south"});
  CHECK_FALSE(getAllowedRegions(Route, &Workspace).IsEmpty_);
  Workspace.HomeRegions_ = {"west"};
  CHECK(getAllowedRegions(Route, &Workspace).IsEmpty_);
  CHECK(getAllowedRegions(RouteConfig(), &Workspace).Regions_ ==
        Workspace.HomeRegions_);
}

TEST_CASE("workspace: credentials of requests are read and removed") {
  auto Take = [](const std::vector<std::string> &Credentials) {
    RequestMessage Request = makeRequest(Credentials);
    ClientKey Key = platform::takeClientKey(Request);
    CHECK(Request.count(boost::beast::http::field::authorization) == 0);
    return Key;
  };
  auto IsKey = [&](const std::string &Credentials, const std::string &Key) {
    ClientKey Taken = Take({Credentials});
    return Taken.Digest_ && *Taken.Digest_ == WorkspaceKeyDigest(Key) &&
           Taken.Fingerprint_ == getKeyFingerprint(Key);
  };
  CHECK(IsKey("Bearer abc", "abc"));
  CHECK(IsKey("bEARER abc", "abc"));
  CHECK(IsKey("Bearer   abc  ", "abc"));
  CHECK_FALSE(IsKey("Bearer abc", "abd"));
  CHECK(IsKey("Bearer " + std::string(8192, 'k'), std::string(8192, 'k')));
  CHECK(Take({}).Form_ == ClientKeyForm::Absent);
  for (const char *Bad : {"", "Bearer", "Bearer ", "Bearerabc", "Basic abc",
                          "abc", "Bearer abc def", "Bearer abc, Bearer def"})
    CHECK(Take({Bad}).Form_ == ClientKeyForm::Malformed);
  CHECK(Take({"Bearer abc", "Bearer abc"}).Form_ == ClientKeyForm::Malformed);
}

TEST_CASE("workspace: servers get the name that this system sets") {
  RequestMessage Request;
  Request.insert("X-Cranberrypost-Tenant-Name", "forged");
  Request.insert("x-cranberrypost-TENANT-name", "forged too");
  platform::setWorkspaceName(Request, "mine");
  CHECK(Request.count("X-Cranberrypost-Tenant-Name") == 1);
  CHECK(Request["X-Cranberrypost-Tenant-Name"] == "mine");
  platform::setWorkspaceName(Request, "");
  CHECK(Request.count("X-Cranberrypost-Tenant-Name") == 0);
}

TEST_CASE("workspace: an invalid workspace costs that workspace only") {
  Reason Why;
  json Good = {{"name", "good"}, {"apiKeys", {"k1", "k2"}},
               {"priority", 1},  {"ratePerS", 8.5},
               {"burst", 17},    {"homeRegions", {"north"}}};
  json List = json::array({Good});
  for (const auto &[Field, Value] :
       std::vector<std::pair<std::string, json>>{{"name", ""},
                                                 {"name", 5},
                                                 {"name", "line\r\nX: y"},
                                                 {"apiKeys", "k3"},
                                                 {"apiKeys", {"k3", ""}},
                                                 {"apiKeys", {3}},
                                                 {"ratePerS", -1},
                                                 {"burst", -1},
                                                 {"priority", "high"},
                                                 {"homeRegions", {1}}}) {
    json Bad = {{"name", "bad"}, {"apiKeys", {"k3"}}};
    Bad[Field] = Value;
    List.push_back(Bad);
  }
  List.push_back("none");
  std::optional<RoutingConfig> Config = decode(List, Why);
  REQUIRE(Config);
  REQUIRE(Config->Workspaces_.size() == 1);
  const WorkspaceConfig &Known = Config->Workspaces_[0];
  CHECK(Known.Name_ == "good");
  CHECK(Known.Keys_.size() == 2);
  CHECK(Known.Priority_ == 1U);
  REQUIRE(Known.Quota_);
  CHECK(Known.Quota_->RatePerSecond_ == 8.5);
  CHECK(Known.Quota_->Burst_ == 17);
  CHECK(Known.HomeRegions_ == std::vector<std::string>{"north"});
  CHECK(Config->RefusedWorkspaces_.size() == List.size() - 1);
  CHECK(check(*Config, {}, makeKey("k3")) == "337");
}

TEST_CASE("workspace: a configuration whose workspaces aren't a list is "
          "refused") {
  Reason Why;
  CHECK_FALSE(decode({{"name", "a"}}, Why));
  CHECK(Why.Field_ == "tenants");
  CHECK(decode(json(), Why)->HasWorkspaces_ == false);
  CHECK(decode(json::array({{{"name", ""}}}), Why)->HasWorkspaces_);
}
