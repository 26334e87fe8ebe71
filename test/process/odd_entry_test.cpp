/// \file odd_entry_test.cpp Entries of other writers in the platform's store.
#include "platform/wire_names.h"
#include "test/support/steering_fixture_base.h"

#include <catch2/catch.hpp>

using namespace cranberry;
using namespace cranberry::standin;
using namespace cranberry::test;
using nlohmann::json;

namespace {

/// \return Number of VMs that serve a request.
size_t countServing(SteeringFixture &F) {
  size_t Count = 0;
  for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
    Count += F.getService(Vm).empty() ? 0 : 1;
  return Count;
}

} // namespace

// Guards against an entry whose name ends the list of servers, so that no VM
// that starts is ever ready.
TEST_CASE("report: VMs that restart beside an entry with an odd name serve") {
  SteeringFixture F({{"north-a", "north-a", "south-a"}, {"one"}});
  F.startAll();
  // Each entry ends a page.
  F.Fleet_.store().setPageSize(1);
  for (const std::string Odd : {"i-one-n&x", "i-one-n+x", "i-one-n#x",
                                "i-one-n%x", "i-one-n%41", "i-one-n x"}) {
    CAPTURE(Odd);
    F.Fleet_.store().put("servers", Odd, {{"note", "no server"}});
    for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
      F.Fleet_.vm(Vm).Process_.reset();
    for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
      F.Fleet_.start(Vm);
    constexpr Duration Recovery = seconds(15);
    for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm)
      REQUIRE(F.Fleet_.waitReady(Vm, Recovery));
    CHECK(countServing(F) == F.Fleet_.getVmCount());
    // All servers behind the entry are known.
    CHECK(F.waitUntil([&] {
      countServing(F);
      return F.getArrivals("north-a") > 0 && F.getArrivals("south-a") > 0;
    }));
    F.Fleet_.store().remove("servers", Odd);
  }
}

// Guards against a name that adds fields, or a request, to those sent to
// servers.
TEST_CASE("report: the name of an entry adds nothing to requests") {
  SteeringFixture F({{"north-a"}, {"one"}});
  FleetServer &Server = F.Fleet_.servers()[0];
  std::string Field = std::string(platform::header::WorkspaceName) + ": forged";
  for (const std::string &Odd : {Server.Server_->getId() + "\r\n" + Field,
                                 Server.Server_->getId() + "\n" + Field}) {
    json Entry = Server.Server_->getEntry(Server.Service_, Server.Zone_);
    Entry["address"] = Server.Link_->getAddress();
    F.Fleet_.store().put("servers", Odd, Entry);
  }
  F.startAll();
  for (int I = 0; I < 60; ++I)
    CHECK_FALSE(F.getService(0).empty());
  for (const ServerRun &Run : Server.Server_->getRuns())
    CHECK(Run.Workspace_.empty());
}
