/// \file load_main.cpp Generates load and reports percentiles.
#include "standin/caller_base.h"
#include "standin/run_until_signal_func.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>
#include <thread>

int main(int Argc, char **Argv) {
  namespace po = boost::program_options;
  cranberry::standin::LoadProfile Profile;
  std::vector<std::string> Bootstrap;
  double Seconds = 10;
  uint64_t Seed = 1;
  po::options_description Flags("standin-load");
  // clang-format off
  Flags.add_options()
      ("entry", po::value(&Bootstrap)->multitoken()->required(), "entry VM addresses for lookups")
      ("service", po::value(&Profile.Service_)->required(), "service")
      ("rate", po::value(&Profile.PerSecond_), "mean arrival rate, requests per second")
      ("keyed", po::value(&Profile.KeyedShare_), "fraction with an idempotency key")
      ("client", po::value(&Profile.Clients_)->multitoken(), "client addresses")
      ("seconds", po::value(&Seconds), "duration of the load")
      ("seed", po::value(&Seed), "random seed");
  // clang-format on
  po::variables_map Given;
  try {
    po::store(po::parse_command_line(Argc, Argv, Flags), Given);
    po::notify(Given);
  } catch (const po::error &Error) {
    std::cerr << Error.what() << "\n" << Flags;
    return 2;
  }
  cranberry::standin::Caller Caller(Bootstrap, Seed);
  Caller.addLoad(Profile);
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
  Caller.stop();
  for (const auto &[Service, Report] : Caller.getReports())
    std::printf("service=%s sent=%u answered=%u not-run=%u unknown=%u wrong=%u "
                "p50-ms=%.1f p99-ms=%.1f p999-ms=%.1f\n",
                Service.c_str(), Report.Sent_, Report.Answered_, Report.NotRun_,
                Report.Unknown_, Report.Wrong_, Report.getPercentile(0.5),
                Report.getPercentile(0.99), Report.getPercentile(0.999));
}
