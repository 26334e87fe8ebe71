/// \file entry_list_test.cpp Lists and changes with entries of other writers
/// that can't be read.
#include "platform/decode_func.h"
#include "platform/json_text_func.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <iostream>
#include <random>

using namespace cranberry;
using nlohmann::json;

namespace {

std::string makeItem(const std::string &Name, const std::string &Body) {
  return R"({"metadata":{"name":")" + Name +
         R"(","revision":3},"specification":)" + Body + "}";
}

const std::string Server =
    R"({"service":"one","address":"10.0.0.1:80","zone":"north-a",)"
    R"("state":"ready","slots":4,"note":"a, {\"b\": [1]}, c"})";

std::string makePage(const std::vector<std::string> &Items) {
  std::string Result = R"({"items":[)";
  for (size_t I = 0; I < Items.size(); ++I)
    Result += (I == 0 ? "" : ",") + Items[I];
  return Result + R"(],"hasMore":true,"storeRevision":9})";
}

std::string makeChanges(const std::vector<std::string> &Items) {
  std::string Result = R"({"events":[)";
  for (size_t I = 0; I < Items.size(); ++I)
    Result += (I == 0 ? R"({"removed":true,"object":)"
                      : R"(,{"removed":true,"object":)") +
              Items[I] + "}";
  return Result + R"(],"storeRevision":9})";
}

/// Objects with a body, by name.
std::map<std::string, json>
getReadable(const std::vector<platform::StoreObject> &Objects) {
  std::map<std::string, json> Result;
  for (const platform::StoreObject &Each : Objects)
    if (!Each.Body_.is_null())
      Result[Each.Name_] = Each.Body_;
  return Result;
}

/// Bytes that end their entry early and add another one of its own.
constexpr const char *ForgedInList =
    R"({"a":[1,{"metadata":{"name":"i-3","revision":99},)"
    R"("specification":{"state":"forged"}},{"metadata":)"
    R"({"name":"i-3","revision":99},"specification":7},2,x]})";

/// The same in an object that can't be read.
constexpr const char *ForgedInObject =
    R"({"a":x,"b":{"metadata":{"name":"i-3","revision":99},)"
    R"("specification":{"state":"forged"}}})";

std::vector<std::string> makeOddBytes() {
  return {R"({"note":"C:\data"})",
          R"({"slots":NaN})",
          "{'service':'one'}",
          "\x01\x02\xfe\xff",
          "",
          "{",
          "}",
          "[",
          "]",
          "\"",
          "\\",
          ",",
          "]}",
          "}}",
          "}]}",
          R"({"a":"b"c"})",
          R"({"a":1]})",
          R"("a)",
          R"({"a":"\ud800"})",
          "\"\xc3\x28\"",
          R"({"a":1e999})",
          ForgedInList,
          ForgedInObject,
          R"(],"hasMore":false,"storeRevision":1)",
          std::string(1 << 20, '['),
          std::string(1 << 20, ']'),
          std::string(1 << 20, '{'),
          std::string(1 << 20, '"'),
          std::string(1 << 20, ',')};
}

void checkPage(const std::vector<std::string> &Items, size_t Odd,
               const std::string &OddBytes) {
  std::vector<std::string> All = Items;
  All[Odd] = makeItem("i-" + std::to_string(Odd), OddBytes);
  std::map<std::string, json> Expected;
  for (size_t I = 0; I < Items.size(); ++I)
    if (I != Odd)
      Expected["i-" + std::to_string(I)] = json::parse(Server);
  Reason Why;
  std::optional<platform::StorePage> Page =
      platform::decodePage(makePage(All), Why);
  REQUIRE(Page);
  std::map<std::string, json> Found = getReadable(Page->Objects_);
  Found.erase("i-" + std::to_string(Odd)); // Bytes may be JSON by chance.
  CHECK(Found == Expected);
  CHECK(Page->HasMore_);
  CHECK(Page->Revision_ == 9);

  std::optional<platform::StoreChanges> Changes =
      platform::decodeChanges(makeChanges(All), Why);
  REQUIRE(Changes);
  std::vector<platform::StoreObject> Changed;
  for (const platform::StoreChange &Each : Changes->Changes_) {
    CHECK(Each.IsRemoved_);
    Changed.push_back(Each.Object_);
  }
  Found = getReadable(Changed);
  Found.erase("i-" + std::to_string(Odd));
  CHECK(Found == Expected);
  CHECK(Changes->Revision_ == 9);
}

