/// \file store_source_test.cpp Which entry VMs call the store, and how often.
#include "net/ingress_server_base.h"
#include "platform/decode_func.h"
#include "process/store_source_selector_base.h"
#include "standin/object_store_base.h"
#include "steering/store_view_base.h"
#include "steering/vm_discovery_base.h"
#include "test/support/store_readers_func.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace cranberry;
using cranberry::standin::ObjectStore;
using cranberry::standin::StoreMode;
using nlohmann::json;

namespace {

constexpr unsigned Seed = 20261205;
constexpr Duration LoopTimeout = seconds(20);
constexpr unsigned Zones = 9;

/// VMs of several zones, and what they have learnt of each other.
class Fleet {
public:
  explicit Fleet(unsigned Count, unsigned ZoneCount = Zones) : Failed_(Count) {
    for (unsigned I = 0; I < Count; ++I) {
      Member Vm;
      Vm.Vm_ = "vm" + std::to_string(I);
      Vm.PeerAddress_ = "10.0." + std::to_string(I) + ".1:7200";
      Vm.Zone_ = "zone-" + std::to_string(I % ZoneCount);
      Vm.Region_ = "region-" + std::to_string(I % ZoneCount / 3);
      Vms_.push_back(Vm);
    }
  }

  size_t getCount() const { return Vms_.size(); }

  const MemberList &getMembers() const { return Vms_; }

  /// Lets every VM select its source until none of them changes it.
  /// \param CanRead Whether a VM can read the store.
  /// \param IsUp Whether a VM answers others.
  /// \return VMs that have called the store, by zone.
  template <typename R, typename U>
  std::map<std::string, std::set<std::string>> settle(R CanRead, U IsUp) {
    std::map<std::string, std::set<std::string>> Callers;
    for (int Round = 0; Round < 12; ++Round)
      for (size_t I = 0; I < Vms_.size(); ++I) {
        if (!IsUp(I))
          continue;
        StoreSourceChoice Choice =
            selectStoreSource(Vms_, Vms_[I], Lost_.contains(I), Failed_[I]);
        Last_[I] = Choice.Source_;
        IsInformed_[I] = Choice.Source_ == StoreSource::Store && CanRead(I);
        if (Choice.Source_ == StoreSource::Store) {
          Callers[Vms_[I].Zone_].insert(Vms_[I].Vm_);
          if (!CanRead(I))
            Lost_.insert(I);
        }
        if (Choice.Source_ != StoreSource::Vm)
          continue;
        auto Reader = static_cast<size_t>(Choice.Vm_ - Vms_.data());
        if (!IsUp(Reader)) {
          Failed_[I].Silent_.insert(Choice.Vm_->PeerAddress_);
          continue;
        }
        // Asked by another VM, it calls the store.
        Callers[Vms_[Reader].Zone_].insert(Vms_[Reader].Vm_);
        IsInformed_[I] = CanRead(Reader);
        if (!CanRead(Reader))
          Failed_[I].Behind_.insert(Choice.Vm_->PeerAddress_);
      }
    return Callers;
  }

  /// \return Number of VMs whose last source was \p Source.
  size_t count(StoreSource Source) const {
    size_t Result = 0;
    for (const auto &[Vm, Last] : Last_)
      Result += Last == Source ? 1 : 0;
    return Result;
  }

  const Member &getVm(size_t Index) const { return Vms_[Index]; }

  /// \return Whether the last source of a VM can read the store.
  bool isInformed(size_t Index) const { return IsInformed_.at(Index); }

