/// \file rollback_test.cpp State of entry VMs when the store is restored.
#include "platform/store_client_base.h"
#include "standin/object_store_base.h"
#include "steering/store_follower_base.h"
#include "steering/store_relay_base.h"
#include "version/evacuation_set_base.h"
#include "version/server_registry_base.h"

#include <catch2/catch.hpp>

#include <map>

using namespace cranberry;
using cranberry::standin::ObjectStore;
using nlohmann::json;

namespace {

constexpr Duration LoopTimeout = seconds(20);

using Names = std::set<std::string>;
using Contents = std::map<std::string, json>;

ServerRecord makeRecord(const std::string &Id, int64_t Sequence,
                        bool IsDraining = false, int64_t Born = 1) {
  ServerRecord Record;
  Record.InstanceId_ = Id;
  Record.Service_ = "one";
  Record.Zone_ = "north-a";
  Record.IsDraining_ = IsDraining;
  Record.Sequence_ = Sequence;
  Record.StartTimeMs_ = Born;
  return Record;
}

Names getIds(const ServerRegistry &Registry) {
  Names Result;
  for (const UsableServer &Server : Registry.getUsableServers())
    Result.insert(Server.Record_.InstanceId_);
  return Result;
}

/// A follower of the store, one that reads from it through a relay, and their
/// contents.
struct Fixture {
  Fixture()
      : Client_(Loop_, Store_.getAddress(), platform::DirectStoreTimeouts),
        Log_(-1, "vm"),
        Direct_(Loop_, Client_, {"things", Duration(0), seconds(5)},
                makeHandlers(DirectContents_, DirectEras_), Log_),
        Relay_(Loop_, [](bool) { return RelayState::Fresh; }),
        RelayServer_(Loop_,
                     [this](const IngressExchangePtr &Exchange) {
                       Relay_.handleRequest(Exchange);
                     }),
        Relayed_(Loop_, Client_, {"things", Duration(0), seconds(5)},
                 makeHandlers(RelayedContents_, RelayedEras_), Log_) {
    Reason Why;
    REQUIRE(RelayServer_.open("127.0.0.1:0", Why));
    RelayClient_ = std::make_unique<platform::StoreClient>(
        Loop_, RelayServer_.getAddress(), platform::RelayTimeouts);
    Relay_.addKind("things", Direct_);
    Relayed_.setRelay(RelayClient_.get());
  }

  FollowHandlers makeHandlers(Contents &Known, int &Eras) {
    FollowHandlers Handlers;
    Handlers.OnList_ = [&](const std::vector<platform::StoreObject> &All) {
      Known.clear();
      for (const platform::StoreObject &Each : All)
        Known[Each.Name_] = Each.Body_;
    };
    Handlers.OnChange_ = [&](const platform::StoreChange &Change) {
      if (Change.IsRemoved_)
        Known.erase(Change.Object_.Name_);
      else
        Known[Change.Object_.Name_] = Change.Object_.Body_;
    };
    Handlers.OnSuccess_ = [this, &Known] {
      if (&Known == &DirectContents_)
        Relay_.notifyWatches("things");
    };
    Handlers.OnNewEra_ = [&Eras] { ++Eras; };
    // Nothing but the relay may bring the changes.
    Handlers.OnRelayFailed_ = [this](platform::StoreStatus,
                                     const std::string &) {
      Relayed_.restart();
    };
    return Handlers;
  }

  bool waitFor(const Contents &Expected) {
    Time End = getNow() + LoopTimeout;
    auto IsReached = [&] {
      return DirectContents_ == Expected && RelayedContents_ == Expected;
    };
    while (!IsReached() && getNow() < End) {
      Loop_.restart();
      Loop_.run_one_for(milliseconds(5));
    }
    return IsReached();
  }

  ObjectStore Store_;            ///< Stand-in for the store.
  boost::asio::io_context Loop_; ///< Loop of everything below.
  platform::StoreClient Client_; ///< Client of the store.
  EventLog Log_;                 ///< Log of the followers.
  Contents DirectContents_;      ///< Objects from the store.
  Contents RelayedContents_;     ///< Objects from the relay.
  int DirectEras_ = 0;           ///< New eras seen at the store.
  int RelayedEras_ = 0;          ///< New eras seen at the relay.
  StoreFollower Direct_;         ///< Reads the store.
  StoreRelay Relay_;             ///< Relays Direct_.
  IngressServer RelayServer_;    ///< Port of the relay.
  std::unique_ptr<platform::StoreClient> RelayClient_; ///< Calls to the relay.
  StoreFollower Relayed_; ///< Reads from the relay.
};

} // namespace

