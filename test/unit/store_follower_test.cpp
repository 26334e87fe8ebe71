/// \file store_follower_test.cpp Store follower and store client.
#include "net/http_message_func.h"
#include "net/http_target_func.h"
#include "net/ingress_server_base.h"
#include "platform/store_client_base.h"
#include "standin/object_store_base.h"
#include "steering/store_follower_base.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cranberry;
using cranberry::standin::ObjectStore;
using cranberry::standin::StoreMode;
using nlohmann::json;

namespace {

/// Limit on each wait; conditions normally hold far sooner.
constexpr Duration LoopTimeout = seconds(20);

/// Follows one kind of objects and records the callbacks.
struct Fixture {
  Fixture()
      : Client_(Loop_, Store_.getAddress(), platform::DirectStoreTimeouts),
        Log_(-1, "vm"),
        Follower_(Loop_, Client_, {"things", Duration(0), seconds(5)},
                  makeHandlers(), Log_) {}

  FollowHandlers makeHandlers() {
    FollowHandlers Handlers;
    Handlers.OnList_ = [this](const std::vector<platform::StoreObject> &All) {
      ++ListCount_;
      Known_.clear();
      for (const platform::StoreObject &Each : All)
        Known_[Each.Name_] = Each.Body_;
    };
    Handlers.OnChange_ = [this](const platform::StoreChange &Change) {
      if (Change.IsRemoved_)
        Known_.erase(Change.Object_.Name_);
      else
        Known_[Change.Object_.Name_] = Change.Object_.Body_;
    };
    Handlers.OnUnavailable_ = [this] { ++UnavailableCount_; };
    Handlers.OnRecovered_ = [this] { ++RecoveredCount_; };
    return Handlers;
  }

  template <typename F>
  bool runUntil(F Condition, Duration Limit = LoopTimeout) {
    Time End = getNow() + Limit;
    while (!Condition() && getNow() < End) {
      Loop_.restart();
      Loop_.run_one_for(milliseconds(5));
    }
    return Condition();
  }

  bool waitFor(const std::map<std::string, json> &Expected) {
    return runUntil([&] { return Known_ == Expected; });
  }

  ObjectStore Store_;                 ///< Stand-in for the store.
  boost::asio::io_context Loop_;      ///< Loop of the client and the follower.
  platform::StoreClient Client_;      ///< Client of the store.
  EventLog Log_;                      ///< Log of the follower.
  std::map<std::string, json> Known_; ///< Objects as reported by the follower.
  int ListCount_ = 0;                 ///< Calls of OnList_.
  int UnavailableCount_ = 0;          ///< Calls of OnUnavailable_.
  int RecoveredCount_ = 0;            ///< Calls of OnRecovered_.
  StoreFollower Follower_;            ///< Follower under test.
};

/// \return Names that other writers may give to their entries.
std::vector<std::string> makeOddNames() {
  return {"i-a&b",   "i-a+b",  "i-a#b",    "i-a%b",       "i-a b",
          "i-a%41b", "i-a%00", "i-a=b;c",  "i-a?b",       "i-a/b",
          "i-a\\b",  "i-a\"b", "i-a\r\nb", "i-a\x01\x7f", "&",
          "+",       "#",      "%",        " ",           "i-a\u00e9\u20ac",
          "..",      ".",      "i-a ",     "&watch=1"};
}

std::string makeObjectText(const std::string &Name) {
  return R"({"metadata":{"name":")" + Name +
         R"(","revision":1},"specification":{}})";
}

/// A store with one object on each page of a list, in the store's bytes. A page
/// after an unknown name is the last one that was sent.
class RawStore {
public:
  RawStore(boost::asio::io_context &Loop, std::vector<std::string> Objects)
      : Objects_(std::move(Objects)),
        Server_(Loop, [this](const IngressExchangePtr &Exchange) {
          sendPage(Exchange);
        }) {
    Reason Why;
    REQUIRE(Server_.open("127.0.0.1:0", Why));
  }