  /// \return The VMs of a zone that read the store if it serves them, in their
  /// order.
  std::vector<size_t> getReaders(const std::string &Zone) const {
    return test::getStoreReaders(Vms_, Zone);
  }

private:
  MemberList Vms_;
  std::vector<FailedReaders> Failed_;
  std::set<size_t> Lost_;
  std::map<size_t, StoreSource> Last_;
  std::map<size_t, bool> IsInformed_;
};

template <typename F>
bool runUntil(boost::asio::io_context &Loop, F Condition,
              Duration Limit = LoopTimeout) {
  Time End = getNow() + Limit;
  while (!Condition() && getNow() < End) {
    Loop.restart();
    Loop.run_one_for(milliseconds(5));
  }
  return Condition();
}

json makeServerEntry(unsigned Number) {
  return {{"service", "one"},
          {"address", "10.0.0.1:" + std::to_string(1000 + Number)},
          {"zone", "north-a"},
          {"state", "ready"},
          {"slots", 4},
          {"born", 1},
          {"sequence", 1}};
}

} // namespace

TEST_CASE("store source: one VM of a zone calls a store that works, whatever "
          "the fleet's size") {
  for (unsigned Count : {30U, 80U, 300U}) {
    Fleet Vms(Count);
    auto All = [](size_t) { return true; };
    std::map<std::string, std::set<std::string>> Callers = Vms.settle(All, All);
    CHECK(Callers.size() == Zones);
    for (const auto &[Zone, InZone] : Callers)
      CHECK(InZone.size() == 1);
    CHECK(Vms.count(StoreSource::Vm) == Count - Zones);
  }
}

TEST_CASE("store source: a store that refuses all VMs is called by few of each "
          "zone, whatever the fleet's size") {
  for (unsigned Count : {30U, 80U, 300U}) {
    Fleet Vms(Count);
    auto CanRead = [](size_t) { return false; };
    std::map<std::string, std::set<std::string>> Callers =
        Vms.settle(CanRead, [](size_t) { return true; });
    for (const auto &[Zone, InZone] : Callers)
      CHECK(InZone.size() <= MaxReadersPerZone);
    // In each zone, at least one of them goes on trying.
    CHECK(Vms.count(StoreSource::Store) >= Zones);
  }
}

TEST_CASE("store source: where a store refuses some VMs, all others still hear "
          "of its changes") {
  std::mt19937 Random(Seed);
  for (int Round = 0; Round < 20; ++Round) {
    Fleet Vms(80);
    std::set<size_t> Refused;
    for (size_t I = 0; I < 80; ++I)
      if (Random() % 3 == 0)
        Refused.insert(I);
    std::map<std::string, std::set<std::string>> Callers =
        Vms.settle([&](size_t Vm) { return !Refused.contains(Vm); },
                   [](size_t) { return true; });
    for (const auto &[Zone, InZone] : Callers)
      CHECK(InZone.size() <= MaxReadersPerZone);
    for (size_t I = 0; I < Vms.getCount(); ++I)
      if (!Refused.contains(I))
        CHECK(Vms.isInformed(I));
  }
}

// Guards against VMs that stayed on an old version while the store served them
// and turned away the four readers of their zone.
TEST_CASE("store source: where a store refuses all readers of a zone, the zone "
          "still hears of its changes") {
  for (unsigned ZoneCount : {1U, 2U, 3U, 9U}) {
    CAPTURE(ZoneCount);
    Fleet Vms(ZoneCount * 10, ZoneCount);
    std::vector<size_t> Readers = Vms.getReaders("zone-0");
    REQUIRE(Readers.size() == MaxReadersPerZone);
    std::set<size_t> Refused(Readers.begin(), Readers.end());
    std::map<std::string, std::set<std::string>> Callers =
        Vms.settle([&](size_t Vm) { return !Refused.contains(Vm); },
                   [](size_t) { return true; });
    for (size_t I = 0; I < Vms.getCount(); ++I)
      CHECK(Vms.isInformed(I));
    // One more VM reads the store if no other zone has a reader.
    CHECK(Callers["zone-0"].size() <= MaxReadersPerZone + 1);
    for (unsigned Zone = 1; Zone < ZoneCount; ++Zone)
      CHECK(Callers["zone-" + std::to_string(Zone)].size() == 1);
  }
}

