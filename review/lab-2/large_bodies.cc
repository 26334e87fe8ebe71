/// \file large_bodies.cc Clients send bodies within the limits of the
/// configuration. The platform kills a process whose memory exceeds its limit,
/// and starts it again.
#include "review/lab-2/lab.hh"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace lab;

namespace {

constexpr size_t MemoryMb = 260;          // memoryMb of front-attica-a-1
constexpr size_t BodyBytes = 60U << 20;   // bodyBytes is 64 MiB
constexpr unsigned Uploads = 3; // At once at each entry VM.
constexpr double UploadsAt[] = {5, 13, 21};
constexpr double EndAt = 30;

// "On a tenth of the machines in use (two at least) processes end by themselves
// three times in the day".
constexpr unsigned FaultMachines = 2;
constexpr unsigned FaultEnds = 3;

/// \return Resident memory in MB.
size_t getMemoryMb(int Pid) {
  std::ifstream File(absl::StrCat("/proc/", Pid, "/status"));
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::strtoul(Line.c_str() + 6, nullptr, 10) / 1000;
  return 0;
}

/// Sends a request with a large body.
/// \return Status of the response, or 0.
unsigned upload(const std::string &Address, const std::string &Id) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  size_t Colon = Address.find(':');
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &To.sin_addr);
  To.sin_port = htons(std::atoi(Address.c_str() + Colon + 1));
  unsigned Status = 0;
  if (connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof To) == 0) {
    std::string Bytes = absl::StrCat(
        "POST /u/x HTTP/1.1\r\nHost: shop.example\r\n"
        "X-Cranberrypost-Attempt-Id: ",
        Id, "\r\nX-Cranberrypost-Deadline-Milliseconds: 6000\r\n"
            "Content-Length: ",
        BodyBytes, "\r\n\r\n");
    Bytes.append(BodyBytes, 'u');
    for (size_t Done = 0; Done < Bytes.size();) {
      ssize_t Sent = ::send(Socket, Bytes.data() + Done, Bytes.size() - Done,
                            MSG_NOSIGNAL);
      if (Sent <= 0)
        break;
      Done += static_cast<size_t>(Sent);
    }
    char Buffer[4096];
    std::string Head;
    while (Head.find("\r\n") == std::string::npos) {
      ssize_t Count = recv(Socket, Buffer, sizeof Buffer, 0);
      if (Count <= 0)
        break;
      Head.append(Buffer, static_cast<size_t>(Count));
    }
    if (Head.starts_with("HTTP/1.1 "))
      Status = std::atoi(Head.c_str() + 9);
  }
  ::close(Socket);
  return Status;
}

} // namespace

static int play([[maybe_unused]] int Argc, char **Argv) {
  FleetPlan Plan{{"attica-a", "attica-b"}, {"tracker", "counter"}, 2, 5,
                 milliseconds(200)};
  json Keys = {{"stopGraceMs", "6s"},       {"repeatRatio", 0.2},
               {"repeatSlack", 58},         {"repeatWindowMs", "10s"},
               {"serverDrainMs", "2500ms"}, {"configPropagationMs", "2500ms"},
               {"maxRegionShift", 0.15},    {"coldBurstFactor", 1.5},
               {"firstStart", true}};
  Lab Test(Plan, Keys, Argv[1]);
  Test.store().put(
      "config", "main",
      {{"version", "00000001"},
       {"routes",
        json::array({makeRoute("w", "/w/", "counter", false, seconds(2)),
                     makeRoute("u", "/u/", "tracker", false, seconds(6))})},
       {"services", makeServices({"tracker", "counter"}, "3s", 11)},
       {"limits",
        {{"headerBytes", 16384},
         {"bodyBytes", 67108864},
         {"headerTimeout", "3000ms"},
         {"idleTimeout", "15000ms"}}}});
  Test.startBeats();
  if (!Test.startAll())
    return Unable;
  Test.note("all entry VMs are ready");
  size_t Vms = Test.fleet().getVmCount();
  Clients Traffic(Test);
  for (size_t Vm = 0; Vm < Vms; ++Vm)
    for (size_t I = 0; I < 4; ++I)
      Traffic.add(Vm, "unsafe", milliseconds(300),
                  {"POST", "/w/x", "", "", seconds(2), {}});
  std::atomic<bool> Stopping{false};
  std::vector<unsigned> Ends(Vms);
  std::vector<size_t> Peaks(Vms);
  std::vector<std::thread> Platform;
  for (size_t Vm = 0; Vm < Vms; ++Vm)
    Platform.emplace_back([&, Vm] {
      while (!Stopping) {
        size_t Now = getMemoryMb(Test.fleet().vm(Vm).Process_->getPid());
        Peaks[Vm] = std::max(Peaks[Vm], Now);
        if (Now > MemoryMb) {
          ++Ends[Vm];
          Test.note(absl::StrCat("vm-", Vm, " uses ", Now,
                                 " MB; the platform kills it, as its limit is ",
                                 MemoryMb, " MB"));
          Test.kill(Vm);
          std::this_thread::sleep_for(milliseconds(300));
          Test.start(Vm);
        }
        std::this_thread::sleep_for(milliseconds(3));
      }
    });
  std::vector<std::thread> Uploaders;
  for (double At : UploadsAt) {
    waitUntil(Test, At);
    if (!hasTrouble())
      continue;
    Test.note(absl::StrCat(Uploads, " clients send a body of ", BodyBytes,
                           " bytes each to each entry VM"));
    for (size_t Vm = 0; Vm < Vms; ++Vm)
      for (unsigned I = 0; I < Uploads; ++I)
        Uploaders.emplace_back([&, Vm, I, At] {
          std::string Id = absl::StrCat("upload-", At, "-", Vm, "-", I);
          unsigned Status = upload(Test.fleet().vm(Vm).Http_.getAddress(), Id);
          Test.note(absl::StrCat(Id, " ended with ", Status));
        });
  }
  waitUntil(Test, EndAt);
  for (std::thread &Each : Uploaders)
    Each.join();
  Stopping = true;
  for (std::thread &Each : Platform)
    Each.join();
  Traffic.stop();
  std::vector<Sent> Requests = Traffic.take();
  std::vector<Ran> Runs = Test.getRuns();
  Test.recordTraffic(Requests, Runs);
  std::set<std::string> HaveRun;
  for (const Ran &Each : Runs)
    HaveRun.insert(Each.Run_.AttemptId_);
  unsigned Lost = 0;
  for (const Sent &Each : Requests)
    Lost += Each.Reply_.Status_ == 0 && HaveRun.contains(Each.Id_) ? 1 : 0;
  unsigned Machines = 0;
  for (size_t Vm = 0; Vm < Vms; ++Vm) {
    Test.note(absl::StrCat("vm-", Vm, " ended ", Ends[Vm],
                           " times; peak memory ", Peaks[Vm], " MB"));
    Machines += Ends[Vm] >= FaultEnds ? 1 : 0;
  }
  Test.note(absl::StrCat(Lost, " unsafe requests of other clients have run and "
                               "were never answered"));
  return Machines >= FaultMachines ? Broken : Held;
}

int main(int Argc, char **Argv) {
  return runCase(Argc, Argv, [&] { return play(Argc, Argv); });
}
