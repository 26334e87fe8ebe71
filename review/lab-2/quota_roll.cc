/// \file quota_roll.cc Entry VMs are stopped and started in turn, while a tenant
/// sends more than its quota.
#include "review/lab-2/lab.hh"

#include <algorithm>

using namespace lab;

namespace {

constexpr double RatePerS = 40;
constexpr double Burst = 40;
constexpr double WindowS = 5; // quotaWindow
constexpr double Excess = 0.1; // quotaExcess
constexpr double Slack = 20;  // quotaSlack
constexpr size_t AtATime = 2; // x
constexpr size_t ClientsPerVm = 10;
constexpr Duration Interval = milliseconds(200);
constexpr double RollAt = 8;
constexpr double EndAt = 24;

} // namespace

static int play(int Argc, char **Argv) {
  double GapS = Argc > 2 ? std::atof(Argv[2]) : 1.0; // gap_s
  FleetPlan Plan{{"marmara-a", "marmara-a", "marmara-b", "ege-a", "ege-b", "kuzey-a",
                  "kuzey-b"},
                 {"tracker"},
                 2,
                 5,
                 milliseconds(20)};
  json Keys = {{"stopGraceMs", "6s"},       {"repeatRatio", 0.2},
               {"repeatSlack", 222},        {"repeatWindowMs", "10s"},
               {"serverDrainMs", "4000ms"}, {"configPropagationMs", "4000ms"},
               {"maxRegionShift", 0.15},    {"coldBurstFactor", 1.5},
               {"quotaWindowMs", "5s"},     {"quotaSlack", Slack},
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
  size_t Vms = Test.fleet().getVmCount();
  std::this_thread::sleep_for(seconds(2));
  Test.note("all entry VMs are ready");
  Clients Traffic(Test);
  for (size_t Vm = 0; Vm < Vms; ++Vm)
    for (size_t I = 0; I < ClientsPerVm; ++I)
      Traffic.add(Vm, "acme", Interval,
                  {"GET", "/r/x", "", "", seconds(2),
                   {{"Authorization", "Bearer k-acme"}}});
  waitUntil(Test, RollAt);
  std::vector<std::thread> Rolls;
  if (hasTrouble()) {
    Keys["firstStart"] = false;
    for (size_t Vm = 0; Vm < Vms; ++Vm)
      Rolls.emplace_back([&, Vm] {
        waitUntil(Test, RollAt + GapS * (Vm / AtATime));
        Test.note(absl::StrCat("vm-", Vm, " gets SIGTERM"));
        Test.fleet().vm(Vm).Process_->signal(SIGTERM);
        Test.fleet().vm(Vm).Process_->wait();
        Test.note(absl::StrCat("vm-", Vm, " has ended"));
        std::this_thread::sleep_for(milliseconds(200));
        Test.fleet().changeSettings(Vm, Keys);
        Test.start(Vm);
      });
  }
  for (std::thread &Each : Rolls)
    Each.join();
  waitUntil(Test, EndAt);
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
    double Begin = Pairs[I].first - WindowS;
    size_t Count = 0;
    for (size_t J = I + 1; J-- > 0 && Pairs[J].first > Begin;)
      Count += Pairs[J].second > Begin ? 1 : 0;
    if (Count > Most) {
      Most = Count;
      MostAt = Pairs[I].first;
    }
  }
  double Bound = (RatePerS * WindowS + Burst) * (1 + Excess) + Slack;
  Test.note(absl::StrCat(Pairs.size(), " runs; most in ", WindowS, " s: ", Most,
                         " (until ", MostAt, " s); bound ", Bound));
  return static_cast<double>(Most) > Bound ? Broken : Held;
}

int main(int Argc, char **Argv) {
  return runCase(Argc, Argv, [&] { return play(Argc, Argv); });
}