TEST_CASE("store source: a VM that can't read the store either goes on to ask "
          "others") {
  Fleet Vms(18, 2);
  std::set<size_t> Refused;
  for (size_t Reader : Vms.getReaders("zone-0"))
    Refused.insert(Reader);
  std::vector<size_t> Foreign = Vms.getReaders("zone-1");
  Refused.insert(Foreign.begin(), Foreign.begin() + 3);
  Vms.settle([&](size_t Vm) { return !Refused.contains(Vm); },
             [](size_t) { return true; });
  for (size_t I = 0; I < Vms.getCount(); ++I)
    CHECK(Vms.isInformed(I));
}

TEST_CASE("store source: VMs whose readers are all silent read the store") {
  Fleet Vms(80);
  // All VMs of a zone but one lost power, and the members don't know yet.
  auto IsUp = [&](size_t Vm) {
    return Vms.getVm(Vm).Zone_ != "zone-4" || Vm == 4 + 8 * Zones;
  };
  std::map<std::string, std::set<std::string>> Callers =
      Vms.settle([](size_t) { return true; }, IsUp);
  CHECK(Callers["zone-4"] == std::set<std::string>{Vms.getVm(76).Vm_});
}

// Guards against a zone whose VMs all change their source at once when the
// store refuses the one that reads for them.
TEST_CASE("store source: a refused reader follows a reader that works, and the "
          "others stay with it") {
  Fleet Vms(20, 2);
  std::vector<size_t> Readers = Vms.getReaders("zone-0");
  std::vector<size_t> Foreign = Vms.getReaders("zone-1");
  StoreSourceSelector Refused(Seed);
  Time Now{seconds(1000)};
  StoreSourceTarget Target =
      Refused.select(Vms.getMembers(), Vms.getVm(Readers[0]),
                     {StoreSource::Store, "", true}, Now);
  CHECK(Target.Source_ == StoreSource::Vm);
  CHECK(Target.Peer_ == Vms.getVm(Foreign[0]).PeerAddress_);
  CHECK(Target.IsDirect_);
  // The store is tried again later, not at once.
  StoreSourceStatus Status{StoreSource::Vm, Target.Peer_, false};
  Target = Refused.select(Vms.getMembers(), Vms.getVm(Readers[0]), Status,
                          Now + seconds(9));
  CHECK(Target.Source_ == StoreSource::Vm);
  Target = Refused.select(Vms.getMembers(), Vms.getVm(Readers[0]), Status,
                          Now + seconds(10));
  CHECK(Target.Source_ == StoreSource::Store);
  CHECK_FALSE(Target.IsDirect_);
  StoreSourceSelector Other(Seed);
  Target = Other.select(Vms.getMembers(), Vms.getVm(Readers[3]),
                        {StoreSource::Vm, "", false}, Now);
  CHECK(Target.Peer_ == Vms.getVm(Readers[0]).PeerAddress_);
  CHECK_FALSE(Target.IsDirect_);
}

namespace {

/// Simulates the VMs of one zone, of which one can read the store and is none
/// that the others ask.
/// \return Time from the refusal of the others until that one calls the store.
Duration findAbleVm(uint64_t FirstSeed) {
  constexpr size_t Count = 24;
  const Duration MaxTime = seconds(60);
  constexpr Duration Bound = milliseconds(2500);
  Fleet Vms(Count, 1);
  std::vector<size_t> Asked = Vms.getReaders("zone-0");
  size_t Able = 0;
  while (std::find(Asked.begin(), Asked.end(), Able) != Asked.end())
    ++Able;
  std::vector<StoreSourceSelector> Selectors;
  std::vector<StoreSourceStatus> Status(Count);
  std::map<std::string, size_t> ByPeer;
  for (size_t I = 0; I < Count; ++I) {
    Selectors.emplace_back(FirstSeed + I);
    Selectors.back().setBound(Bound);
    ByPeer[Vms.getVm(I).PeerAddress_] = I;
  }
  Time Start{seconds(1000)};
  for (Time Now = Start; Now - Start < MaxTime;
       Now += StoreSourceSelector::Period)
    for (size_t I = 0; I < Count; ++I)
      // A VM asks the next one as soon as it has an answer.
      for (size_t Asks = 0; Asks < Count; ++Asks) {
        Status[I].ConfirmationAge_ = Now - Start;
        StoreSourceTarget Target =
            Selectors[I].select(Vms.getMembers(), Vms.getVm(I), Status[I], Now);
        if (Target.Source_ == StoreSource::Store && I == Able)
          return Now - Start;
        Status[I] = {Target.Source_, Target.Peer_,
                     Target.Source_ == StoreSource::Store};
        if (Target.Source_ != StoreSource::Vm)
          break;
        Selectors[ByPeer.at(Target.Peer_)].recordRequest(Now);
        Selectors[I].recordFailure(Target.Peer_, true, Now);
      }
  return MaxTime;
}

} // namespace

