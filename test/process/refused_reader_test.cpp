/// \file refused_reader_test.cpp A store that refuses the readers of a zone.
#include "test/support/steering_fixture_base.h"
#include "test/support/store_readers_func.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <string>

using namespace cranberry;
using namespace cranberry::standin;
using namespace cranberry::test;
using nlohmann::json;

namespace {

/// Fleet whose entry VMs follow the store through the readers of their zones.
class Fixture : public SteeringFixture {
public:
  explicit Fixture(const std::vector<std::string> &VmZones)
      : SteeringFixture({VmZones, {"one", "two"}}) {
    startAll();
  }

  /// Publishes a configuration whose requests go to \p Service.
  void configure(const std::string &Service) {
    Fleet_.configure(json::array(
        {makeRoute("r-read", "/read/", Service, true, seconds(3))}));
  }

  /// \return The VMs that may read the store for a zone.
  std::set<size_t> getReaders(const std::string &Zone) {
    MemberList Vms;
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I) {
      Member Vm;
      Vm.Vm_ = Fleet_.vm(I).Name_;
      Vm.Zone_ = Fleet_.vm(I).Zone_;
      Vm.PeerAddress_ = Fleet_.vm(I).PeerLink_->getAddress();
      Vms.push_back(Vm);
    }
    std::vector<size_t> Readers = getStoreReaders(Vms, Zone);
    return {Readers.begin(), Readers.end()};
  }

  void setStoreLinks(const std::set<size_t> &Vms, LinkMode Mode) {
    for (size_t Vm : Vms)
      Fleet_.vm(Vm).StoreLink_->setMode(Mode);
  }

  /// \return Peer addresses of the VMs that a VM followed in vain, in order.
  std::vector<std::string> getLostReaders(size_t Vm) {
    std::vector<std::string> Result;
    std::ifstream Log(Fleet_.getLogPath(Vm));
    for (std::string Line; std::getline(Log, Line);)
      if (json Event = json::parse(Line, nullptr, false);
          Event.is_object() && Event.value("event", "") == "reader-lost")
        Result.push_back(Event.value("peer", ""));
    return Result;
  }
};

} // namespace

// Guards against VMs that stayed on an old version while the store served them
// and turned away the readers of their zone.
TEST_CASE("steering: a change is in force on the VMs of a zone whose readers "
          "the store refuses") {
  std::vector<std::string> VmZones(7, "north-a");
  SECTION("another zone has a reader") { VmZones.emplace_back("south-a"); }
  SECTION("there is no other zone") {}
  Fixture F(VmZones);
  std::set<size_t> Refused = F.getReaders("north-a");
  REQUIRE(Refused.size() == MaxReadersPerZone);
  F.setStoreLinks(Refused, LinkMode::Cut);
  const char *Service = "one";
  // Longer than the time for which a VM follows a substitute.
  for (int Change = 0; Change < 5; ++Change) {
    Service = Change % 2 == 0 ? "two" : "one";
    F.configure(Service);
    F.waitForPropagation();
    for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
      if (!Refused.contains(Vm))
        CHECK(F.getService(Vm) == Service);
  }
  F.setStoreLinks(Refused, LinkMode::Pass);
  F.configure("one");
  for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
    CHECK(F.waitUntil([&] { return F.getService(Vm) == "one"; }));
}

// Guards against VMs whose updates stopped each second because they asked the
// refused readers again.
TEST_CASE("steering: a VM keeps its substitute while the readers of its zone "
          "are refused") {
  std::vector<std::string> VmZones(6, "north-a");
  SECTION("another zone has a reader") { VmZones.emplace_back("south-a"); }
  SECTION("there is no other zone") {}
  Fixture F(VmZones);
  F.setStoreLinks(F.getReaders("north-a"), LinkMode::Cut);
  F.waitForPropagation();
  std::vector<size_t> Before;
  for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
    Before.push_back(F.getLostReaders(Vm).size());
  RouteClient("").pause(seconds(5));
  for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm) {
    std::vector<std::string> Lost = F.getLostReaders(Vm);
    std::set<std::string> Distinct(
        Lost.begin() + static_cast<std::ptrdiff_t>(Before[Vm]), Lost.end());
    CAPTURE(Vm);
    CHECK(Distinct.size() == Lost.size() - Before[Vm]);
  }
}
