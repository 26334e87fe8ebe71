/// \file store_relay_test.cpp Store cache, reader choice and store relay.
#include "platform/decode_func.h"
#include "process/store_reader_func.h"
#include "standin/object_store_base.h"
#include "steering/store_cache_base.h"
#include "steering/store_relay_base.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <thread>

using namespace cranberry;
using cranberry::platform::StoreChanges;
using cranberry::platform::StoreObject;
using cranberry::standin::ObjectStore;
using nlohmann::json;

namespace {

/// Limit on each wait; conditions normally hold far sooner.
constexpr Duration LoopTimeout = seconds(20);

std::vector<std::string> getNames(const StoreChanges &Changes) {
  std::vector<std::string> Names;
  for (const platform::StoreChange &Change : Changes.Changes_)
    Names.push_back((Change.IsRemoved_ ? "-" : "") + Change.Object_.Name_);
  return Names;
}

Member makeVm(const char *Name, const char *Zone, const char *Region,
              MemberState State = MemberState::Alive) {
  Member Vm;
  Vm.Vm_ = Name;
  Vm.Zone_ = Zone;
  Vm.Region_ = Region;
  Vm.State_ = State;
  return Vm;
}

/// A VM that reads the store, and one that follows it through the relay.
struct Fixture {
  Fixture()
      : Log_(-1, "vm"),
        StoreClient_(Loop_, Store_.getAddress(), platform::DirectStoreTimeouts),
        Reader_(Loop_, StoreClient_, {"things", Duration(0), seconds(5)},
                makeHandlers(ReaderKnown_, true), Log_),
        Relay_(Loop_, [this](bool) { return getState(); }),
        RelayServer_(
            Loop_,
            [this](const IngressExchangePtr &E) { Relay_.handleRequest(E); }),
        RelayedFollower_(Loop_, StoreClient_,
                         {"things", Duration(0), seconds(5)},
                         makeHandlers(Known_, false), Log_) {
    Reason Why;
    REQUIRE(RelayServer_.open("127.0.0.1:0", Why));
    RelayClient_ = std::make_unique<platform::StoreClient>(
        Loop_, RelayServer_.getAddress(), platform::RelayTimeouts);
    Relay_.addKind("things", Reader_);
  }

  using Known = std::map<std::string, json>;

  FollowHandlers makeHandlers(Known &Target, bool IsReader) {
    FollowHandlers Handlers;
    Handlers.OnList_ = [this, &Target,
                        IsReader](const std::vector<StoreObject> &All) {
      Lists_ += IsReader ? 0 : 1;
      Target.clear();
      for (const StoreObject &Each : All)
        Target[Each.Name_] = Each.Body_;
    };
    Handlers.OnChange_ = [&Target](const platform::StoreChange &Change) {
      if (Change.IsRemoved_)
        Target.erase(Change.Object_.Name_);
      else
        Target[Change.Object_.Name_] = Change.Object_.Body_;
    };
    if (IsReader)
      Handlers.OnSuccess_ = [this] { Relay_.notifyWatches("things"); };
    Handlers.OnRelayFailed_ = [this](platform::StoreStatus,
                                     const std::string &) {
      ++RelayFailures_;
      RelayedFollower_.setRelay(nullptr);
    };
    return Handlers;
  }