TEST_CASE("store source: the only VM of a zone that can read the store is "
          "found soon") {
  constexpr unsigned Seeds = 20;
  for (unsigned I = 0; I < Seeds; ++I) {
    CAPTURE(I);
    CHECK(toMilliseconds(findAbleVm(Seed + 100 * I)) <= 2500);
  }
}

// Guards against zones that change their reader with each late heartbeat.
TEST_CASE("store source: a source that answers is kept while others suspect "
          "it") {
  Fleet Vms(20, 2);
  std::vector<size_t> Readers = Vms.getReaders("zone-0");
  const Member &First = Vms.getVm(Readers[0]);
  MemberList Members = Vms.getMembers();
  Members[Readers[0]].State_ = MemberState::Suspect;
  StoreSourceSelector Follower(Seed);
  const Member &Self = Vms.getVm(Readers[3]);
  Time Now{seconds(1000)};
  StoreSourceStatus Status{StoreSource::Vm, First.PeerAddress_, false};
  CHECK(Follower.select(Members, Self, Status, Now).Peer_ ==
        First.PeerAddress_);
  // One that gives no answer is not, nor one that has gone.
  Follower.recordFailure(First.PeerAddress_, false, Now);
  CHECK(Follower.select(Members, Self, Status, Now).Peer_ ==
        Vms.getVm(Readers[1]).PeerAddress_);
  StoreSourceSelector Later(Seed);
  Members[Readers[0]].State_ = MemberState::Gone;
  CHECK(Later.select(Members, Self, Status, Now).Peer_ ==
        Vms.getVm(Readers[1]).PeerAddress_);
}

TEST_CASE("store source: each VM tries the store once if nobody is known to "
          "have read it") {
  constexpr Duration Bound = seconds(4);
  Fleet Vms(80);
  Time Now{seconds(1000)};
  Duration Earliest = Bound;
  Duration Latest{0};
  for (size_t I = 0; I < Vms.getCount(); ++I) {
    const Member &Self = Vms.getVm(I);
    std::vector<size_t> Readers = Vms.getReaders(Self.Zone_);
    if (std::find(Readers.begin(), Readers.end(), I) != Readers.end())
      continue;
    StoreSourceSelector Selector(I);
    Selector.setBound(Bound);
    std::string Reader = Vms.getVm(Readers[0]).PeerAddress_;
    StoreSourceStatus Status{StoreSource::Vm, Reader, false};
    Duration Age{0};
    for (; Age < Bound; Age += StoreSourceSelector::Period) {
      Status.ConfirmationAge_ = Age;
      if (Selector.select(Vms.getMembers(), Self, Status, Now + Age).Source_ ==
          StoreSource::Store)
        break;
    }
    REQUIRE(Age < Bound);
    Earliest = std::min(Earliest, Age);
    Latest = std::max(Latest, Age);
    // The store refuses this VM, and others have read nothing either.
    Time Failed = Now + Age;
    Selector.select(Vms.getMembers(), Self, {StoreSource::Store, "", true},
                    Failed);
    for (; Age < 2 * Bound; Age += StoreSourceSelector::Period) {
      Status.ConfirmationAge_ = Age;
      CHECK(
          Selector.select(Vms.getMembers(), Self, Status, Now + Age).Source_ ==
          StoreSource::Vm);
    }
  }
  CHECK(Earliest >= Bound / 2);
  CHECK(Latest <= Bound * 4 / 5);
  CHECK(Latest - Earliest >= StoreSourceSelector::Period * 2);
}

