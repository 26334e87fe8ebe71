/// \file link_main.cpp Process that hosts a network link stand-in.
#include "standin/link_base.h"
#include "standin/run_until_signal_func.h"

#include <boost/program_options.hpp>

#include <iostream>

int main(int Argc, char **Argv) {
  namespace po = boost::program_options;
  std::string Target;
  int64_t DelayMs = 0;
  po::options_description Flags("standin-link");
  Flags.add_options()("target", po::value(&Target)->required())(
      "delay-ms", po::value(&DelayMs));
  po::variables_map Given;
  po::store(po::parse_command_line(Argc, Argv, Flags), Given);
  po::notify(Given);
  cranberry::standin::blockSignals();
  cranberry::standin::Link Link(Target);
  Link.setDelay(cranberry::milliseconds(DelayMs));
  std::cout << "ready address=" << Link.getAddress() << std::endl;
  cranberry::standin::waitForSignal();
}
