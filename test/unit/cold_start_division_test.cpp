/// \file cold_start_division_test.cpp Starts at cold servers, divided among
/// many entry VMs.
#include "process/cold_start_division_base.h"
#include "steering/server_locator_base.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace cranberry;

namespace {

constexpr unsigned Seed = 20261206;

Member makeVm(const std::string &Name, const std::string &Zone,
              double Strength) {
  Member Vm;
  Vm.Vm_ = Name;
  Vm.Zone_ = Zone;
  Vm.Region_ = Zone.substr(0, Zone.find('-'));
  Vm.Strength_ = Strength;
  return Vm;
}

/// \return VMs of a zone, two of them strong enough to serve all its clients.
MemberList makeZone(const std::string &Zone, unsigned Count) {
  MemberList Vms;
  for (unsigned I = 0; I < Count; ++I)
    Vms.push_back(makeVm(absl::StrCat(Zone, "-", I), Zone, I < 2 ? 0.5 : 0.07));
  return Vms;
}

unsigned sumStarts(const ColdStartDivision &Division, const MemberList &Vms,
                   const std::string &Server, double Starts) {
  unsigned Sum = 0;
  for (const Member &Vm : Vms)
    Sum += Division.getStarts(Vm.Vm_, Server, "north-a", "north", Starts);
  return Sum;
}

} // namespace

TEST_CASE("cold starts: a zone of 24 VMs uses all that a server tolerates") {
  ColdStartDivision Division;
  MemberList Vms = makeZone("north-a", 24);
  Division.setMembers(Vms, Time(seconds(100)));
  CHECK(sumStarts(Division, Vms, "s1", 4.8) == 4);
  CHECK(Division.getStarts("north-a-0", "s1", "north-a", "north", 4.8) == 2);
  CHECK(Division.getStarts("north-a-1", "s1", "north-a", "north", 4.8) == 2);
  CHECK(Division.getStarts("north-a-2", "s1", "north-a", "north", 4.8) == 0);
  CHECK(sumStarts(Division, Vms, "s1", 0.9) == 0);
}

TEST_CASE("cold starts: a remainder goes to other VMs for other servers") {
  ColdStartDivision Division;
  MemberList Vms = makeZone("north-a", 24);
  Division.setMembers(Vms, Time(seconds(100)));
  std::set<std::string> Favoured;
  for (unsigned Server = 0; Server < 50; ++Server) {
    std::string Id = absl::StrCat("s", Server);
    CHECK(sumStarts(Division, Vms, Id, 3) == 3);
    for (const Member &Vm : Vms)
      if (Division.getStarts(Vm.Vm_, Id, "north-a", "north", 3) == 2)
        Favoured.insert(Vm.Vm_);
  }
  CHECK(Favoured.size() == 2);
}

TEST_CASE("cold starts: VMs that have disappeared keep their part") {
  ColdStartDivision Division;
  MemberList Vms = makeZone("north-a", 24);
  Time Start{seconds(100)};
  Division.setMembers(Vms, Start);
  // The strong VMs are behind a network partition and may still send.
  MemberList Others(Vms.begin() + 2, Vms.end());
  Division.setMembers(Others, Start + seconds(14));
  CHECK(sumStarts(Division, Others, "s1", 4.8) == 0);
  Division.setMembers(Others, Start + seconds(15));
  CHECK(sumStarts(Division, Others, "s1", 4.8) == 4);
}

TEST_CASE("cold starts: without VMs in the zone, those of the region divide") {
  ColdStartDivision Division;
  MemberList Vms = makeZone("north-b", 12);
  for (const Member &Vm : makeZone("south-a", 12))
    Vms.push_back(Vm);
  Division.setMembers(Vms, Time(seconds(100)));
  CHECK(sumStarts(Division, Vms, "s1", 4.8) == 4);
  CHECK(Division.getStarts("south-a-0", "s1", "north-a", "north", 4.8) == 0);
  CHECK(Division.getStarts("south-a-0", "s1", "west-a", "west", 4.8) == 1);
  CHECK(sumStarts(Division, Vms, "s1", 4.8) == 4);
}

TEST_CASE("cold starts: VMs with the same members exceed no server's bound") {
  std::mt19937 Random(Seed);
  for (unsigned Run = 0; Run < 2000; ++Run) {
    MemberList Vms;
    for (unsigned I = 0, Count = 1 + Random() % 60; I < Count; ++I) {
      Vms.push_back(makeVm(absl::StrCat("v", I),
                           Random() % 3 ? "north-a" : "north-b",
                           0.1 * static_cast<double>(Random() % 4)));
      Vms.back().IsBusy_ = Random() % 3 == 0;
    }
    std::shuffle(Vms.begin(), Vms.end(), Random);
    ColdStartDivision Division;
    Division.setMembers(Vms, Time(seconds(100)));
    double Starts = 0.1 * static_cast<double>(Random() % 200);
    unsigned Sum = sumStarts(Division, Vms, absl::StrCat("s", Run), Starts);
    REQUIRE(Sum == static_cast<unsigned>(Starts));
  }
}

TEST_CASE("cold starts: an even share of whole starts stays as it is") {
  Settings Config;
  Config.Vm_ = "north-a-0";
  Config.Zone_ = "north-a";
  Config.Region_ = "north";
  Config.Zones_ = {{"north-a", "north"}, {"north-b", "north"}};
  Config.ColdBurstFactor_ = 1.5;
  RoutingConfig Routing;
  Routing.Services_.resize(1);
  Routing.Services_[0].Name_ = "archive";
  Routing.Services_[0].ColdRate_ = 3.2;
  auto GetRate = [&](unsigned VmCount, const std::string &Zone) {
    Time Start{seconds(100)};
    ServerLocator Locator(Config, Start);
    MemberList Vms = makeZone("north-a", VmCount);
    Vms.push_back(makeVm("north-b-0", "north-b", 0.5));
    Locator.setMembers(Vms, Start);
    UsableServer Server;
    Server.Record_.InstanceId_ = "s1";
    Server.Record_.Service_ = "archive";
    Server.Record_.Zone_ = Zone;
    return Locator.makeBalancedServer(Server, &Routing).ColdStartRate_;
  };
  CHECK(GetRate(4, "north-a") == Approx(1.2));
  CHECK(GetRate(4, "north-b") == Approx(0));
  CHECK(GetRate(24, "north-a") == Approx(2));
  CHECK(GetRate(24, "north-b") == Approx(0));
}