  const std::string &getAddress() const { return Server_.getAddress(); }

private:
  void sendPage(const IngressExchangePtr &Exchange) {
    std::string Target(Exchange->getMessage().target());
    std::string Plain = "/api/objects/things";
    std::map<std::string, std::string> Query =
        parseQuery(Target.substr(std::min(Plain.size() + 1, Target.size())));
    if (Query.contains("watch")) {
      Watch_ = Exchange;
      return;
    }
    for (size_t I = 0; I + 1 < Objects_.size(); ++I)
      if (Query["after"] == getName(Objects_[I]))
        Page_ = I + 1;
    if (Query["after"].empty())
      Page_ = 0;
    Exchange->respond(makeResponse(
        200, R"({"items":[)" + Objects_[Page_] + R"(],"hasMore":)" +
                 (Page_ + 1 < Objects_.size() ? "true" : "false") +
                 R"(,"storeRevision":9})"));
  }

  /// \return Name of an object as the store knows it.
  static std::string getName(const std::string &Object) {
    std::string Begin = R"("name":")";
    size_t At = Object.find(Begin);
    if (At == std::string::npos)
      return "";
    At += Begin.size();
    std::string Name = Object.substr(At, Object.find('"', At) - At);
    std::string Escape = R"(\ud800)";
    if (size_t Found = Name.find(Escape); Found != std::string::npos)
      Name.replace(Found, Escape.size(), "\xed\xa0\x80");
    return Name;
  }

  std::vector<std::string> Objects_; ///< Objects in the order of their names.
  size_t Page_ = 0;                  ///< Number of the last page.
  IngressExchangePtr Watch_;         ///< Watch that gets no response.
  IngressServer Server_;             ///< Receives calls.
};

} // namespace

TEST_CASE("follower: lists in pages, then receives each change") {
  Fixture F;
  F.Store_.setPageSize(2);
  std::map<std::string, json> Expected;
  for (int I = 0; I < 5; ++I) {
    F.Store_.put("things", "t" + std::to_string(I), I);
    Expected["t" + std::to_string(I)] = I;
  }
  F.Store_.put("others", "x", 1);
  F.Follower_.start();
  CHECK(F.waitFor(Expected));
  F.Store_.put("things", "t2", 20);
  F.Store_.remove("things", "t4");
  Expected["t2"] = 20;
  Expected.erase("t4");
  CHECK(F.waitFor(Expected));
  CHECK(F.ListCount_ == 1);
  CHECK(F.UnavailableCount_ == 0);
}

TEST_CASE(
    "follower: catches up with changes made while the store was unavailable") {
  for (StoreMode Mode :
       {StoreMode::Refuse, StoreMode::Throttle, StoreMode::Silent}) {
    Fixture F;
    F.Store_.put("things", "a", 1);
    F.Follower_.start();
    REQUIRE(F.waitFor({{"a", 1}}));
    F.Store_.setMode(Mode);
    // The silent store does not close a waiting watch; that ends at its
    // timeout.
    REQUIRE(F.runUntil([&] { return F.UnavailableCount_ == 1; }));
    F.Store_.put("things", "b", 2);
    F.Store_.setMode(StoreMode::Serve);
    CHECK(F.waitFor({{"a", 1}, {"b", 2}}));
    CHECK(F.RecoveredCount_ == 1);
  }
}

TEST_CASE("follower: changes before a compacted history are not missed") {
  // Watches get no event while an object changes, then the history is compacted
  // and the watches are closed. A follower that resumed its watch instead of
  // listing again would wait for the next change.
  Fixture F;
  F.Store_.put("things", "a", 1);
  F.Follower_.start();
  REQUIRE(F.waitFor({{"a", 1}}));
  F.Store_.suppressWatchEvents();
  F.Store_.put("things", "a", 2);
  F.Store_.compact();
  CHECK(F.runUntil([&] { return F.Known_["a"] == 2; }, seconds(2)));
}

// Guards against a name that changes the request in which it is sent.
TEST_CASE("follower: a list goes on after any name") {
  for (const std::string &Odd : makeOddNames()) {
    CAPTURE(Odd);
    Fixture F;
    F.Store_.setPageSize(1);
    std::map<std::string, json> Expected;
    for (const std::string &Name : {std::string("a"), Odd, Odd + "b",
                                    std::string("i-1"), std::string("z")}) {
      F.Store_.put("things", Name, Name);
      Expected[Name] = Name;
    }
    F.Follower_.start();
    REQUIRE(F.runUntil([&] { return F.ListCount_ > 0; }, seconds(5)));
    CHECK(F.Known_ == Expected);
    CHECK(F.UnavailableCount_ == 0);
  }
}

