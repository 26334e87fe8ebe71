/// \file steering_bench.cpp Compares steering policies on a model.
///
/// Runs in virtual time on a model of the backend servers: 30 s take one or two
/// seconds, and every run with the same seed gives the same figures.
#include "test/support/steering_model_base.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>
#include <vector>

using namespace cranberry;
using namespace cranberry::test;

namespace {

void print(const SteeringModelPlan &Plan, const SteeringModelReport &Report) {
  double All = std::max(1U, Report.Offered_);
  double Run = std::max(1U, Report.InTime_ + Report.Late_);
  std::printf(
      "%-16s %4u %5.2f %8u %8.3f %6.3f %8.3f %6.3f %7u %7u %7.0f %7.0f\n",
      SteeringPolicyNames[static_cast<size_t>(Plan.Policy_)], Plan.VmsPerZone_,
      Plan.Load_, Report.Offered_, Report.InTime_ / All, Report.Late_ / All,
      Report.Refused_ / All, Report.Warm_ / Run, Report.Repeats_, Report.Cut_,
      Report.getLatency(0.5), Report.getLatency(0.99));
}

} // namespace

int main(int Argc, char **Argv) {
  namespace po = boost::program_options;
  SteeringModelPlan Plan;
  unsigned Seconds = 30;
  unsigned WorkMs = 310;
  unsigned ObjectiveMs = 400;
  unsigned DeadlineMs = 2000;
  std::vector<double> Loads;
  std::vector<unsigned> Vms;
  po::options_description Flags(
      "steering_bench: compares steering policies on a model of the servers");
  // clang-format off
  Flags.add_options()
      ("load", po::value(&Loads)->multitoken()->default_value({0.5, 0.9, 1.3, 2.0}, "0.5 0.9 1.3 2"), "offered load over all slots, if all objects are cold")
      ("vms", po::value(&Vms)->multitoken()->default_value({1, 4}, "1 4"), "entry VMs per zone")
      ("zones", po::value(&Plan.Zones_)->default_value(Plan.Zones_), "availability zones")
      ("servers", po::value(&Plan.ServersPerZone_)->default_value(Plan.ServersPerZone_), "backend servers per zone")
      ("slots", po::value(&Plan.Server_.Slots_)->default_value(Plan.Server_.Slots_), "slots per server")
      ("warm-keeps", po::value(&Plan.Server_.WarmCapacity_)->default_value(Plan.Server_.WarmCapacity_), "objects that a server keeps warm")
      ("warm-gain", po::value(&Plan.Server_.WarmSaving_)->default_value(Plan.Server_.WarmSaving_), "share of service time saved on a warm object")
      ("noise", po::value(&Plan.Server_.NoiseShare_)->default_value(Plan.Server_.NoiseShare_), "share of time with a noisy neighbour on the host")
      ("objects", po::value(&Plan.Objects_)->default_value(Plan.Objects_), "distinct objects requested by a zone's clients")
      ("wave", po::value(&Plan.Wave_)->default_value(Plan.Wave_), "amplitude of a zone's load variation")
      ("shared-objects", po::bool_switch(&Plan.AreObjectsShared_), "all zones request the same objects")
      ("skew", po::value(&Plan.Skew_)->default_value(Plan.Skew_), "exponent of the objects' popularity")
      ("work-ms", po::value(&WorkMs)->default_value(WorkMs), "service time without a cache hit, in ms")
      ("objective-ms", po::value(&ObjectiveMs)->default_value(ObjectiveMs), "latency objective, in ms")
      ("deadline-ms", po::value(&DeadlineMs)->default_value(DeadlineMs), "time after which open requests are cut, in ms")
      ("burst", po::value(&Plan.BurstFactor_)->default_value(Plan.BurstFactor_), "load of a burst from second 5 to 9, relative to the load")
      ("seconds", po::value(&Seconds)->default_value(Seconds), "duration of a run, in seconds")
      ("seed", po::value(&Plan.Seed_)->default_value(Plan.Seed_), "random seed")
      ("help", "print this and exit");
  // clang-format on
  po::variables_map Given;
  try {
    po::store(po::parse_command_line(Argc, Argv, Flags), Given);
    if (Given.count("help")) {
      std::cout << Flags;
      return 0;
    }
    po::notify(Given);
  } catch (const po::error &Error) {
    std::cerr << "steering_bench: " << Error.what() << "\n";
    return 2;
  }
  Plan.Length_ = seconds(Seconds);
  Plan.Server_.Work_ = milliseconds(WorkMs);
  Plan.Objective_ = milliseconds(ObjectiveMs);
  Plan.Deadline_ = milliseconds(DeadlineMs);
  Plan.BurstFrom_ = seconds(5);
  Plan.BurstLength_ = seconds(4);
  std::printf("seed %llu\n%-16s %4s %5s %8s %8s %6s %8s %6s %7s %7s %7s %7s\n",
              static_cast<unsigned long long>(Plan.Seed_), "policy", "vms",
              "load", "offered", "in time", "late", "refused", "warm", "shed",
              "cut", "p50 ms", "p99 ms");
  for (unsigned Count : Vms)
    for (double Load : Loads)
      for (SteeringPolicy Policy :
           {SteeringPolicy::Random, SteeringPolicy::LeastInFlight,
            SteeringPolicy::Balancer}) {
        Plan.VmsPerZone_ = Count;
        Plan.Load_ = Load;
        Plan.Policy_ = Policy;
        print(Plan, SteeringModel(Plan).run());
      }
  return 0;
}
