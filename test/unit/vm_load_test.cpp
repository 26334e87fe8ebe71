/// \file vm_load_test.cpp Load of entry VMs, and look-ups that follow it.
#include "request/region_shift_limiter_base.h"
#include "steering/heartbeat_codec_func.h"
#include "steering/lookup_directory_func.h"
#include "steering/vm_load_monitor_base.h"

#include <catch2/catch.hpp>

using namespace cranberry;

namespace {

constexpr Duration Period = milliseconds(200);

Member makeVm(const std::string &Name, double Strength, bool IsBusy = false) {
  Member Vm;
  Vm.Vm_ = Vm.HttpAddress_ = Name;
  Vm.Zone_ = "north-a";
  Vm.Region_ = "north";
  Vm.Strength_ = Strength;
  Vm.IsBusy_ = IsBusy;
  return Vm;
}

std::vector<std::string> selectInZone(const MemberList &Vms) {
  return selectLookupAddresses(Vms, "north", "north-a", FleetKnowledge::Full)
      .Addresses_;
}

/// Updates \p Load with the same use for \p Length.
void spend(VmLoad &Load, double Use, Duration Length, Time &Now) {
  for (Time End = Now + Length; Now < End;) {
    Now += Period;
    Load.update(Use, Now);
  }
}

} // namespace

TEST_CASE("look-up: the strongest VMs of a zone serve its clients") {
  MemberList Vms{makeVm("a", 0.1), makeVm("b", 0.5), makeVm("c", 0.1),
                 makeVm("d", 0.5), makeVm("e", 0.5)};
  CHECK(selectInZone(Vms) == std::vector<std::string>{"b", "d"});
  // Each busy VM gets the help of another one.
  Vms[1].IsBusy_ = true;
  CHECK(selectInZone(Vms) == std::vector<std::string>{"b", "d", "e"});
  for (Member &Vm : Vms)
    Vm.IsBusy_ = true;
  CHECK(selectInZone(Vms).size() == Vms.size());
  Vms[0].IsBusy_ = Vms[1].IsBusy_ = Vms[3].IsBusy_ = false;
  Vms[1].State_ = MemberState::Suspect;
  Vms[3].State_ = MemberState::Leaving;
  CHECK(selectInZone(Vms) == std::vector<std::string>{"e", "a", "c"});
}

TEST_CASE("look-up: clients of a zone without VMs use all of the region") {
  MemberList Vms{makeVm("a", 0.1), makeVm("b", 0.5), makeVm("c", 0.1)};
  auto Select = [&Vms](const char *Region, const char *Zone) {
    return selectLookupAddresses(Vms, Region, Zone, FleetKnowledge::Full);
  };
  CHECK(Select("north", "north-b").Addresses_.size() == 3);
  CHECK_FALSE(Select("north", "north-b").HasOtherRegions_);
  CHECK(Select("south", "south-a").Addresses_.size() == 3);
  CHECK(Select("south", "south-a").HasOtherRegions_);
}

TEST_CASE("look-up: a VM that may not have heard of a region's VMs names none "
          "of other regions") {
  MemberList Vms{makeVm("a", 0.1), makeVm("b", 0.5)};
  auto Select = [&Vms](FleetKnowledge Knowledge) {
    return selectLookupAddresses(Vms, "south", "south-a", Knowledge);
  };
  for (MemberState State : {MemberState::Alive, MemberState::Suspect}) {
    Vms[0].State_ = Vms[1].State_ = State;
    CHECK(Select(FleetKnowledge::Partial).Addresses_.empty());
    CHECK_FALSE(Select(FleetKnowledge::Partial).HasOtherRegions_);
    CHECK(Select(FleetKnowledge::Full).Addresses_.size() == 2);
    CHECK(Select(FleetKnowledge::Full).HasOtherRegions_);
  }
  Vms = {makeVm("a", 0.1), makeVm("b", 0.5), makeVm("c", 0.1)};
  Vms[2].Zone_ = "south-b";
  Vms[2].Region_ = "south";
  for (MemberState State : {MemberState::Alive, MemberState::Suspect}) {
    Vms[2].State_ = State;
    LookupSelection Selected = Select(FleetKnowledge::Partial);
    CHECK(Selected.Addresses_ == std::vector<std::string>{"c"});
    CHECK_FALSE(Selected.HasOtherRegions_);
  }
}

TEST_CASE("VM load: a VM is busy after seconds of high use, and idle after a "
          "longer time of low use") {
  VmLoad Load;
  Time Now{seconds(100)};
  spend(Load, 1, milliseconds(600), Now); // Its start.
  CHECK_FALSE(Load.isBusy());
  spend(Load, 0.1, seconds(5), Now);
  spend(Load, 0.8, seconds(4), Now);
  CHECK(Load.isBusy());
  spend(Load, 0.3, seconds(60), Now);
  CHECK(Load.isBusy());
  spend(Load, 0.05, seconds(5), Now);
  CHECK(Load.isBusy());
  spend(Load, 0.05, seconds(10), Now);
  CHECK_FALSE(Load.isBusy());
}

