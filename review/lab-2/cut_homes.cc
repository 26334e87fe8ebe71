/// \file cut_homes.cc A zone with two entry VMs is cut off while the homes of a
/// tenant change.
#include "review/lab-2/lab.hh"
#include "review/lab-2/partition.hh"

using namespace lab;

namespace {

constexpr double CutAt = 6;
constexpr double CutS = 5; // zone_cut, for_s
constexpr double ChangeAt = 6.2;
constexpr double PropagationS = 4; // configPropagation
constexpr double EndAt = 14;
constexpr const char *CutZone = "marmara-a";

json makeTenants(const std::string &Home) {
  return json::array({{{"name", "acme"},
                       {"apiKeys", {"k-acme"}},
                       {"priority", 1},
                       {"homeRegions", {Home}}}});
}

} // namespace

static int play(int Argc, char **Argv) {
  // With 1, only one VM is cut off.
  size_t CutVms = Argc > 2 ? std::atoi(Argv[2]) : 2;
  FleetPlan Plan{{CutZone, CutZone, "marmara-b", "ege-a", "ege-b", "ege-b"},
                 {"tracker"},
                 2,
                 5,
                 milliseconds(20)};
  json Keys = {{"stopGraceMs", "6s"},       {"repeatRatio", 0.2},
               {"repeatSlack", 222},        {"repeatWindowMs", "10s"},
               {"serverDrainMs", "4000ms"}, {"configPropagationMs", "4000ms"},
               {"maxRegionShift", 0.15},    {"coldBurstFactor", 1.5},
               {"quotaWindowMs", "5s"},     {"quotaSlack", 20},
               {"firstStart", true}};
  Lab Test(Plan, Keys, Argv[1]);
  Partition Peers(Test);
  size_t Vms = Test.fleet().getVmCount();
  for (size_t I = 0; I < Vms; ++I) {
    Keys["peerAdvertise"] = Peers.getAddress(I);
    Test.fleet().changeSettings(I, Keys);
  }
  json Routes =
      json::array({makeRoute("r", "/r/", "tracker", true, seconds(2))});
  json Services = makeServices({"tracker"}, "3s", 11);
  putConfig(Test, "00000001", Routes, Services, makeTenants("marmara"));
  Test.startBeats();
  for (size_t I = 0; I < Vms; ++I)
    Test.start(I);
  Peers.start();
  for (size_t I = 0; I < Vms; ++I)
    if (!Test.fleet().waitReady(I, seconds(10)))
      return Unable;
  std::this_thread::sleep_for(seconds(2));
  Test.note("all entry VMs are ready");
  Clients Traffic(Test);
  for (size_t Vm = 0; Vm < Vms; ++Vm)
    for (int I = 0; I < 2; ++I)
      Traffic.add(Vm, "acme", milliseconds(200),
                  {"GET", "/r/x", "", "", seconds(2),
                   {{"Authorization", "Bearer k-acme"}}});
  waitUntil(Test, CutAt);
  if (hasTrouble()) {
    Peers.cutFirst(CutVms);
    for (size_t I = 0; I < CutVms; ++I)
      Test.fleet().vm(I).StoreLink_->setMode(LinkMode::Silent);
    Test.note(absl::StrCat(CutVms, " entry VMs of ", CutZone,
                           " are cut off from the others and from the store"));
  }
  waitUntil(Test, ChangeAt);
  putConfig(Test, "00000002", Routes, Services, makeTenants("ege"));
  Time Changed = getNow();
  Test.note("the store has acknowledged version 2: the tenant's home is "
            "ege, no longer marmara");
  waitUntil(Test, CutAt + CutS);
  if (hasTrouble()) {
    Peers.cutFirst(0);
    for (size_t I = 0; I < CutVms; ++I)
      Test.fleet().vm(I).StoreLink_->setMode(LinkMode::Pass);
    Test.note("the cut has ended");
  }
  waitUntil(Test, EndAt);
  Traffic.stop();
  std::vector<Sent> Requests = Traffic.take();
  std::vector<Ran> Runs = Test.getRuns();
  Test.recordTraffic(Requests, Runs);

  std::map<std::string, std::string> Zone;
  for (const Ran &Each : Runs)
    Zone[Each.Run_.AttemptId_] = Each.Zone_;
  unsigned Outside = 0;
  unsigned All = 0;
  double First = 0;
  double Last = 0;
  std::map<std::string, unsigned> By;
  for (const Sent &Each : Requests) {
    double After = Test.at(Each.SentAt_) - Test.at(Changed);
    if (After <= PropagationS)
      continue;
    ++All;
    auto Found = Zone.find(Each.Id_);
    if (Found == Zone.end() || Found->second != CutZone)
      continue;
    First = Outside == 0 ? After : First;
    Last = After;
    ++Outside;
    ++By[Test.fleet().vm(Each.Vm_).Name_];
  }
  for (const auto &[Vm, Count] : By)
    Test.note(absl::StrCat(Vm, " had ", Count, " of them"));
  Test.note(absl::StrCat(
      Outside, " of ", All, " requests of the tenant that were sent later than ",
      PropagationS, " s after version 2 ran in ", CutZone, ", sent ", First, " s to ",
      Last, " s after it"));
  return Outside > 0 ? Broken : Held;
}

int main(int Argc, char **Argv) {
  return runCase(Argc, Argv, [&] { return play(Argc, Argv); });
}
