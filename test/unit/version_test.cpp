/// \file version_test.cpp Objects, configurations and client blocks.
#include "core/result_func.h"
#include "version/client_block_func.h"
#include "version/configuration_builder_base.h"
#include "version/object_func.h"
#include "version/object_store_base.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace cranberry;

namespace {

Object makeObject(ObjectKind Kind, const std::string &Name, Revision At,
                  const std::string &Body) {
  return {{Kind, Name}, At, Body.empty(), Body};
}

ObjectStore makeStore() {
  ObjectStore Store;
  Store.applyChanges(
      {6,
       {makeObject(ObjectKind::Region, "r", 1, "{}"),
        makeObject(ObjectKind::Region, "q", 2, "{}"),
        makeObject(ObjectKind::Zone, "r-a", 3, R"({"region":"r"})"),
        makeObject(ObjectKind::Service, "s", 4, "{}"),
        makeObject(ObjectKind::Pool, "s.r-a", 5,
                   R"({"service":"s","zone":"r-a","slots":3,
                       "servers":["10.0.0.1:80","10.0.0.2:80"]})"),
        makeObject(ObjectKind::Blocks, "b", 6,
                   R"({"blocks":[{"prefix":"10.1.0.0/16","zone":"r-a"}]})")}});
  return Store;
}

} // namespace

TEST_CASE("an object is refused with the field and a numbered code") {
  ObjectStore Store = makeStore();
  struct Case {
    ObjectKind Kind_;   ///< Kind of the object.
    const char *Name_;  ///< Name of the object.
    const char *Body_;  ///< Text to parse.
    ResultCode Code_;   ///< Expected result code.
    const char *Field_; ///< Expected field in the error.
  };
  const Case Cases[] = {
      {ObjectKind::Region, "x", "{}", ResultCode::Ok, ""},
      {ObjectKind::Region, "", "{}", ResultCode::ObjectNameInvalid, "name"},
      {ObjectKind::Region, "a/b", "{}", ResultCode::ObjectNameInvalid, "name"},
      {ObjectKind::Region, "x", "[]", ResultCode::ObjectNotJson, ""},
      {ObjectKind::Region, "x", "{", ResultCode::ObjectNotJson, ""},
      {ObjectKind::Region, "x", R"({"heads":1})",
       ResultCode::ObjectUnknownField, "heads"},
      {ObjectKind::Region, "x", R"({"headroom":"1"})",
       ResultCode::ObjectWrongType, "headroom"},
      {ObjectKind::Region, "x", R"({"headroom":0.95})",
       ResultCode::ObjectOutOfRange, "headroom"},
      {ObjectKind::Zone, "x", "{}", ResultCode::ObjectMissingField, "region"},
      {ObjectKind::Zone, "x", R"({"region":"none"})",
       ResultCode::ObjectDanglingReference, "region"},
      {ObjectKind::Zone, "x", R"({"region":7})", ResultCode::ObjectWrongType,
       "region"},
      {ObjectKind::Service, "x", R"({"deadlineMs":1.5})",
       ResultCode::ObjectWrongType, "deadlineMs"},
      {ObjectKind::Service, "x", R"({"deadlineMs":0})",
       ResultCode::ObjectOutOfRange, "deadlineMs"},
      {ObjectKind::Service, "x", R"({"repeatableMethods":"GET"})",
       ResultCode::ObjectWrongType, "repeatableMethods"},
      {ObjectKind::Pool, "x",
       R"({"service":"s","zone":"r-a","slots":1,"servers":["host:80"]})",
       ResultCode::ObjectOutOfRange, "servers[0]"},
      {ObjectKind::Pool, "x",
       R"({"service":"s","zone":"r-a","slots":331,"servers":[]})",
       ResultCode::ObjectOutOfRange, "slots"},
      {ObjectKind::Link, "x", R"({"from":"r","to":"r","capKbit":5})",
       ResultCode::ObjectOutOfRange, "to"},
      {ObjectKind::Blocks, "x",
       R"({"blocks":[{"prefix":"10.1.2.3/16","zone":"r-a"}]})",
       ResultCode::ObjectOutOfRange, "blocks[0].prefix"},
      {ObjectKind::Blocks, "x",
       R"({"blocks":[{"prefix":"10.1.0.0/16","zone":"no"}]})",
       ResultCode::ObjectDanglingReference, "blocks[0].zone"},
      {ObjectKind::Drain, "x", "{}", ResultCode::ObjectMissingField, "server"},
      {ObjectKind::Drain, "x", R"({"server":"a","vm":"b"})",
       ResultCode::ObjectMissingField, "server"},
  };
  auto Exists = [&](const ObjectId &Id) { return Store.find(Id) != nullptr; };
  for (const Case &C : Cases) {
    CAPTURE(C.Body_);
    Reason Why;
    CHECK(parseObject({C.Kind_, C.Name_}, C.Body_, Exists, Why).has_value() ==
          (C.Code_ == ResultCode::Ok));
    CHECK(Why.Code_ == C.Code_);
    CHECK(Why.Field_ == C.Field_);
  }
}

