/// \file daemon_bench.cpp CPU time and memory of an entry VM process.
///
/// Starts fleets of three sizes on loopback and reads CPU time and resident
/// memory of one daemon from /proc.
#include "net/event_loop_base.h"
#include "test/process/cluster_base.h"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr Duration IdlePeriod = seconds(5);
constexpr Duration HeartbeatPeriod = milliseconds(500);
constexpr double TargetCore = 0.024;
constexpr double TargetMegabytes = 64;

/// \return CPU time of a process, in seconds.
double getCpu(int Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/stat");
  std::string Word;
  std::vector<std::string> Words;
  while (File >> Word)
    Words.push_back(Word);
  double Ticks = std::stod(Words[13]) + std::stod(Words[14]);
  return Ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// \return Resident memory of a process, in MB.
double getResident(int Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/statm");
  double Size = 0;
  double Resident = 0;
  File >> Size >> Resident;
  constexpr double PageMb = 4096.0 / 1e6;
  return Resident * PageMb;
}

/// Performs \p Count lookups, 16 concurrently.
void lookUp(const std::string &Address, unsigned Count) {
  EventLoop Loop;
  unsigned Left = Count;
  unsigned Started = 0;
  std::function<void()> Next = [&] {
    if (Started == Count)
      return;
    ++Started;
    HttpCall Call;
    Call.Url_ = "http://" + Address + "/v1/lookup?service=pay&client=10.0.0.1";
    Loop.startCall(std::move(Call), [&](const HttpResult &) {
      if (--Left == 0)
        Loop.stop();
      Next();
    });
  };
  constexpr int Concurrency = 16;
  for (int I = 0; I < Concurrency; ++I)
    Next();
  Loop.run();
}

} // namespace

int main() {
  int Broken = 0;
  std::printf("%8s %16s %14s %18s\n", "VMs", "idle core share", "resident MB",
              "us a look-up");
  for (size_t Count : {2, 7, 14}) {
    std::vector<std::string> Zones;
    for (size_t I = 0; I < Count; ++I)
      Zones.push_back("r-" + std::to_string(I % 6));
    standin::BackendProfile Profile;
    Cluster World(Zones, 1, Profile, HeartbeatPeriod);
    int Pid = World.vm(0).Process_->getPid();
    double Before = getCpu(Pid);
    Time Start = EventLoop::now();
    waitUntil([&] { return EventLoop::now() >= Start + IdlePeriod; },
              IdlePeriod);
    double Idle = (getCpu(Pid) - Before) /
                  std::chrono::duration<double>(IdlePeriod).count();
    double Resident = getResident(Pid);
    constexpr unsigned Lookups = 5000;
    Before = getCpu(Pid);
    lookUp(World.vm(0).getHttp(), Lookups);
    double Micros = (getCpu(Pid) - Before) / Lookups * 1e6;
    std::printf("%8zu %16.4f %14.1f %18.0f\n", Count, Idle, Resident, Micros);
    bool IsHeld = Idle <= TargetCore && Resident <= TargetMegabytes;
    Broken += IsHeld ? 0 : 1;
  }
  std::printf(
      "bound: 1/5 of the idle share at most %.3f (timers are 5 times as "
      "fast here), resident at most %.0f MB: %s\n",
      TargetCore, TargetMegabytes, Broken ? "BROKEN" : "held");
  return Broken;
}
