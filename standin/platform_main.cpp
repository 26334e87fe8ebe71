/// \file platform_main.cpp Process that hosts the platform stand-in.
#include "standin/platform_base.h"
#include "standin/run_until_signal_func.h"

#include <boost/program_options.hpp>

#include <iostream>

int main(int Argc, char **Argv) {
  namespace po = boost::program_options;
  std::string Address;
  po::options_description Flags("standin-platform");
  Flags.add_options()("listen",
                      po::value(&Address)->default_value("127.0.0.1:0"));
  po::variables_map Given;
  po::store(po::parse_command_line(Argc, Argv, Flags), Given);
  po::notify(Given);
  cranberry::standin::blockSignals();
  cranberry::standin::Platform Platform(Address);
  std::cout << "ready http=" << Platform.getAddress() << std::endl;
  cranberry::standin::waitForSignal();
}