std::vector<std::string> makeItems(size_t Count) {
  std::vector<std::string> Result;
  for (size_t I = 0; I < Count; ++I)
    Result.push_back(makeItem("i-" + std::to_string(I), Server));
  return Result;
}

} // namespace

// Guards against one entry that makes all others unreadable.
TEST_CASE("entry list: bytes that aren't JSON cost their entry only") {
  std::vector<std::string> Items = makeItems(5);
  for (const std::string &Odd : makeOddBytes())
    for (size_t At = 0; At < Items.size(); ++At) {
      INFO(Odd.substr(0, 80) << " at " << At);
      checkPage(Items, At, Odd);
    }
}

TEST_CASE("entry list: random bytes in an entry cost that entry only") {
  std::mt19937_64 Random(20261206);
  const std::string Tokens[] = {"\"", "\\", "{", "}", "[",    "]",      ",",
                                ":",  "1",  "x", " ", "\xff", "\"a\":", "\n"};
  for (int Round = 0; Round < 3000; ++Round) {
    std::vector<std::string> Items = makeItems(1 + Random() % 8);
    std::string Odd = Random() % 2 == 0 ? "" : Server;
    size_t From = Odd.empty() ? 0 : Random() % Odd.size();
    std::string Bytes;
    for (uint64_t I = Random() % 24; I > 0; --I)
      Bytes += Random() % 2 == 0 ? Tokens[Random() % std::size(Tokens)]
                                 : std::string(1, static_cast<char>(Random()));
    Odd.insert(From, Bytes);
    INFO(Round << " " << Odd);
    checkPage(Items, Random() % Items.size(), Odd);
  }
}

TEST_CASE("entry list: several unreadable entries cost themselves only") {
  std::vector<std::string> Items = makeItems(9);
  for (size_t Odd : {1, 2, 5, 8})
    Items[Odd] = makeItem("i-" + std::to_string(Odd), R"({"a":"\x"y"})");
  Reason Why;
  std::optional<platform::StorePage> Page =
      platform::decodePage(makePage(Items), Why);
  REQUIRE(Page);
  std::map<std::string, json> Found = getReadable(Page->Objects_);
  CHECK(Found.size() == 5);
  for (const char *Name : {"i-0", "i-3", "i-4", "i-6", "i-7"})
    CHECK(Found.count(Name) == 1);
}

// A server whose entry became unreadable isn't used, and an unreadable entry
// of this VM is replaced.
TEST_CASE("entry list: an unreadable entry keeps its name and revision") {
  for (const std::string &Odd : {std::string(R"({"note":"C:\data"})"),
                                 std::string("\x01\xff"), std::string("{")}) {
    std::vector<std::string> Items = makeItems(3);
    Items[1] = makeItem("i-1", Odd);
    Reason Why;
    std::optional<platform::StorePage> Page =
        platform::decodePage(makePage(Items), Why);
    REQUIRE(Page);
    REQUIRE(Page->Objects_.size() == 3);
    CHECK(Page->Objects_[1].Name_ == "i-1");
    CHECK(Page->Objects_[1].Revision_ == 3);
    CHECK_FALSE(platform::decodeServer(Page->Objects_[1], Why));
    CHECK(Page->Unreadable_ == std::vector<std::string>{"i-1"});
    // Another VM that reads from this one gets the same.
    std::optional<platform::StorePage> Relayed =
        platform::decodePage(platform::encodePage(*Page), Why);
    REQUIRE(Relayed);
    CHECK(Relayed->Objects_.size() == 3);
    std::optional<platform::StoreChanges> Changes =
        platform::decodeChanges(makeChanges(Items), Why);
    REQUIRE(Changes);
    REQUIRE(Changes->Changes_.size() == 3);
    CHECK(Changes->Changes_[1].Object_.Name_ == "i-1");
    CHECK(Changes->Changes_[1].IsRemoved_);
    std::optional<platform::StoreObject> Own =
        platform::decodeObjectBody(Items[1], Why);
    REQUIRE(Own);
    CHECK(Own->Name_ == "i-1");
    CHECK(Own->Revision_ == 3);
  }
}

