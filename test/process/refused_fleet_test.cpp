/// \file refused_fleet_test.cpp A store that refuses nearly all VMs.
#include "test/support/steering_fixture_base.h"
#include "test/support/store_readers_func.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace cranberry;
using namespace cranberry::standin;
using namespace cranberry::test;
using nlohmann::json;

namespace {

/// Twice the time that the platform allows a change to take effect, which is
/// what it allows while the store is in trouble.
constexpr Duration Limit = seconds(5);

constexpr const char *ReadZone = "north-a";
constexpr size_t VmsInZone = 24;
constexpr unsigned Ok = 200;

/// How the store treats the VMs that can't read it.
enum class Refusal : uint8_t { Response, Silence };

/// What happened after a change of the homes.
struct HomeChange {
  std::vector<std::optional<Duration>>
      Served_;                  ///< When each VM first served by the new homes.
  unsigned LateInOldHomes_ = 0; ///< Requests in the old homes after Limit.
};

/// Many VMs in one zone, one in another, and a route whose homes change from
/// north to south.
class Fixture : public SteeringFixture {
public:
  Fixture() : SteeringFixture({makeZones(), {"one"}, 2, 4, milliseconds(5)}) {
    Refusing_.setMode(StoreMode::Refuse);
    setHome("north");
    startAll();
    for (size_t Vm = 0; Vm < Fleet_.getVmCount(); ++Vm) {
      Clients_.push_back(std::make_unique<RouteClient>(
          Fleet_.vm(Vm).FrontLink_->getAddress()));
      REQUIRE(waitUntil([this, Vm] { return getRegion(Vm) == "north"; }));
    }
    // Each VM has its source of updates.
    waitForPropagation();
  }

  /// \return The only VM that can read the store from now on: one of the zone
  /// that no other VM asks.
  size_t refuseAllButOne(Refusal Kind) {
    size_t Able = selectUnasked();
    for (size_t Vm = 0; Vm < Fleet_.getVmCount(); ++Vm)
      if (Vm != Able)
        refuse(*Fleet_.vm(Vm).StoreLink_, Kind);
    return Able;
  }

  /// Changes the homes and sends requests through all VMs until the limit has
  /// passed and each has served one by the new homes.
  HomeChange changeHomes() {
    HomeChange Result;
    Result.Served_.resize(Fleet_.getVmCount());
    setHome("south");
    Time Start = getNow();
    std::optional<unsigned> Before;
    waitUntil([&] {
      for (size_t Vm = 0; Vm < Fleet_.getVmCount(); ++Vm) {
        if (!Before && getNow() - Start >= Limit)
          Before = getArrivals(ReadZone);
        if (getRegion(Vm) == "south" && !Result.Served_[Vm])
          Result.Served_[Vm] = getNow() - Start;
      }
      return Before && std::all_of(Result.Served_.begin(), Result.Served_.end(),
                                   [](const std::optional<Duration> &Each) {
                                     return Each.has_value();
                                   });
    });
    Result.LateInOldHomes_ = getArrivals(ReadZone) - Before.value_or(0);
    return Result;
  }

private:
  static std::vector<std::string> makeZones() {
    std::vector<std::string> Result(VmsInZone, ReadZone);
    Result.emplace_back("south-a");
    return Result;
  }

  void setHome(const std::string &Region) {
    json Home = makeRoute("r-home", "/home/", "one", true, seconds(3));
    Home["homeRegions"] = {Region};
    Fleet_.configure(json::array({Home}));
  }

  /// Sends a request with homes through an entry VM.
  /// \return The region of the server that ran it, or "" if it failed.
  std::string getRegion(size_t Vm) {
    ClientReply Reply = Clients_[Vm]->call(
        {"GET", "/home/x", "home" + std::to_string(++Count_), "", seconds(1)},
        seconds(2));
    for (const FleetServer &Each : Fleet_.servers())
      if (Reply.Status_ == Ok && Reply.Signature_ == Each.Server_->getId())
        return Each.Zone_.substr(0, Each.Zone_.find('-'));
    return "";
  }

  /// \return The last VM of the zone, in the order in which VMs are asked.
  size_t selectUnasked() {
    MemberList Vms;
    for (size_t I = 0; I < VmsInZone; ++I) {
      Member Vm;
      Vm.Vm_ = Fleet_.vm(I).Name_;
      Vm.Zone_ = ReadZone;
      Vm.PeerAddress_ = Fleet_.vm(I).PeerLink_->getAddress();
      Vms.push_back(Vm);
    }
    std::string Last;
    while (!Vms.empty()) {
      std::vector<size_t> Next = getStoreReaders(Vms, ReadZone);
      REQUIRE(!Next.empty());
      Last = Vms[Next.back()].Vm_;
      std::sort(Next.rbegin(), Next.rend());
      for (size_t I : Next)
        Vms.erase(Vms.begin() + static_cast<std::ptrdiff_t>(I));
    }
    for (size_t I = 0; I < VmsInZone; ++I)
      if (Fleet_.vm(I).Name_ == Last)
        return I;
    FAIL("no VM is left");
    return 0;
  }

  void refuse(Link &StoreLink, Refusal Kind) const {
    if (Kind == Refusal::Silence) {
      StoreLink.setMode(LinkMode::Silent);
      return;
    }
    StoreLink.setTarget(Refusing_.getAddress());
    StoreLink.setMode(LinkMode::Cut);
    // Once it has closed a second connection, it has closed those to the store.
    for (int I = 0; I < 2; ++I)
      CHECK(RouteClient(StoreLink.getAddress())
                .call({"GET", "/"}, seconds(2))
                .Status_ == 0);
    StoreLink.setMode(LinkMode::Pass);
  }

  ObjectStore Refusing_; ///< Answers the VMs that can't read the store.
  std::vector<std::unique_ptr<RouteClient>> Clients_; ///< A client of each VM.
  int Count_ = 0; ///< Number of the last attempt id.
};

/// Changes the homes shortly after the refusal has begun.
HomeChange changeHomesWhileRefused(Refusal Kind) {
  Fixture F;
  size_t Able = F.refuseAllButOne(Kind);
  RouteClient("").pause(milliseconds(200));
  HomeChange Result = F.changeHomes();
  std::string Text = "VM that can read: " + std::to_string(Able) + ", served:";
  for (const std::optional<Duration> &Each : Result.Served_)
    Text += Each ? " " + std::to_string(toMilliseconds(*Each)) : " never";
  UNSCOPED_INFO(Text + " ms, late in the old homes: " +
                std::to_string(Result.LateInOldHomes_));
  return Result;
}

} // namespace

TEST_CASE("store: a version reaches all VMs of a zone of which only one can "
          "read the store") {
  Refusal Kind = Refusal::Response;
  SECTION("the store refuses the others") { Kind = Refusal::Response; }
  SECTION("the store is silent for the others") { Kind = Refusal::Silence; }
  HomeChange Result = changeHomesWhileRefused(Kind);
  std::vector<size_t> Late;
  for (size_t Vm = 0; Vm < Result.Served_.size(); ++Vm)
    if (!Result.Served_[Vm] || *Result.Served_[Vm] > Limit)
      Late.push_back(Vm);
  CHECK(Late.empty());
}

TEST_CASE("store: no request runs in old homes while only one VM of a "
          "zone can read the store") {
  Refusal Kind = Refusal::Response;
  SECTION("the store refuses the others") { Kind = Refusal::Response; }
  SECTION("the store is silent for the others") { Kind = Refusal::Silence; }
  CHECK(changeHomesWhileRefused(Kind).LateInOldHomes_ == 0);
}