TEST_CASE("store source: a VM that failed tries the store again after others "
          "have read it") {
  constexpr Duration Bound = seconds(4);
  Fleet Vms(80);
  std::vector<size_t> Readers = Vms.getReaders("zone-0");
  const Member &Self = Vms.getVm(Readers[3]);
  StoreSourceSelector Selector(Seed);
  Selector.setBound(Bound);
  Time Now{seconds(1000)};
  Selector.select(Vms.getMembers(), Self, {StoreSource::Store, "", true}, Now);
  StoreSourceStatus Status{StoreSource::Vm, Vms.getVm(Readers[0]).PeerAddress_,
                           false, Bound};
  CHECK(
      Selector.select(Vms.getMembers(), Self, Status, Now + Bound - seconds(1))
          .Source_ == StoreSource::Vm);
  // The failure is still the last thing known of the store when the VM tries
  // it.
  Now += Bound + seconds(1);
  Status.IsStoreUnavailable_ = true;
  CHECK(Selector.select(Vms.getMembers(), Self, Status, Now).Source_ ==
        StoreSource::Store);
  Status.Source_ = StoreSource::Store;
  CHECK(Selector.select(Vms.getMembers(), Self, Status, Now + milliseconds(400))
            .Source_ == StoreSource::Store);
  CHECK(Selector.select(Vms.getMembers(), Self, Status, Now + seconds(1))
            .Source_ == StoreSource::Vm);
}

TEST_CASE("store source: a VM tries the store again in a long outage") {
  constexpr Duration Bound = seconds(4);
  Fleet Vms(80);
  std::vector<size_t> Readers = Vms.getReaders("zone-0");
  const Member &Self = Vms.getVm(Readers[3]);
  StoreSourceSelector Selector(Seed);
  Selector.setBound(Bound);
  StoreSourceStatus Status{StoreSource::Vm, Vms.getVm(Readers[0]).PeerAddress_,
                           false, seconds(60)};
  Time Now{seconds(1000)};
  int Attempts = 0;
  for (Time At = Now; At < Now + seconds(35); At += seconds(5))
    Attempts += Selector.select(Vms.getMembers(), Self, Status, At).Source_ ==
                        StoreSource::Store
                    ? 1
                    : 0;
  CHECK(Attempts == 3);
}

TEST_CASE("store source: a VM whose source is heard doesn't try the store") {
  constexpr Duration Bound = seconds(4);
  Fleet Vms(80);
  const Member &Self = Vms.getVm(Vms.getReaders("zone-0")[3]);
  std::string Reader = Vms.getVm(Vms.getReaders("zone-0")[0]).PeerAddress_;
  StoreSourceSelector Selector(Seed);
  Selector.setBound(Bound);
  StoreSourceStatus Status{StoreSource::Vm, Reader, false, Bound / 2};
  Time Now{seconds(1000)};
  for (Time At = Now; At < Now + seconds(60); At += StoreSourceSelector::Period)
    CHECK(Selector.select(Vms.getMembers(), Self, Status, At).Source_ ==
          StoreSource::Vm);
}

namespace {

/// Entry VM that reads through a StoreView and relays to others.
struct RelayingVm {
  RelayingVm(boost::asio::io_context &Loop, const std::string &Store)
      : Log_(-1, "vm"), Client_(Loop, Store, platform::DirectStoreTimeouts),
        View_(Loop, Client_, makeSettings(), Log_, makeHandlers()),
        Server_(Loop, [this](const IngressExchangePtr &Exchange) {
          View_.handleRelayRequest(Exchange);
        }) {
    Reason Why;
    REQUIRE(Server_.open("127.0.0.1:0", Why));
  }

