/// \file quota_restart.cc All entry VMs are killed while the store is down.
///
/// The quota of a tenant binds all entry VMs together. The store comes back
/// after the VMs do.
#include "review/lab-2/lab.hh"

#include <algorithm>

using namespace lab;

namespace {

constexpr double RatePerS = 40;
constexpr double Burst = 40;
constexpr double WindowS = 5;    // quotaWindow
constexpr double Excess = 0.1;   // quotaExcess
constexpr double Slack = 20;     // quotaSlack
constexpr size_t ClientsPerVm = 10;
constexpr Duration Interval = milliseconds(200);

constexpr double StoreLostAt = 8;
constexpr double StoreDownS = 4.5;

} // namespace

static int play([[maybe_unused]] int Argc, char **Argv) {
  double KillAfter = Argc > 2 ? std::atof(Argv[2]) : 2.0;
  FleetPlan Plan{{"attica-a", "attica-a", "macedonia-a", "crete-a", "attica-b",
                  "macedonia-b", "crete-b"},
                 {"tracker"},
                 2,
                 5,
                 milliseconds(20)};
  json Keys = {{"stopGraceMs", "6s"},        {"repeatRatio", 0.2},
               {"repeatSlack", 58},          {"repeatWindowMs", "10s"},
               {"serverDrainMs", "4000ms"},  {"configPropagationMs", "4000ms"},
               {"maxRegionShift", 0.15},     {"coldBurstFactor", 1.5},
               {"quotaWindowMs", "5s"},      {"quotaSlack", Slack},
               {"firstStart", true}};
  Lab Test(Plan, Keys, Argv[1]);
  putConfig(Test, "00000001",
            json::array({makeRoute("r", "/r/", "tracker", true, seconds(2))}),
            makeServices({"tracker"}, "3s", 11),
            json::array({{{"name", "acme"},
                          {"apiKeys", {"k-acme"}},
                          {"ratePerS", RatePerS},
                          {"burst", Burst}}}));
  Test.startBeats();
  if (!Test.startAll())
    return Unable;
  std::this_thread::sleep_for(seconds(2));
  Test.note("all entry VMs are ready");
  Clients Traffic(Test);
  size_t Vms = Test.fleet().getVmCount();
  for (size_t Vm = 0; Vm < Vms; ++Vm)
    for (size_t I = 0; I < ClientsPerVm; ++I)
      Traffic.add(Vm, "acme", Interval,
                  {"GET", "/r/x", "", "", seconds(2),
                   {{"Authorization", "Bearer k-acme"}}});
  waitUntil(Test, StoreLostAt);
  if (hasTrouble()) {
    Test.note("the store is down (503)");
    Test.setStore(StoreMode::Refuse);
    for (size_t I = 0; I < Vms; ++I)
      Test.fleet().changeSettings(I, [&] {
        json Next = Keys;
        Next["firstStart"] = false;
        return Next;
      }());
    waitUntil(Test, StoreLostAt + KillAfter);
    Test.note("all entry VMs are killed");
    for (size_t I = 0; I < Vms; ++I)
      Test.kill(I);
    std::this_thread::sleep_for(milliseconds(200));
    for (size_t I = 0; I < Vms; ++I)
      Test.start(I);
    Test.note("all entry VMs are started again");
    waitUntil(Test, StoreLostAt + StoreDownS);
    Test.setStore(StoreMode::Serve);
    Test.note("the store serves again");
  }
  waitUntil(Test, StoreLostAt + StoreDownS + 12);
  Traffic.stop();
  std::vector<Sent> Requests = Traffic.take();
  std::vector<Ran> Runs = Test.getRuns();
  Test.recordTraffic(Requests, Runs);

  std::map<std::string, Time> SentAt;
  for (const Sent &Each : Requests)
    SentAt[Each.Id_] = Each.SentAt_;
  std::vector<std::pair<double, double>> Pairs; // Run, sent.
  for (const Ran &Each : Runs)
    if (auto Found = SentAt.find(Each.Run_.AttemptId_); Found != SentAt.end())
      Pairs.emplace_back(Test.at(Each.Run_.At_), Test.at(Found->second));
  std::sort(Pairs.begin(), Pairs.end());
  size_t Most = 0;
  double MostAt = 0;
  for (size_t I = 0; I < Pairs.size(); ++I) {
    double End = Pairs[I].first;
    size_t Count = 0;
    for (size_t J = I + 1; J-- > 0 && Pairs[J].first > End - WindowS;)
      Count += Pairs[J].second > End - WindowS ? 1 : 0;
    if (Count > Most) {
      Most = Count;
      MostAt = End;
    }
  }
  double Bound = (RatePerS * WindowS + Burst) * (1 + Excess) + Slack;
  Test.note(absl::StrCat(Runs.size(), " runs; most in ", WindowS, " s: ", Most,
                         " (until ", MostAt, " s); bound ", Bound));
  return static_cast<double>(Most) > Bound ? Broken : Held;
}

int main(int Argc, char **Argv) {
  return runCase(Argc, Argv, [&] { return play(Argc, Argv); });
}