  RelayState getState() const {
    if (Reader_.isUnavailable())
      return RelayState::Unavailable;
    return IsFresh_ ? RelayState::Fresh : RelayState::Pending;
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

  /// Returns when both VMs know "a" and "b" and the second uses the relay.
  void startBoth() {
    Store_.put("things", "a", 1);
    Reader_.start();
    RelayedFollower_.start();
    REQUIRE(runUntil([&] { return Known_ == Known{{"a", 1}}; }));
    RelayedFollower_.setRelay(RelayClient_.get());
    // The relay is used once the watch in flight at the store has ended, which
    // this change makes it do.
    Store_.put("things", "b", 2);
    REQUIRE(runUntil([&] { return Known_ == Known{{"a", 1}, {"b", 2}}; }));
  }

  ObjectStore Store_;                 ///< Stand-in for the store.
  boost::asio::io_context Loop_;      ///< Loop of both VMs.
  EventLog Log_;                      ///< Log of both followers.
  platform::StoreClient StoreClient_; ///< Client of the store.
  std::unique_ptr<platform::StoreClient> RelayClient_; ///< Client of the relay.
  Known ReaderKnown_;             ///< Objects at the reader.
  Known Known_;                   ///< Objects at the other VM.
  bool IsFresh_ = true;           ///< Whether the reader has fresh data.
  int RelayFailures_ = 0;         ///< Calls of OnRelayFailed_.
  unsigned Lists_ = 0;            ///< Lists that the other VM has received.
  StoreFollower Reader_;          ///< The reader's follower.
  StoreRelay Relay_;              ///< The reader's relay.
  IngressServer RelayServer_;     ///< Serves the relay.
  StoreFollower RelayedFollower_; ///< The other VM's follower.
};

} // namespace

TEST_CASE(
    "store cache: returns the last state of changed objects, and removals") {
  StoreCache Cache;
  Cache.replaceAll({{"a", 1, 1}, {"b", 2, 1}}, 10);
  CHECK_FALSE(Cache.getChangesSince(9));
  CHECK(Cache.getChangesSince(10)->Changes_.empty());
  Cache.applyChanges({{{{"a", 11, 2}, false}}, 11});
  Cache.applyChanges({{{{"a", 12, 3}, false}, {{"b", 2, 1}, true}}, 12});
  std::optional<StoreChanges> Changes = Cache.getChangesSince(10);
  REQUIRE(Changes);
  CHECK(Changes->Revision_ == 12);
  CHECK(getNames(*Changes) == std::vector<std::string>{"a", "-b"});
  CHECK(Changes->Changes_[0].Object_.Body_ == 3);
  CHECK(Cache.getChangesSince(12)->Changes_.empty());
  // A new list after a failure yields the removals since the old state.
  Cache.replaceAll({{"c", 20, 1}}, 20);
  CHECK(getNames(*Cache.getChangesSince(12)) ==
        std::vector<std::string>{"-a", "c"});
  CHECK(Cache.getPage().Objects_.size() == 1);
  CHECK(Cache.getPage().Revision_ == 20);
}

TEST_CASE("store cache: a renewed entry is no change, and a dropped removal "
          "needs a new list") {
  json Entry = {{"service", "pay"}, {"coldRemaining", "0ms"}, {"sequence", 1}};
  StoreCache Cache;
  Cache.replaceAll({{"a", 1, Entry}}, 1);
  Entry["sequence"] = 2;
  Cache.applyChanges({{{{"a", 2, Entry}, false}}, 2});
  CHECK(Cache.getChangesSince(1)->Changes_.empty());
  Entry["coldRemaining"] = "700ms";
  Cache.applyChanges({{{{"a", 3, Entry}, false}}, 3});
  CHECK(Cache.getChangesSince(2)->Changes_.size() == 1);
  Entry["sequence"] = 3;
  Cache.applyChanges({{{{"a", 4, Entry}, false}}, 4});
  CHECK(Cache.getChangesSince(3)->Changes_.size() == 1);
  Revision Next = 4;
  for (int I = 0; I < 1200; ++I) {
    std::string Name = "s" + std::to_string(I);
    Cache.applyChanges({{{{Name, ++Next, Entry}, false}}, Next});
    ++Next;
    Cache.applyChanges({{{{Name, Next, Entry}, true}}, Next});
  }
  CHECK_FALSE(Cache.getChangesSince(4));
  CHECK(Cache.getChangesSince(Next)->Changes_.empty());
}

TEST_CASE("store pages, changes and queries are decoded and malformed queries "
          "refused") {
  platform::StorePage Page{{{"a", 3, {{"x", "\xff"}}}}, false, 9};
  Reason Why;
  std::optional<platform::StorePage> DecodedPage =
      platform::decodePage(platform::encodePage(Page), Why);
  REQUIRE(DecodedPage);
  CHECK(DecodedPage->Revision_ == 9);
  REQUIRE(DecodedPage->Objects_.size() == 1);
  CHECK(DecodedPage->Objects_[0].Revision_ == 3);
  StoreChanges Changes{{{{"a", 3, 1}, true}}, 7};
  std::optional<StoreChanges> DecodedChanges =
      platform::decodeChanges(platform::encodeChanges(Changes), Why);
  REQUIRE(DecodedChanges);
  CHECK(getNames(*DecodedChanges) == std::vector<std::string>{"-a"});
  std::optional<platform::StoreQuery> Query =
      platform::decodeStoreQuery("/api/objects/servers?watch=5&waitMs=40");
  REQUIRE(Query);
  CHECK(Query->Kind_ == "servers");
  CHECK(Query->WatchFrom_ == Revision(5));
  CHECK(Query->Wait_ == milliseconds(40));
  CHECK_FALSE(platform::decodeStoreQuery("/api/objects/servers")->WatchFrom_);
  for (const char *Bad : {"/other", "/api/objects/servers?watch=x&waitMs=1",
                          "/api/objects/servers?watch=1&waitMs=-1",
                          "/api/objects/servers?watch=1"})
    CHECK_FALSE(platform::decodeStoreQuery(Bad));
}

TEST_CASE("one VM of a zone reads the store, and any VM can relay to one that "
          "can't") {
  MemberList Vms{makeVm("a", "z1", "r"), makeVm("b", "z1", "r"),
                 makeVm("c", "z1", "r"), makeVm("d", "z2", "r"),
                 makeVm("e", "y1", "s")};
  auto Select = [&Vms](size_t Self, bool IsStoreLost = false) {
    return selectStoreSource(Vms, Vms[Self], IsStoreLost, {});
  };
  std::set<std::string> Readers;
  for (size_t I = 0; I < 3; ++I) {
    StoreSourceChoice Choice = Select(I);
    Readers.insert(Choice.Vm_ ? Choice.Vm_->Vm_ : Vms[I].Vm_);
  }
  REQUIRE(Readers.size() == 1);
  CHECK(Select(3).Source_ == StoreSource::Store);
  // Another VM takes over from a suspected reader.
  for (Member &Vm : Vms)
    if (Vm.Vm_ == *Readers.begin())
      Vm.State_ = MemberState::Suspect;
  for (size_t I = 0; I < 3; ++I)
    if (const Member *Reader = Select(I).Vm_)
      CHECK(Reader->Vm_ != *Readers.begin());
  // A VM that can't read the store uses one in its region, or else any other.
  const Member *Near = Select(3, true).Vm_;
  REQUIRE(Near);
  CHECK(Near->Region_ == "r");
  CHECK(Near->Vm_ != "d");
  const Member *Far = Select(4, true).Vm_;
  REQUIRE(Far);
  CHECK(Far->Vm_ != "e");
  CHECK(selectStoreSource({Vms[4]}, Vms[4], true, {}).Source_ ==
        StoreSource::Store);
}

TEST_CASE("relay: changes come from the other VM without calls to the store") {
  Fixture F;
  F.startBoth();
  unsigned Before = F.Store_.getCalls();
  for (int I = 0; I < 5; ++I) {
    F.Store_.put("things", "a", 10 + I);
    CHECK(F.runUntil([&] { return F.Known_["a"] == 10 + I; }));
  }
  F.Store_.remove("things", "b");
  CHECK(F.runUntil([&] { return !F.Known_.contains("b"); }));
  // The reader's own watches, one for each change.
  CHECK(F.Store_.getCalls() - Before <= 7);
  CHECK(F.RelayFailures_ == 0);
}

TEST_CASE(
    "relay: a reader without fresh data is given up for the store at once") {
  Fixture F;
  F.startBoth();
  F.IsFresh_ = false;
  F.Store_.put("things", "a", 7);
  CHECK(F.runUntil([&] { return F.Known_["a"] == 7; }, seconds(2)));
  CHECK(F.RelayFailures_ == 1);
}

// Guards against zones whose VMs all list the servers at once when they change
// their source, which fills the links of weak VMs for seconds.
TEST_CASE("relay: a VM that changes its source asks only for what is new") {
  Fixture F;
  F.startBoth();
  F.RelayedFollower_.pause();
  F.Store_.put("things", "c", 3);
  REQUIRE(F.runUntil([&] { return F.ReaderKnown_.contains("c"); }));
  unsigned Before = F.Lists_;
  platform::StoreClient Other(F.Loop_, F.RelayServer_.getAddress(),
                              platform::RelayTimeouts);
  F.RelayedFollower_.setRelay(&Other);
  REQUIRE(F.runUntil([&] { return F.Known_.contains("c"); }));
  CHECK(F.Lists_ == Before);
  CHECK(F.Known_ == Fixture::Known{{"a", 1}, {"b", 2}, {"c", 3}});
  // A relay whose history starts later has to be listed.
  F.RelayedFollower_.pause();
  F.Store_.put("things", "d", 4);
  F.Store_.remove("things", "b");
  Fixture::Known Unused;
  StoreFollower Late(F.Loop_, F.StoreClient_,
                     {"things", Duration(0), seconds(5)},
                     F.makeHandlers(Unused, true), F.Log_);
  Late.start();
  REQUIRE(F.runUntil([&] { return Unused.contains("d"); }));
  F.Relay_.addKind("things", Late);
  F.RelayedFollower_.setRelay(F.RelayClient_.get());
  CHECK(F.runUntil([&] {
    return F.Known_ == Fixture::Known{{"a", 1}, {"c", 3}, {"d", 4}};
  }));
  CHECK(F.Lists_ == Before + 1);
  CHECK(F.RelayFailures_ == 0);
  F.RelayedFollower_.pause();
}

TEST_CASE("relay: an unreachable reader is given up for the store at once") {
  Fixture F;
  F.startBoth();
  F.RelayServer_.stopAccepting();
  F.RelayClient_ = nullptr;
  F.RelayClient_ = std::make_unique<platform::StoreClient>(
      F.Loop_, "127.0.0.1:1", platform::RelayTimeouts);
  F.RelayedFollower_.setRelay(F.RelayClient_.get());
  F.Store_.put("things", "a", 8);
  CHECK(F.runUntil([&] { return F.Known_["a"] == 8; }, seconds(2)));
  CHECK(F.RelayFailures_ == 1);
}

TEST_CASE(
    "relay: a reader that is behind does not revert the other VM's state") {
  Fixture F;
  F.startBoth();
  // The reader gets no more changes, and the other VM reads the store itself.
  F.RelayedFollower_.setRelay(nullptr);
  F.Store_.suppressWatchEvents();
  F.Store_.put("things", "a", 9);
  F.RelayedFollower_.restart();
  REQUIRE(F.runUntil([&] { return F.Known_["a"] == 9; }));
  F.RelayedFollower_.setRelay(F.RelayClient_.get());
  F.RelayedFollower_.restart();
  CHECK(F.runUntil([&] { return F.RelayFailures_ == 1; }));
  CHECK(F.Known_["a"] == 9);
}

TEST_CASE(
    "relay: a watch that times out as a change arrives gets one response") {
  Fixture F;
  F.startBoth();
  // Long timeouts, so that a slow machine does not end the calls before their
  // responses.
  platform::StoreClient Client(F.Loop_, F.RelayServer_.getAddress(),
                               {LoopTimeout, LoopTimeout, LoopTimeout});
  for (int Round = 0; Round < 20; ++Round) {
    int Responses = 0;
    constexpr int Watches = 20;
    Revision Now = F.Reader_.getRevision();
    for (int I = 0; I < Watches; ++I)
      Client.watch("things", Now, milliseconds(20),
                   [&](const platform::StoreResponse &Reply) {
                     Responses +=
                         Reply.Status_ == platform::StoreStatus::Ok ? 1 : 0;
                   });
    F.runUntil([] { return false; }, milliseconds(8));
    F.Store_.put("things", "a", 100 + Round);
    // Blocks the loop until the wait times of the watches are over.
    for (Time Over = getNow() + milliseconds(25); getNow() < Over;)
      std::this_thread::yield();
    CHECK(F.runUntil([&] { return Responses == Watches; }));
  }
}
