/// \file main.cpp Command line of the daemon.
#include "core/result_func.h"
#include "daemon/daemon_base.h"
#include "daemon/settings_func.h"
#include "daemon/settings_reload_base.h"
#include "steering/steering_vm_base.h"

#include <boost/program_options.hpp>
#include <glog/logging.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

constexpr const char *Version = "0.1.0";
constexpr int ExitSettings = 2;
/// Environment variable with the path of the settings file; --settings takes
/// precedence.
constexpr const char *SettingsVariable = "CRANBERRYPOST_CONFIG";
/// The drain limit passed with requests in progress.
constexpr int ExitDrainIncomplete = 3;

int reportFaults(const std::vector<cranberry::Reason> &Faults) {
  for (const cranberry::Reason &Why : Faults)
    std::cerr << "cranberryd: " << cranberry::formatReason(Why) << "\n";
  return ExitSettings;
}

/// \return Milliseconds since the epoch. The value grows with each start,
/// unless the VM's clock goes back by more than the time between two starts.
uint64_t makeIncarnation() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// Serves the routes in the platform's store until the process is stopped.
/// \return Exit code.
int runSteering(const cranberry::Settings &Settings, const std::string &Path) {
  signal(SIGPIPE, SIG_IGN);
  cranberry::SteeringVm Process(Settings, Path, makeIncarnation());
  cranberry::Reason Why;
  if (!Process.start(Why))
    return reportFaults({Why});
  Process.run();
  return 0;
}

/// Serves the project's own interface until the process is stopped.
/// \return Exit code.
int runDaemon(cranberry::Settings Settings, const std::string &Path) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  // Blocked before any thread starts, so that all threads inherit the mask.
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  cranberry::Daemon Process(Settings, makeIncarnation());
  cranberry::Reason Why;
  if (!Process.start(Why))
    return reportFaults({Why});
  std::cout << "ready vm=" << Settings.Vm_
            << " http=" << Process.getHttpAddress()
            << " peer=" << Process.getPeerAddress() << std::endl;
  cranberry::SettingsFile File(Path);
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0 && Signal == SIGHUP) {
    // The threads hold copies of the settings, so that every change needs a
    // restart.
    cranberry::SettingsChange Change = File.applyChanges(Settings);
    for (const cranberry::Reason &Why : Change.Faults_)
      LOG(WARNING) << "settings refused: " << cranberry::formatReason(Why);
    LOG(INFO) << "reload changed-keys="
              << Change.Applied_.size() + Change.NeedRestart_.size()
              << " take effect at the next start";
  }
  bool IsClean = Process.drain();
  google::FlushLogFiles(google::INFO);
  // Requests in progress still use the ports and threads, so that these can't
  // be destroyed.
  if (!IsClean)
    std::_Exit(ExitDrainIncomplete);
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  namespace po = boost::program_options;
  po::options_description Flags("cranberryd: entry VM of cranberrypost");
  // clang-format off
  Flags.add_options()
      ("settings", po::value<std::string>(), "settings file, JSON")
      ("check-settings", "check the settings, print all errors and exit")
      ("check", "alias of --check-settings")
      ("version", "print the version and exit")
      ("help", "print this and exit");
  // clang-format on
  po::variables_map Options;
  try {
    po::store(po::parse_command_line(Argc, Argv, Flags), Options);
  } catch (const po::error &Error) {
    return reportFaults(
        {{cranberry::ResultCode::FlagInvalid, "", Error.what()}});
  }
  if (Options.count("help")) {
    std::cout << Flags;
    return 0;
  }
  if (Options.count("version")) {
    std::cout << "cranberryd " << Version << "\n";
    return 0;
  }
  const char *FromEnvironment = std::getenv(SettingsVariable);
  if (!Options.count("settings") && !FromEnvironment)
    return reportFaults({{cranberry::ResultCode::FlagInvalid, "--settings",
                          "a settings file is required"}});
  std::string Path = Options.count("settings")
                         ? Options["settings"].as<std::string>()
                         : FromEnvironment;
  std::vector<cranberry::Reason> Faults;
  std::optional<cranberry::Settings> Settings =
      cranberry::readSettings(Path, Faults);
  if (!Settings)
    return reportFaults(Faults);
  if (Options.count("check") || Options.count("check-settings")) {
    std::cout << "settings are valid\n";
    return 0;
  }
  if (!Settings->Directory_.empty())
    return runSteering(*Settings, Path);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Argv[0]);
  return runDaemon(*Settings, Path);
}