  static Settings makeSettings() {
    Settings Result;
    Result.ServerDrain_ = seconds(4);
    return Result;
  }

  StoreViewHandlers makeHandlers() {
    StoreViewHandlers Result;
    Result.OnConfig_ = [](const RoutingConfigPtr &, Time) {};
    Result.OnServers_ = [] {};
    Result.OnFailure_ = [] {};
    Result.OnStoreRolledBack_ = [] {};
    Result.OnReaderFailed_ = [this](const std::string &, bool IsBehind) {
      ++(IsBehind ? Behind_ : Silent_);
    };
    Result.OnReaderWanted_ = [] {};
    return Result;
  }

  size_t getServerCount() const { return View_.getRegistry().getServerCount(); }

  EventLog Log_;                 ///< Event log.
  platform::StoreClient Client_; ///< Calls to the store.
  int Behind_ = 0;               ///< Refusals of the VM that it follows.
  int Silent_ = 0;               ///< Calls to that VM without an answer.
  StoreView View_;               ///< The view under test.
  IngressServer Server_;         ///< Port for other VMs.
};

} // namespace

// Guards against healthy VMs that learn of a change late because the one that
// they follow is refused, and against two refused VMs that follow each other.
TEST_CASE("view: a VM that the store refuses relays what another VM reads, to "
          "those that need not read it from the store") {
  boost::asio::io_context Loop;
  ObjectStore Store;
  Store.put("config", "main", {{"version", 0}});
  Store.put("servers", "s0", makeServerEntry(0));
  RelayingVm Reader(Loop, Store.getAddress());
  RelayingVm Refused(Loop, "127.0.0.1:1");
  RelayingVm Behind(Loop, "127.0.0.1:1");
  RelayingVm AlsoRefused(Loop, "127.0.0.1:1");
  Reader.View_.setSource({StoreSource::Store, "", false});
  REQUIRE(runUntil(Loop, [&] { return Reader.getServerCount() == 1; }));
  Refused.View_.setSource({StoreSource::Vm, Reader.Server_.getAddress(), true});
  REQUIRE(runUntil(Loop, [&] { return Refused.getServerCount() == 1; }));
  Behind.View_.setSource(
      {StoreSource::Vm, Refused.Server_.getAddress(), false});
  REQUIRE(runUntil(Loop, [&] { return Behind.getServerCount() == 1; }));
  AlsoRefused.View_.setSource(
      {StoreSource::Vm, Refused.Server_.getAddress(), true});
  CHECK(runUntil(Loop, [&] { return AlsoRefused.Behind_ == 1; }));
  CHECK(AlsoRefused.getServerCount() == 0);
  unsigned Calls = Store.getCalls();
  Store.put("servers", "s1", makeServerEntry(1));
  CHECK(runUntil(
      Loop, [&] { return Behind.getServerCount() == 2; }, seconds(3)));
  CHECK(Store.getCalls() - Calls <= 4);
  CHECK(Behind.Behind_ + Behind.Silent_ == 0);
  // Without a source, what the refused VM knows gets too old to be relayed.
  Refused.View_.setSource({StoreSource::None, "", false});
  Time Before = getNow();
  CHECK(runUntil(Loop, [&] { return Behind.Behind_ == 1; }));
  CHECK(getNow() - Before <= seconds(4));
  CHECK(Behind.getServerCount() == 2);
}

