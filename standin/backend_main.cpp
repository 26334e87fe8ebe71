/// \file backend_main.cpp Process that hosts backend server stand-ins.
#include "standin/backend_base.h"
#include "standin/run_until_signal_func.h"

#include <boost/program_options.hpp>

#include <iostream>

int main(int Argc, char **Argv) {
  namespace po = boost::program_options;
  using cranberry::standin::Backend;
  cranberry::standin::BackendProfile Profile;
  unsigned Count = 1;
  int64_t MeanMs = 25;
  po::options_description Flags("standin-backend");
  Flags.add_options()("count", po::value(&Count))(
      "slots", po::value(&Profile.Slots_))("mean-ms", po::value(&MeanMs))(
      "stragglers",
      po::value(&Profile.StragglerShare_))("seed", po::value(&Profile.Seed_));
  po::variables_map Given;
  po::store(po::parse_command_line(Argc, Argv, Flags), Given);
  po::notify(Given);
  Profile.Mean_ = cranberry::milliseconds(MeanMs);
  cranberry::standin::blockSignals();
  std::vector<std::unique_ptr<Backend>> Servers;
  std::string List;
  for (unsigned I = 0; I < Count; ++I) {
    ++Profile.Seed_;
    Servers.push_back(std::make_unique<Backend>("127.0.0.1:0", Profile));
    List += (I ? "," : "") + Servers.back()->getAddress();
  }
  std::cout << "ready servers=" << List << std::endl;
  cranberry::standin::waitForSignal();
}