TEST_CASE(
    "random bytes are never parsed as an object and never crash the process") {
  std::mt19937_64 Random(11);
  ObjectStore Store;
  for (int I = 0; I < 3000; ++I) {
    std::string Body;
    for (size_t N = Random() % 60; N > 0; --N)
      Body += static_cast<char>(Random());
    if (I % 3 == 0)
      Body.insert(0, "{\"region\":").append("}");
    Reason Why;
    parseObject(
        {ObjectKind::Zone, "x"}, Body, [](const ObjectId &) { return false; },
        Why);
    CHECK(Why.Code_ != ResultCode::Ok);
  }
}

TEST_CASE(
    "no order of old and new changes takes an object to an older revision") {
  for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    std::vector<ObjectChanges> History;
    ObjectStore Source;
    for (Revision At = 1; At <= 40; ++At) {
      std::string Name = "s" + std::to_string(Random() % 5);
      std::string Body =
          Random() % 4 == 0 ? "" : "{\"maxQueue\":" + std::to_string(At) + "}";
      Source.applyChanges(
          {At, {makeObject(ObjectKind::Service, Name, At, Body)}});
      History.push_back(Source.getChangesSince(Random() % At));
    }
    std::shuffle(History.begin(), History.end(), Random);
    ObjectStore Replica;
    std::map<ObjectId, Revision> Seen;
    Revision Before = 0;
    for (const ObjectChanges &Changes : History) {
      // The replica skips objects that are not newer than its own.
      Replica.applyChanges(Changes);
      CHECK(Replica.getRevision() >= Before);
      Before = Replica.getRevision();
      for (const auto &[Id, Known] : Replica.getObjects()) {
        CHECK(Known.Revision_ >= Seen[Id]);
        Seen[Id] = Known.Revision_;
      }
    }
    Replica.applyChanges(Source.getChangesSince(0));
    for (const auto &[Id, Known] : Source.getObjects()) {
      CHECK(Replica.getObjects().at(Id).Revision_ == Known.Revision_);
      CHECK(Replica.getObjects().at(Id).IsDeleted_ == Known.IsDeleted_);
    }
  }
}

TEST_CASE("a configuration leaves out invalid objects and lists them") {
  ObjectStore Store = makeStore();
  Store.applyChanges({7, {makeObject(ObjectKind::Region, "r", 7, "")}});
  ConfigurationPtr Config = ConfigurationBuilder().build(Store);
  CHECK(Config->Revision_ == 7);
  CHECK(Config->Zones_.empty());
  std::set<std::string> Names;
  for (const IgnoredObject &Ignored : Config->IgnoredObjects_)
    Names.insert(Ignored.Id_.Name_);
  // The blocks object is listed as well, since it is used only in part.
  CHECK(Names == std::set<std::string>{"r-a", "b"});
}

