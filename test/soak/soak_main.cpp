/// \file soak_main.cpp Entry VMs under random faults, reproducible by seed.
#include "net/ingress_server_base.h"
#include "test/soak/soak_checks_base.h"

#include <absl/strings/str_cat.h>
#include <boost/program_options.hpp>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <random>
#include <thread>

using namespace cranberry;
using namespace cranberry::standin;
using namespace cranberry::test;
using nlohmann::json;

namespace {

/// Time after which a draining server gets no more requests. It includes an
/// allowance for requests that are already on their way.
constexpr Duration DrainLimit = milliseconds(2500);

/// Time between the last fault and a check that must run without faults.
constexpr Duration SettleTime = milliseconds(4000);

/// Time within which the fleet recovers after the last fault.
constexpr Duration RecoveryLimit = seconds(15);

/// Runs the soak for one seed.
class Soak {
public:
  Soak(unsigned Seed, Duration Length, const std::string &Daemon,
       const std::string &Directory)
      : Random_(Seed), Length_(Length),
        Fleet_({{"north-a", "north-a", "north-b", "south-a"},
                {"one", "two"},
                2,
                4,
                milliseconds(15)},
               Daemon, Directory) {}

  /// \return Violated invariants; empty if all held.
  std::vector<std::string> run() {
    configure();
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      Fleet_.start(I);
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      if (!Fleet_.waitReady(I, seconds(20)))
        return {absl::StrCat("entry VM ", I, " did not start")};
    std::vector<std::thread> Clients;
    for (unsigned I = 0; I < ClientCount; ++I)
      Clients.emplace_back([this, I] { runClient(I); });
    End_ = getNow() + Length_;
    while (getNow() < End_)
      injectFault();
    repairAll();
    Time Repaired = getNow();
    checkLeaving();
    Pauser_.pause(std::max(Duration(0), Repaired + RecoveryLimit - getNow()));
    Time Recovered = getNow();
    Pauser_.pause(seconds(1));
    IsStopping_ = true;
    for (std::thread &Each : Clients)
      Each.join();
    if (Checks_.countServed(Recovered) == 0)
      return {"no request succeeds after the last fault"};
    std::vector<std::string> Violations = Checks_.checkRuns(Fleet_.servers());
    for (std::string &Line : checkMemory())
      Violations.push_back(std::move(Line));
    return Violations;
  }

private:
  static constexpr unsigned ClientCount = 6;

  /// Requests per second that a server names for the check without faults.
  static constexpr double CheckedRateLimit = 4;

  unsigned draw(unsigned Limit) {
    return static_cast<unsigned>(Random_() % Limit);
  }

  /// Writes the next configuration version, which routes "/flag/" to the other
  /// service.
  void configure() {
    std::swap(Flag_, NextFlag_);
    json Home = makeRoute("r-home", "/home/", "one", true, seconds(2));
    Home["homeRegions"] = json::array({"north"});
    Checks_.addFlagVersion(Flag_, getNow());
    Fleet_.configure(json::array(
        {makeRoute("r-read", "/read/", "one", true, seconds(2)),
         makeRoute("r-pay", "/pay/", "two", false, seconds(2)),
         makeRoute("r-flag", "/flag/", Flag_, false, seconds(2)), Home}));
  }

  /// Draws a request for one of the routes.
  static CompletedCall drawCall(std::mt19937 &Random) {
    CompletedCall Call;
    std::string Prefix = "/flag/";
    switch (Random() % 6) {
    case 0:
      break;
    case 1:
      Prefix = "/home/";
      Call.Service_ = "one";
      Call.Home_ = "north";
      Call.IsIdempotent_ = true;
      break;
    case 2:
    case 3:
      Prefix = "/read/";
      Call.Service_ = "one";
      Call.IsIdempotent_ = true;
      break;
    default:
      Prefix = "/pay/";
      Call.Service_ = "two";
      break;
    }
    Call.Target_ = absl::StrCat(Prefix, Random() % 20);
    return Call;
  }

  void runClient(unsigned Number) {
    std::mt19937 Random(Number);
    size_t Vm = Number % Fleet_.getVmCount();
    RouteClient Client(Fleet_.vm(Vm).FrontLink_->getAddress());
    for (unsigned I = 0; !IsStopping_; ++I) {
      CompletedCall Call = drawCall(Random);
      Call.Client_ = Number;
      Call.Id_ = absl::StrCat("c", Number, "-", I);
      Call.Sent_ = getNow();
      Call.Reply_ =
          Client.call({Call.IsIdempotent_ ? "GET" : "POST", Call.Target_,
                       Call.Id_, absl::StrCat(Random() % 20), seconds(2)},
                      seconds(3));
      Checks_.recordCall(Call);
      // The client keeps its connection until the entry VM closes it.
      Client.pause(milliseconds(5));
    }
  }