TEST_CASE("VM load: requests, bytes and late timers count") {
  Settings Config;
  Config.ProcessorShare_ = 0.25;
  Config.LinkMbps_ = 10;
  auto GetUse = [&Config](double Requests, double Bytes, Duration Step) {
    VmLoadMonitor Monitor(Config);
    TrafficCounters Traffic;
    Time Now{seconds(100)};
    for (int I = 0; I < 100; ++I) {
      Monitor.update(Traffic, Period, Now);
      double Passed = std::chrono::duration<double>(Step).count();
      Traffic.Requests_ += static_cast<uint64_t>(Requests * Passed);
      Traffic.SentBytes_ += static_cast<uint64_t>(Bytes * Passed);
      Now += Step;
    }
    return Monitor.getUse();
  };
  CHECK(GetUse(0, 0, Period) == Approx(0));
  // 150 us of a quarter of a core each.
  CHECK(GetUse(500, 0, Period) == Approx(0.3).margin(0.01));
  CHECK(GetUse(0, 625000, Period) == Approx(0.5).margin(0.01));
  CHECK(GetUse(0, 0, Period + milliseconds(150)) == Approx(1).margin(0.01));
  Config.LinkMbps_ = 0; // Unknown.
  CHECK(GetUse(0, 625000, Period) == Approx(0));
  Config.ProcessorShare_ = 0;
  CHECK(GetUse(1, 0, Period) <= 1);
}

TEST_CASE("VM load: a slow link makes a VM weaker") {
  Settings Config;
  Config.ProcessorShare_ = 0.5;
  CHECK(getVmStrength(Config) == Approx(0.5));
  Config.LinkMbps_ = 200;
  CHECK(getVmStrength(Config) == Approx(0.5));
  Config.LinkMbps_ = 10;
  CHECK(getVmStrength(Config) == Approx(0.05));
}

TEST_CASE("heartbeats carry the load, and may lack it") {
  HeartbeatBody Body;
  Body.Sender_ = makeVm("a", 0.25, true);
  std::string Text = encodeHeartbeat(Body);
  std::optional<HeartbeatBody> Decoded = decodeHeartbeat(Text);
  REQUIRE(Decoded);
  CHECK(Decoded->Sender_.Strength_ == Approx(0.25));
  CHECK(Decoded->Sender_.IsBusy_);
  for (const char *Field : {"\"busy\":true,", "\"strength\":0.25,"})
    if (size_t At = Text.find(Field); At != std::string::npos)
      Text.erase(At, std::string(Field).size());
  CHECK(Text.find("busy") == std::string::npos);
  Decoded = decodeHeartbeat(Text);
  REQUIRE(Decoded);
  CHECK_FALSE(Decoded->Sender_.IsBusy_);
}

TEST_CASE("a VM that has restarted may use other regions from its first "
          "request on, for a while") {
  RegionShiftLimiter Limiter(0.14);
  Limiter.liftFromFirstRequest();
  Time Now{seconds(100)};
  CHECK(Limiter.canSendTo("far", Now));
  for (int I = 0; I < 450; ++I) {
    Now += milliseconds(10);
    if (I < 350)
      CHECK(Limiter.canSendTo("far", Now));
    Limiter.recordStart(I % 2 == 0 ? "far" : "", Now);
  }
  // The share that it has reached stays, and grows at the limited rate.
  int Far = 0;
  for (int I = 0; I < 100; ++I) {
    Now += milliseconds(10);
    bool Leaves = Limiter.canSendTo("far", Now);
    Far += Leaves ? 1 : 0;
    Limiter.recordStart(Leaves ? "far" : "", Now);
  }
  CHECK(Far >= 40);
  CHECK(Far <= 65);
}

TEST_CASE("the share of another region falls at a bounded rate after a burst") {
  RegionShiftLimiter Limiter(0.14);
  Time Now{seconds(100)};
  std::vector<bool> Sent;
  // The region is short of room for 20 s, and has enough afterwards.
  for (int I = 0; I < 8000; ++I) {
    Now += milliseconds(5);
    bool Leaves = I < 4000 ? I % 5 < 2 && Limiter.canSendTo("far", Now)
                           : Limiter.isFallingTooFast("far", Now);
    Limiter.recordStart(Leaves ? "far" : "", Now);
    Sent.push_back(Leaves);
  }
  auto GetShare = [&Sent](size_t From) {
    int Far = 0;
    for (size_t I = From; I < From + 400; ++I)
      Far += Sent[I] ? 1 : 0;
    return Far / 400.0;
  };
  REQUIRE(GetShare(3500) > 0.35);
  for (size_t From = 3000; From + 800 <= Sent.size(); From += 20)
    CHECK(GetShare(From) - GetShare(From + 400) <= 0.15);
  CHECK(GetShare(7600) == 0);
}