TEST_CASE(
    "rollback: followers list anew although their revision has been given "
    "out again") {
  for (int ChangesAfterwards : {0, 1, 2, 5}) {
    CAPTURE(ChangesAfterwards);
    Fixture F;
    F.Store_.put("things", "a", 1);
    F.Store_.saveCopy();
    F.Store_.put("things", "b", 1);
    F.Store_.put("things", "a", 2);
    F.Direct_.start();
    F.Relayed_.start();
    REQUIRE(F.waitFor({{"a", 2}, {"b", 1}}));
    F.Store_.restoreCopy();
    Contents Expected{{"a", 1}};
    for (int I = 0; I < ChangesAfterwards; ++I) {
      F.Store_.put("things", "c", I);
      Expected["c"] = I;
    }
    CHECK(F.waitFor(Expected));
    CHECK(F.DirectEras_ == 1);
    CHECK(F.RelayedEras_ == 1);
    F.Store_.put("things", "d", 1);
    Expected["d"] = 1;
    CHECK(F.waitFor(Expected));
  }
}

TEST_CASE("rollback: a watch that starts after the restore, at a revision that "
          "was given out again, is not trusted") {
  Fixture F;
  F.Store_.put("things", "a", 1);
  F.Store_.saveCopy();
  F.Store_.put("things", "b", 1);
  F.Direct_.setMinWatchInterval(seconds(1));
  F.Direct_.start();
  F.Relayed_.start();
  Contents Expected{{"a", 1}, {"b", 1}};
  REQUIRE(F.waitFor(Expected));
  // The second of two changes ends a watch that has just started, so that the
  // next one has to wait.
  for (int I = 0; I < 2; ++I) {
    F.Store_.put("things", "c", I);
    Expected["c"] = I;
    REQUIRE(F.waitFor(Expected));
  }
  F.Store_.restoreCopy();
  for (int I = 0; I < 10; ++I)
    F.Store_.put("things", "d", I);
  CHECK(F.waitFor({{"a", 1}, {"d", 9}}));
}

TEST_CASE("rollback: entries from the copy don't replace newer ones") {
  ServerRegistry Registry;
  Time Now{seconds(100)};
  Registry.applySnapshot({makeRecord("draining", 5), makeRecord("removed", 5),
                          makeRecord("alive", 5), makeRecord("restarted", 5)},
                         Now);
  Registry.applyChange({makeRecord("draining", 8, true), false}, Now);
  Registry.applyChange({makeRecord("removed", 8), true}, Now);
  Registry.applyChange({makeRecord("restarted", 1, false, 2), false}, Now);
  Registry.onStoreRolledBack(Now);
  Registry.applySnapshot({makeRecord("draining", 6), makeRecord("removed", 7),
                          makeRecord("alive", 4), makeRecord("restarted", 9)},
                         Now);
  CHECK(getIds(Registry) == Names{"alive", "restarted"});
  for (const UsableServer &Server : Registry.getUsableServers())
    if (Server.Record_.InstanceId_ == "restarted")
      CHECK(Server.Record_.StartTimeMs_ == 2);
  // A server that has left doesn't write again; one that lives does.
  Registry.applyChange({makeRecord("draining", 9, true), false}, Now);
  Registry.applyChange({makeRecord("removed", 9), false}, Now);
  CHECK(getIds(Registry) == Names{"alive", "removed", "restarted"});
}

TEST_CASE("rollback: a server that the copy lacks is kept for a grace period") {
  ServerRegistry Registry;
  Time Now{seconds(100)};
  Registry.applySnapshot({makeRecord("a", 1), makeRecord("b", 1)}, Now);
  Registry.onStoreRolledBack(Now);
  Registry.applySnapshot({}, Now);
  CHECK(getIds(Registry) == Names{"a", "b"});
  Registry.applyChange({makeRecord("a", 2), false}, Now + seconds(1));
  Registry.removeExpired(Now + ServerRegistry::ExpiryGracePeriod);
  CHECK(getIds(Registry) == Names{"a"});
}

TEST_CASE("rollback: an evacuation that the copy lacks holds until it is "
          "written again or its lifetime ends") {
  Time Now{seconds(100)};
  EvacuationSet Zones;
  Zones.applyList({"a", "b", "c"});
  Zones.onStoreRolledBack(Now);
  Zones.applyList({"d"});
  CHECK(Zones.getZones() == Names{"a", "b", "c", "d"});
  Zones.applyChange("a", false);
  Zones.applyChange("b", true);
  // A further list doesn't shorten the lifetime.
  Zones.applyList({"a", "d"});
  CHECK(Zones.getZones() == Names{"a", "c", "d"});
  CHECK_FALSE(Zones.removeUnconfirmed(Now + seconds(1)));
  CHECK(Zones.removeUnconfirmed(Now + EvacuationSet::UnconfirmedLifetime));
  CHECK(Zones.getZones() == Names{"a", "d"});
}