TEST_CASE("discovery: lists go on until contact and are rare afterwards") {
  boost::asio::io_context Loop;
  ObjectStore Store;
  platform::StoreClient Client(Loop, Store.getAddress(),
                               platform::DirectStoreTimeouts);
  EventLog Log(-1, "vm");
  std::set<std::string> Found;
  int Lists = 0;
  VmDiscovery Discovery(Loop, Client, Log, "10.0.0.9:7200", Seed,
                        [&](const std::vector<std::string> &Peers) {
                          ++Lists;
                          Found.insert(Peers.begin(), Peers.end());
                        });
  Store.setMode(StoreMode::Refuse);
  Discovery.start();
  REQUIRE(runUntil(Loop, [&] { return Lists == 2; }));
  CHECK(Found.empty());
  Store.setMode(StoreMode::Serve);
  Store.setPageSize(2);
  for (int I = 0; I < 5; ++I)
    Store.put("entry-vms", "vm" + std::to_string(I),
              {{"peer", "10.0.0." + std::to_string(I) + ":7200"}});
  Store.put("entry-vms", "self", {{"peer", "10.0.0.9:7200"}});
  Store.put("entry-vms", "odd-1", {{"peer", 7}});
  Store.put("entry-vms", "odd-2", {{"peer", "10.0.0.1:99999"}});
  Store.put("entry-vms", "odd-3", json::array({1}));
  CHECK(runUntil(Loop, [&] { return Found.size() == 5; }));
  CHECK_FALSE(Found.contains("10.0.0.9:7200"));
  Discovery.setMemberCount(6);
  int Before = Lists + 1; // One interval without contact may be running.
  runUntil(
      Loop, [&] { return Lists > Before; }, seconds(2));
  CHECK(Lists <= Before);
}

// Guards against a VM that never hears of those behind an odd name.
TEST_CASE("discovery: a list goes on after any name") {
  for (const char *Odd : {"vm-a&b", "vm-a+b", "vm-a#b", "vm-a%41", "vm-a b"}) {
    CAPTURE(Odd);
    boost::asio::io_context Loop;
    ObjectStore Store;
    platform::StoreClient Client(Loop, Store.getAddress(),
                                 platform::DirectStoreTimeouts);
    EventLog Log(-1, "vm");
    std::vector<std::string> Found;
    VmDiscovery Discovery(
        Loop, Client, Log, "10.0.0.9:7200", Seed,
        [&](const std::vector<std::string> &Peers) { Found = Peers; });
    Store.setPageSize(1);
    Store.put("entry-vms", Odd, {{"note", "no VM"}});
    Store.put("entry-vms", "vm-z", {{"peer", "10.0.0.1:7200"}});
    Discovery.start();
    CHECK(runUntil(
        Loop,
        [&] { return Found == std::vector<std::string>{"10.0.0.1:7200"}; },
        seconds(5)));
  }
}

TEST_CASE("view: hundreds of changes in one response are applied at once") {
  boost::asio::io_context Loop;
  ObjectStore Store;
  platform::StoreClient Client(Loop, Store.getAddress(),
                               platform::DirectStoreTimeouts);
  EventLog Log(-1, "vm");
  Settings Config;
  Config.ServerDrain_ = seconds(2);
  unsigned Applied = 0;
  StoreViewHandlers Handlers;
  Handlers.OnConfig_ = [](const RoutingConfigPtr &, Time) {};
  Handlers.OnServers_ = [&Applied] { ++Applied; };
  Handlers.OnFailure_ = [] {};
  Handlers.OnStoreRolledBack_ = [] {};
  Handlers.OnReaderFailed_ = [](const std::string &, bool) {};
  Handlers.OnReaderWanted_ = [] {};
  StoreView View(Loop, Client, Config, Log, std::move(Handlers));
  Store.put("servers", "s0", makeServerEntry(0));
  View.setSource({StoreSource::Store, "", false});
  REQUIRE(
      runUntil(Loop, [&] { return View.getRegistry().getServerCount() == 1; }));
  unsigned Before = Applied;
  unsigned Calls = Store.getCalls();
  for (unsigned I = 1; I <= 300; ++I)
    Store.put("servers", "s" + std::to_string(I), makeServerEntry(I));
  REQUIRE(runUntil(Loop,
                   [&] { return View.getRegistry().getServerCount() == 301; }));
  // Once for each response of the store, and for changes of other kinds.
  CHECK(Applied - Before <= Store.getCalls() - Calls + 1);
}