// Guards against a list that ends, or begins again, at an entry whose name
// isn't JSON or that has no revision.
TEST_CASE("entry list: a page names its last entry by the bytes of the store") {
  struct Case {
    const char *Name_;  ///< As in the text of the page.
    std::string Bytes_; ///< As the store knows it.
  };
  const Case Cases[] = {
      {"i-x\xff", "i-x\xff"},
      {"\xc3(\x80", "\xc3(\x80"},
      {"i-\x01", "i-\x01"},
      {R"(i-\ud800)", "i-\xed\xa0\x80"},
      {R"(i-\udc00x)", "i-\xed\xb0\x80x"},
      {R"(i-\ud83d\ude00)", "i-\xf0\x9f\x98\x80"},
      {R"(i-\ud83d\u0041)", "i-\xed\xa0\xbd"
                            "A"},
      {R"(i-\u00e9\u20ac\t\"\\\/)", "i-\u00e9\u20ac\t\"\\/"},
      {R"(i-\q)", "i-q"},
      {"i-x", "i-x"},
  };
  for (const Case &Each : Cases)
    for (const char *Rest :
         {R"(","revision":3},"specification":{}})",
          R"(","revision":3},"specification":{"name":"forged","a":x}})",
          R"(","revision":null},"specification":{}})", R"("},"status":7})",
          R"(","finalizers":["name","x"]},"specification":{}})"}) {
      CAPTURE(Each.Name_, Rest);
      for (const std::string &Before : {std::string(), makeItem("i-1", "{}")}) {
        std::vector<std::string> Items{std::string(R"({"metadata":{"name":")") +
                                       Each.Name_ + Rest};
        if (!Before.empty())
          Items.insert(Items.begin(), Before);
        Reason Why;
        std::optional<platform::StorePage> Page =
            platform::decodePage(makePage(Items), Why);
        REQUIRE(Page);
        CHECK(Page->HasMore_);
        CHECK(Page->LastName_ == Each.Bytes_);
      }
    }
}

// Guards against a withdrawn key that stays in force beside such an entry.
TEST_CASE("entry list: a configuration beside an unreadable entry is read") {
  const std::string Main =
      R"({"version":"2","routes":[],"services":[],"tenants":[{"name":"acme",)"
      R"("apiKeys":["k2"],"priority":1,"homeRegions":[]}]})";
  Reason Why;
  std::optional<platform::StoreChanges> Changes = platform::decodeChanges(
      makeChanges(
          {makeItem("ill", R"({"note":"C:\data"})"), makeItem("main", Main)}),
      Why);
  REQUIRE(Changes);
  REQUIRE(Changes->Changes_.size() == 2);
  std::optional<RoutingConfig> Config =
      platform::decodeRouting(Changes->Changes_[1].Object_, Why);
  REQUIRE(Config);
  REQUIRE(Config->Workspaces_.size() == 1);
  CHECK(Config->Workspaces_[0].Keys_.size() == 1);
}

TEST_CASE("entry list: an envelope that can't be read is an error") {
  Reason Why;
  for (const std::string &Bad :
       {std::string(""), std::string("{"), std::string("[]"),
        std::string(R"({"items":7,"storeRevision":9})"),
        std::string(R"({"items":[)"), std::string(R"({"items":[1)"),
        std::string(R"({"items":[]})"),
        std::string(R"({"items":[],"storeRevision":x})"),
        std::string(R"({'items':[],"storeRevision":9})"),
        makePage(makeItems(2)).substr(0, 200)}) {
    INFO(Bad);
    CHECK_FALSE(platform::decodePage(Bad, Why));
  }
  CHECK(platform::decodePage(R"({"storeRevision":9,"items" : [ ] })", Why));
}

// Run with "[measure]".
TEST_CASE("measure: time to read a list of 990 entries", "[.][measure]") {
  std::string Text = makePage(makeItems(990));
  auto Time = [&](auto Read) {
    double Best = 1e9;
    for (int I = 0; I < 15; ++I) {
      auto Start = std::chrono::steady_clock::now();
      Read();
      std::chrono::duration<double, std::milli> Taken =
          std::chrono::steady_clock::now() - Start;
      Best = std::min(Best, Taken.count());
    }
    return Best;
  };
  double Whole = Time([&] { return json::parse(Text).size(); });
  double Page = Time([&] {
    Reason Why;
    return platform::decodePage(Text, Why)->Objects_.size();
  });
  std::cout << "parser alone " << Whole << " ms, decodePage " << Page
            << " ms\n";
}