  void injectFault() {
    FleetVm &Vm = Fleet_.vm(draw(static_cast<unsigned>(Fleet_.getVmCount())));
    std::vector<FleetServer> &Servers = Fleet_.servers();
    FleetServer &Server = Servers[draw(static_cast<unsigned>(Servers.size()))];
    constexpr unsigned Kinds = 13;
    switch (draw(Kinds)) {
    case 0:
      stop(Vm, SIGKILL);
      break;
    case 1:
      stop(Vm, SIGTERM);
      break;
    case 2:
      if (Vm.Process_) {
        Vm.Process_->signal(SIGSTOP);
        Pauser_.pause(milliseconds(200 + draw(1500)));
        Vm.Process_->signal(SIGCONT);
      }
      break;
    case 3:
      Vm.StoreLink_->setMode(static_cast<LinkMode>(draw(4)));
      break;
    case 4:
      Vm.PeerLink_->setMode(static_cast<LinkMode>(draw(4)));
      break;
    case 5:
      Server.Link_->setMode(static_cast<LinkMode>(draw(5)));
      break;
    case 6:
      Server.Link_->setDelay(milliseconds(draw(80)));
      break;
    case 7:
      Fleet_.store().setMode(static_cast<StoreMode>(draw(5)));
      break;
    case 8:
      Server.Server_->setFault(static_cast<ResponseFault>(draw(6)));
      break;
    case 9:
      if (draw(2) == 0)
        Fleet_.registerServer(Server, true);
      else
        Fleet_.unregisterServer(Server);
      break;
    case 10:
      Server.Server_->setRateLimit(1 + draw(20));
      break;
    case 11:
      rollBackStore();
      break;
    default:
      Fleet_.store().compact();
      configure();
      break;
    }
    Pauser_.pause(milliseconds(50 + draw(400)));
    if (draw(3) == 0)
      repairSome();
  }

  /// Restores the store without the changes of the last second. A VM that
  /// starts before they are written again can't know of them.
  void rollBackStore() {
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      if (!Fleet_.vm(I).Process_->isRunning() ||
          !Fleet_.waitReady(I, milliseconds(200)))
        return;
    Fleet_.store().saveCopy();
    // The store gives the revisions of all three out again.
    for (unsigned I = 0; I < 3; ++I)
      configure();
    Pauser_.pause(milliseconds(draw(1000)));
    Fleet_.store().restoreCopy();
    Pauser_.pause(milliseconds(draw(1500)));
    Fleet_.store().rewriteLost();
  }

  void stop(FleetVm &Vm, int Signal) {
    if (Vm.Process_ && Vm.Process_->isRunning())
      Vm.Process_->signal(Signal);
  }

  /// Restarts stopped entry VMs and removes some of the faults.
  void repairSome() {
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      if (!Fleet_.vm(I).Process_->isRunning())
        Fleet_.start(I);
    FleetVm &Vm = Fleet_.vm(draw(static_cast<unsigned>(Fleet_.getVmCount())));
    Vm.StoreLink_->setMode(LinkMode::Pass);
    Vm.PeerLink_->setMode(LinkMode::Pass);
    std::vector<FleetServer> &Servers = Fleet_.servers();
    repair(Servers[draw(static_cast<unsigned>(Servers.size()))]);
    if (draw(2) == 0)
      Fleet_.store().setMode(StoreMode::Serve);
  }

  void repair(FleetServer &Server) {
    Server.Server_->setFault(ResponseFault::None);
    Server.Server_->setRateLimit(std::nullopt);
    Server.Link_->setDelay(Duration(0));
    Server.Link_->setMode(LinkMode::Pass);
    Fleet_.registerServer(Server);
  }

  /// Removes all faults, waits for planned stops and restarts entry VMs.
  void repairAll() {
    Fleet_.store().setMode(StoreMode::Serve);
    for (FleetServer &Server : Fleet_.servers())
      repair(Server);
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I) {
      Fleet_.vm(I).StoreLink_->setMode(LinkMode::Pass);
      Fleet_.vm(I).PeerLink_->setMode(LinkMode::Pass);
    }
    Pauser_.pause(seconds(5));
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      if (!Fleet_.vm(I).Process_->isRunning())
        Fleet_.start(I);
  }