TEST_CASE("a reused configuration builder builds the same as a new one") {
  ObjectStore Store = makeStore();
  ConfigurationBuilder Kept;
  Kept.build(Store);
  const char *const Blocks[] = {
      R"({"blocks":[{"prefix":"10.1.0.0/16","zone":"r-a"}]})",
      R"({"blocks":[{"prefix":"10.9.0.0/16","zone":"r-a"}]})",
      R"({"blocks":[]})",
  };
  Revision At = 10;
  for (const char *Body : Blocks)
    for (const char *Zone : {"", R"({"region":"q"})", R"({"region":"r"})"}) {
      At += 2;
      Store.applyChanges({At,
                          {makeObject(ObjectKind::Blocks, "b", At - 1, Body),
                           makeObject(ObjectKind::Zone, "r-a", At, Zone)}});
      ConfigurationPtr A = Kept.build(Store);
      ConfigurationPtr B = ConfigurationBuilder().build(Store);
      CHECK(A->IgnoredObjects_.size() == B->IgnoredObjects_.size());
      for (const char *Client : {"10.1.2.3", "10.9.0.1"})
        CHECK(A->ClientBlocks_.findZone(*parseIpv4(Client)) ==
              B->ClientBlocks_.findZone(*parseIpv4(Client)));
    }
}

TEST_CASE(
    "a configuration counts slots and entry VMs and maps clients to zones") {
  ConfigurationPtr Config = ConfigurationBuilder().build(makeStore());
  CHECK(Config->getSlotCount("s", "r") == 6);
  CHECK(Config->getSlotCount("s", "q") == 0);
  CHECK(Config->getEntryVmCount("r") == 1);
  CHECK(Config->ClientBlocks_.findZone(*parseIpv4("10.1.2.3")).get() == 0);
  CHECK_FALSE(Config->ClientBlocks_.findZone(*parseIpv4("10.2.0.0")).isValid());
}

TEST_CASE("client blocks are parsed and malformed ones refused") {
  CHECK(parseClientBlock("10.0.0.0/8")->PrefixLength_ == 8);
  CHECK(parseClientBlock("0.0.0.0/0")->Address_ == 0);
  CHECK(parseClientBlock("1.2.3.4/32")->Address_ == 0x01020304);
  for (const char *Bad :
       {"", "10.0.0.0", "10.0.0.0/33", "10.0.0.1/8", "10.0.0/8", "10.0.0.0.0/8",
        "256.0.0.0/8", "10.0.0.0/", "10.0.0.0/8x", "a.b.c.d/8", "-1.0.0.0/8"}) {
    CAPTURE(Bad);
    CHECK_FALSE(parseClientBlock(Bad));
  }
}

TEST_CASE(
    "the longest matching client block is found, as by a scan of all blocks") {
  std::mt19937 Random(3);
  for (int Round = 0; Round < 20; ++Round) {
    std::vector<ClientBlockRoute> Routes;
    for (int I = 0; I < 300; ++I) {
      auto Length = static_cast<uint8_t>(Random() % 33);
      uint32_t Mask = Length == 0 ? 0
                                  : ~uint32_t{0}
                                        << (32 - static_cast<unsigned>(Length));
      // A narrow address range, so that blocks nest and adjoin.
      uint32_t Address = (0x0a000000U | (Random() % 4096)) & Mask;
      Routes.push_back(
          {{Address, Length}, ZoneIndex(static_cast<uint16_t>(Random() % 9))});
    }
    ClientBlockTable Table(Routes);
    for (int I = 0; I < 2000; ++I) {
      uint32_t Address =
          I % 10 == 0 ? Random() : 0x0a000000U | (Random() % 5000);
      ZoneIndex Expected;
      int Longest = -1;
      for (const ClientBlockRoute &Route : Routes) {
        uint64_t Size = uint64_t{1} << (32 - Route.Block_.PrefixLength_);
        bool Holds = Address >= Route.Block_.Address_ &&
                     Address < Route.Block_.Address_ + Size;
        if (Holds && Route.Block_.PrefixLength_ >= Longest) {
          Longest = Route.Block_.PrefixLength_;
          Expected = Route.Zone_;
        }
      }
      REQUIRE(Table.findZone(Address) == Expected);
    }
  }
}
