/// \file demo_main.cpp Demo of a drain, a stop and a kill under load.
#include "standin/caller_base.h"
#include "standin/deployment_base.h"
#include "standin/run_until_signal_func.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>

using namespace cranberry;
using namespace cranberry::standin;
using nlohmann::json;

namespace {

constexpr Duration PhaseLength = seconds(8);

/// Load that the demo generates on one service.
struct DemoService {
  std::string Name_;      ///< Service name.
  double PerSecond_ = 0;  ///< Mean arrival rate, 1/s.
  double KeyedShare_ = 0; ///< Fraction with an idempotency key.
};

std::vector<DemoService> getServices(const std::string &User) {
  if (User == "himal")
    return {{"catalogue-svc", 120, 0},
            {"booking-svc", 50, 0.5},
            {"payment-svc", 50, 0.5}};
  return {{"tracker", 120, 0}, {"scheduler", 50, 0.5}, {"counter", 50, 0.5}};
}

/// Prints the share of free slots per region and service, over all entry VMs.
void printHeadroom(Deployment &Running) {
  std::map<std::string, std::pair<unsigned, unsigned>> UsedOf;
  for (const std::string &Address : Running.getVmAddresses()) {
    json Status = json::parse(
        request("GET", "http://" + Address + "/v1/status", "").Body_);
    for (const auto &[Service, Figures] : Status["services"].items()) {
      auto &[Used, All] =
          UsedOf[Status["region"].get<std::string>() + " " + Service];
      Used += Figures["inUse"].get<unsigned>();
      All += Figures["usableSlots"].get<unsigned>();
    }
  }
  std::printf("\n%-28s %8s %8s %10s\n", "region service", "in use", "slots",
              "headroom");
  for (const auto &[Name, Figures] : UsedOf)
    std::printf(
        "%-28s %8u %8u %9.0f%%\n", Name.c_str(), Figures.first, Figures.second,
        Figures.second ? 100.0 * (1.0 - 1.0 * Figures.first / Figures.second)
                       : 0.0);
}

void pause(Duration Length) { std::this_thread::sleep_for(Length); }

/// Drains one server of a pool and waits until no request is in flight on it.
/// \return Time until the server was idle, in milliseconds.
int64_t drainServer(Deployment &Running, const std::string &Pool) {
  std::string Server = Running.getServers(Pool).front();
  Time Started = EventLoop::now();
  Running.apply("drain", "demo", json{{"server", Server}}.dump());
  bool IsEmpty = false;
  while (!IsEmpty && EventLoop::now() < Started + seconds(20)) {
    IsEmpty = true;
    for (const std::string &Address : Running.getVmAddresses()) {
      json Status = json::parse(
          request("GET", "http://" + Address + "/v1/status", "").Body_);
      for (const auto &[Name, Service] : Status["services"].items())
        for (const json &Each : Service["servers"])
          if (Each["server"] == Server &&
              (Each["inUse"] != 0 || Each["draining"] == false))
            IsEmpty = false;
    }
    pause(milliseconds(20));
  }
  return toMilliseconds(EventLoop::now() - Started);
}

unsigned countDoubleRuns(Deployment &Running) {
  unsigned Double = 0;
  for (const auto &[Key, Runs] : Running.getRunsByKey())
    Double += Runs > 1 ? 1 : 0;
  return Double;
}

int report(Deployment &Running, Caller &Load) {
  std::printf("\n%-16s %7s %9s %8s %8s %6s %8s %8s %8s\n", "service", "sent",
              "answered", "not run", "unknown", "wrong", "p50 ms", "p99 ms",
              "p99.9 ms");
  unsigned Wrong = 0;
  unsigned Lost = 0;
  for (const auto &[Service, R] : Load.getReports()) {
    std::printf("%-16s %7u %9u %8u %8u %6u %8.1f %8.1f %8.1f\n",
                Service.c_str(), R.Sent_, R.Answered_, R.NotRun_, R.Unknown_,
                R.Wrong_, R.getPercentile(0.5), R.getPercentile(0.99),
                R.getPercentile(0.999));
    Wrong += R.Wrong_;
    Lost += R.Sent_ - R.Answered_ - R.NotRun_ - R.Unknown_ - R.Wrong_;
    for (const auto &[Error, Count] : R.Errors_)
      std::printf("    attempts that ended with %s: %u\n", Error.c_str(),
                  Count);
  }
  unsigned Double = countDoubleRuns(Running);
  std::printf("\ndouble runs: %u\nrequests without an end: %u\n", Double, Lost);
  return Double == 0 && Wrong == 0 && Lost == 0 ? 0 : 1;
}

int runDemo(const DeploymentPaths &Paths, const std::string &User) {
  constexpr int64_t MeanMs = 25;
  Deployment Running(Paths, MeanMs);
  std::printf("starting %s: platform, backend servers, entry VMs\n",
              User.c_str());
  Running.start();
  std::vector<std::string> Names = Running.getVmNames();
  std::printf("%zu entry VMs are ready\n", Names.size());
  std::vector<DemoService> Services = getServices(User);
  Caller Load(Running.getVmAddresses(), 1);
  for (const DemoService &Service : Services) {
    LoadProfile Profile;
    Profile.Service_ = Service.Name_;
    Profile.PerSecond_ = Service.PerSecond_;
    Profile.KeyedShare_ = Service.KeyedShare_;
    Profile.Clients_.clear();
    for (int Zone = 0; Zone < 6; ++Zone)
      Profile.Clients_.push_back("10." + std::to_string(100 + Zone) + ".0.1");
    Load.addLoad(Profile);
  }
  pause(PhaseLength);
  printHeadroom(Running);
  std::string Zone = json::parse(std::ifstream(
      Paths.Settings_ + "/vms/" + Names.front() + ".json"))["zone"];
  int64_t DrainMs = drainServer(Running, Services.front().Name_ + "." + Zone);
  std::printf("\ndrained a backend server in %ld ms\n", (long)DrainMs);
  std::string Stopped = Names.front();
  Running.getVm(Stopped).signal(SIGTERM);
  int Status = Running.getVm(Stopped).wait();
  std::printf("planned stop of %s: exit %d\n", Stopped.c_str(), Status);
  std::string Killed = Names.back();
  Running.getVm(Killed).signal(SIGKILL);
  std::printf("killed %s\n", Killed.c_str());
  pause(PhaseLength);
  printHeadroom(Running);
  Load.stop();
  int Result = report(Running, Load);
  std::printf("drain time: %ld ms\n", (long)DrainMs);
  return Status == 0 ? Result : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  namespace po = boost::program_options;
  DeploymentPaths Paths;
  std::string User;
  po::options_description Flags("standin-demo");
  // clang-format off
  Flags.add_options()
      ("programs", po::value(&Paths.Programs_)->default_value("build"))
      ("settings", po::value(&Paths.Settings_)->default_value("settings"))
      ("work", po::value(&Paths.WorkDirectory_)->default_value("build/demo"))
      ("user", po::value(&User)->default_value("papadakis"));
  // clang-format on
  po::variables_map Given;
  try {
    po::store(po::parse_command_line(Argc, Argv, Flags), Given);
    po::notify(Given);
    Paths.Settings_ += "/" + User;
    return runDemo(Paths, User);
  } catch (const std::exception &Error) {
    std::cerr << "demo: " << Error.what() << "\n";
    return 2;
  }
}