// Guards against an entry that can't be read and stands alone on a page, so
// that the list ends there or lists that page for ever.
TEST_CASE("follower: a list goes on after a page that can't be read") {
  const std::string OddObjects[] = {
      "{\"metadata\":{\"name\":\"i-x\xff\",\"revision\":3}}",
      R"({"metadata":{"name":"i-x","revision":3},"specification":\})",
      R"({"metadata":{"name":"i-x\ud800","revision":3}})",
      R"({"metadata":{"name":"i-x"}})",
      R"({"metadata":{"name":"i-x","revision":"3"},"specification":{}})",
  };
  for (const std::string &Odd : OddObjects) {
    CAPTURE(Odd);
    Fixture F;
    RawStore Store(F.Loop_, {makeObjectText("a"), Odd, makeObjectText("z")});
    platform::StoreClient Client(F.Loop_, Store.getAddress(),
                                 platform::DirectStoreTimeouts);
    StoreFollower Follower(F.Loop_, Client, {"things", Duration(0), seconds(5)},
                           F.makeHandlers(), F.Log_);
    Follower.start();
    REQUIRE(F.runUntil([&] { return F.ListCount_ > 0; }, seconds(5)));
    CHECK(F.Known_.contains("a"));
    CHECK(F.Known_.contains("z"));
    CHECK(F.UnavailableCount_ == 0);
  }
}

TEST_CASE("follower: a list that doesn't advance is given up") {
  Fixture F;
  RawStore Store(F.Loop_, {makeObjectText("a"), R"({"metadata":{}})",
                           makeObjectText("z")});
  platform::StoreClient Client(F.Loop_, Store.getAddress(),
                               platform::DirectStoreTimeouts);
  StoreFollower Follower(F.Loop_, Client, {"things", Duration(0), seconds(5)},
                         F.makeHandlers(), F.Log_);
  Follower.start();
  CHECK(F.runUntil([&] { return F.UnavailableCount_ > 0; }, seconds(5)));
  CHECK(F.ListCount_ == 0);
}

TEST_CASE(
    "store client: conditional writes and lost responses have their status") {
  Fixture F;
  auto Call = [&F](auto Make) {
    std::optional<platform::StoreResponse> End;
    Make([&End](platform::StoreResponse Reply) { End = std::move(Reply); });
    REQUIRE(F.runUntil([&End] { return End.has_value(); }));
    return End->Status_;
  };
  using platform::StoreResponseHandler;
  using platform::StoreStatus;
  auto Create = [&](StoreResponseHandler End) {
    F.Client_.create("things", "a", 1, std::move(End));
  };
  auto Replace = [&](Revision Expected) {
    return [&F, Expected](StoreResponseHandler End) {
      F.Client_.replace("things", "a", Expected, 2, std::move(End));
    };
  };
  auto Remove = [&](StoreResponseHandler End) {
    F.Client_.remove("things", "a", std::move(End));
  };
  CHECK(Call(Create) == StoreStatus::Ok);
  CHECK(Call(Create) == StoreStatus::Conflict);
  CHECK(Call(Replace(1)) == StoreStatus::Conflict);
  CHECK(Call(Replace(2)) == StoreStatus::Ok);
  CHECK(Call(Remove) == StoreStatus::Ok);
  CHECK(Call(Remove) == StoreStatus::NotFound);
  // A name that changes the request would reach another object or none.
  for (const std::string &Odd : makeOddNames()) {
    CAPTURE(Odd);
    F.Store_.put("things", Odd, 1);
    CHECK(Call([&](StoreResponseHandler End) {
            F.Client_.replace("things", Odd, 1, 2, std::move(End));
          }) == StoreStatus::Conflict);
    CHECK(Call([&](StoreResponseHandler End) {
            F.Client_.remove("things", Odd, std::move(End));
          }) == StoreStatus::Ok);
    CHECK_FALSE(F.Store_.contains("things", Odd));
  }
  F.Store_.setMode(StoreMode::LoseWrites);
  CHECK(Call(Create) == StoreStatus::NoResponse);
  CHECK(F.Store_.contains("things", "a"));
  F.Store_.setMode(StoreMode::Throttle);
  CHECK(Call(Create) == StoreStatus::RateLimited);
  F.Store_.setMode(StoreMode::Refuse);
  CHECK(Call(Create) == StoreStatus::Unavailable);
}