  /// Checks that a draining server and an evacuated zone get no new requests.
  void checkLeaving() {
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      Fleet_.waitReady(I, seconds(10));
    rollBackStore();
    FleetServer &Limited = Fleet_.servers()[4 + draw(4)];
    Limited.Server_->setRateLimit(CheckedRateLimit);
    Pauser_.pause(SettleTime);
    Checks_.expectRate(Limited.Server_->getId(), CheckedRateLimit, getNow(),
                       getNow() + 2 * DrainLimit);
    FleetServer &Leaving = Fleet_.servers()[draw(4)];
    Fleet_.registerServer(Leaving, true);
    configure();
    Fleet_.store().put("evacuations", "north-b", json::object());
    Time Changed = getNow();
    Checks_.expectLastFlagVersion(Changed + DrainLimit);
    Pauser_.pause(2 * DrainLimit);
    Time Until = getNow();
    Checks_.expectNoWork(Leaving.Server_->getId(), Changed + DrainLimit, Until);
    for (FleetServer &Server : Fleet_.servers())
      if (Server.Zone_ == "north-b")
        Checks_.expectNoWork(Server.Server_->getId(), Changed + DrainLimit,
                             Until);
    Fleet_.store().remove("evacuations", "north-b");
  }

  /// \return Violations of the platform's memory limit.
  std::vector<std::string> checkMemory() {
    constexpr size_t MaxKiB = 260 * 1024; // The smallest VM of the platform.
    std::vector<std::string> Result;
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      if (size_t KiB = Fleet_.vm(I).Process_->getPeakMemory(); KiB > MaxKiB)
        Result.push_back(absl::StrCat("entry VM ", I, " took ", KiB, " KiB"));
    return Result;
  }

  std::mt19937 Random_;                 ///< Draws faults and delays.
  Duration Length_;                     ///< Duration of the faults.
  RoutedFleet Fleet_;                   ///< Fleet under test.
  SoakChecks Checks_;                   ///< Invariants to check.
  RouteClient Pauser_{""};              ///< Used for pauses.
  Time End_;                            ///< End of the faults.
  std::string Flag_ = "two";            ///< Current service of "/flag/".
  std::string NextFlag_ = "one";        ///< Next service of "/flag/".
  std::atomic<bool> IsStopping_{false}; ///< Stops the clients.
};

} // namespace

int main(int Argc, char **Argv) {
  namespace po = boost::program_options;
  unsigned First = 1;
  unsigned Count = 1;
  unsigned Length = 10;
  std::string Daemon;
  bool KeepsLogs = false;
  po::options_description Flags(
      "cranberry-soak: entry VMs under random faults");
  // clang-format off
  Flags.add_options()
      ("seed", po::value(&First)->default_value(1), "first seed")
      ("count", po::value(&Count)->default_value(1), "number of seeds")
      ("seconds", po::value(&Length)->default_value(10), "duration of the faults of each seed")
      ("daemon", po::value(&Daemon)->required(), "path of the daemon")
      ("keep", po::bool_switch(&KeepsLogs), "keep the logs of seeds that passed")
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
    std::cerr << "cranberry-soak: " << Error.what() << "\n";
    return 2;
  }
  unsigned Failed = 0;
  for (unsigned Seed = First; Seed < First + Count; ++Seed) {
    std::string Directory =
        (std::filesystem::temp_directory_path() /
         absl::StrCat("cranberry-soak-", getpid(), "-", Seed))
            .string();
    std::vector<std::string> Violations;
    {
      Soak Run(Seed, seconds(Length), Daemon, Directory);
      Violations = Run.run();
    }
    for (const std::string &Line : Violations)
      std::cout << "seed " << Seed << ": " << Line << "\n";
    std::cout << "seed " << Seed << ": "
              << (Violations.empty() ? "held" : "BROKEN");
    if (!Violations.empty() || KeepsLogs)
      std::cout << ", logs in " << Directory;
    else
      std::filesystem::remove_all(Directory);
    std::cout << std::endl;
    Failed += Violations.empty() ? 0 : 1;
  }
  std::cout << Count - Failed << " passed, " << Failed << " failed\n";
  return Failed == 0 ? 0 : 1;
}
