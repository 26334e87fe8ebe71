/// \file stray_entry.cc All entry VMs are killed while the list of servers holds
/// an entry of another writer, with a space in its name, that ends a page.
#include "review/lab-2/lab.hh"

using namespace lab;

namespace {

constexpr double StrayAt = 5;
constexpr double KillAt = 8;
constexpr double RecoveryS = 15; // recovery
constexpr double EndAt = 40;
constexpr size_t ValueBytes = 1000000; // valueBytes is 1048576

} // namespace

static int play([[maybe_unused]] int Argc, char **Argv) {
  const char *Trouble = std::getenv("TROUBLE");
  bool IsKillOnly = Trouble && std::string(Trouble) == "kill";
  FleetPlan Plan{{"attica-a", "attica-a", "macedonia-a", "crete-a", "attica-b",
                  "macedonia-b", "crete-b"},
                 {"counter", "tracker"},
                 2,
                 5,
                 milliseconds(20)};
  json Keys = {{"stopGraceMs", "6s"},       {"repeatRatio", 0.2},
               {"repeatSlack", 58},         {"repeatWindowMs", "10s"},
               {"serverDrainMs", "2500ms"}, {"configPropagationMs", "2500ms"},
               {"maxRegionShift", 0.15},    {"coldBurstFactor", 1.5},
               {"firstStart", true}};
  Lab Test(Plan, Keys, Argv[1]);
  size_t Vms = Test.fleet().getVmCount();
  putConfig(
      Test, "00000001",
      json::array({makeRoute("r", "/r/", "tracker", true, seconds(2)),
                   makeRoute("w", "/w/", "counter", false, seconds(2))}),
      makeServices({"tracker", "counter"}, "3s", 11), nullptr);
  Test.startBeats();
  if (!Test.startAll())
    return Unable;
  Test.note("all entry VMs are ready");
  Clients Traffic(Test);
  for (size_t Vm = 0; Vm < Vms; ++Vm) {
    Traffic.add(Vm, "safe", milliseconds(400),
                {"GET", "/r/x", "", "", seconds(2), {}});
    Traffic.add(Vm, "unsafe", milliseconds(400),
                {"POST", "/w/x", "", "", seconds(2), {}});
  }
  if (hasTrouble()) {
    waitUntil(Test, StrayAt);
    if (!IsKillOnly) {
      Test.store().put("servers", "i-export 2026",
                       {{"note", std::string(ValueBytes, 'x')}});
      // A page holds 1 MB at most, so that this entry ends it: 12 servers of
      // "counter" stand before it and 12 of "tracker" after it.
      Test.store().setPageSize(13);
      Test.note("another writer has written the entry \"i-export 2026\"");
    }
    waitUntil(Test, KillAt);
    Test.note("all entry VMs are killed");
    Keys["firstStart"] = false;
    for (size_t I = 0; I < Vms; ++I) {
      Test.fleet().changeSettings(I, Keys);
      Test.kill(I);
    }
    std::this_thread::sleep_for(milliseconds(200));
    for (size_t I = 0; I < Vms; ++I)
      Test.start(I);
    Test.note("all entry VMs are started again");
  }
  Time Back = getNow();
  waitUntil(Test, EndAt);
  size_t Ready = 0;
  for (size_t I = 0; I < Vms; ++I)
    Ready += Test.fleet().waitReady(I, milliseconds(100)) ? 1 : 0;
  Traffic.stop();
  std::vector<Sent> Requests = Traffic.take();
  Test.recordTraffic(Requests, Test.getRuns());

  auto Share = [&](double From, double Until) {
    unsigned All = 0;
    unsigned Served = 0;
    for (const Sent &Each : Requests)
      if (Test.at(Each.SentAt_) >= From && Test.at(Each.SentAt_) < Until) {
        ++All;
        Served += Each.Reply_.Status_ == 200 && !Each.Reply_.Signature_.empty();
      }
    Test.note(absl::StrCat(Served, " of ", All, " requests sent from ", From,
                           " s to ", Until, " s were served"));
    return All == 0 ? 0.0 : double(Served) / All;
  };
  double Before = Share(2, KillAt);
  double After = Share(Test.at(Back) + (hasTrouble() ? RecoveryS : 0), EndAt);
  Test.note(absl::StrCat(Ready, " of ", Vms, " entry VMs are ready"));
  constexpr double Quarter = 0.25;
  if (Before < Quarter)
    return Unable;
  return After < Quarter ? Broken : Held;
}

int main(int Argc, char **Argv) {
  return runCase(Argc, Argv, [&] { return play(Argc, Argv); });
}
