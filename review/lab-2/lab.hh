/// \file lab.hh Entry VM processes, servers, clients and a record for a case.
#pragma once

#include "standin/route_client_base.h"
#include "standin/routed_fleet_base.h"

#include <absl/strings/str_cat.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <fcntl.h>
#include <functional>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace lab {

using namespace cranberry;
using namespace cranberry::standin;
using nlohmann::json;

constexpr int Held = 0;   ///< Exit code: the rule held.
constexpr int Broken = 1; ///< Exit code: the rule was broken.
constexpr int Unable = 2; ///< Exit code: the case could not run.

/// Runs a case. A stand-in that can't start is no result.
template <typename Case> int runCase(int Argc, char **Argv, Case Play) {
  if (Argc < 2)
    return Unable;
  // run.sh ends what is left of this group.
  setpgid(0, 0);
  constexpr unsigned LongestRunS = 115;
  alarm(LongestRunS);
  try {
    return Play();
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s: %s\n", Argv[0], Error.what());
    return Unable;
  }
}

inline bool hasTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

/// One client request.
struct Sent {
  std::string Id_;     ///< Attempt id.
  std::string Tag_;    ///< Kind of request, as the case names it.
  size_t Vm_ = 0;      ///< Entry VM.
  Time SentAt_;        ///< When the client sent it.
  Time EndedAt_;       ///< When the client had its result.
  ClientReply Reply_;  ///< Result.
};

/// One run at a server.
struct Ran {
  ServerRun Run_;      ///< As the server noted it.
  std::string Server_; ///< Instance id.
  std::string Zone_;   ///< Availability zone of the server.
};

/// A fleet in a temporary folder, with the record of what happens.
class Lab {
public:
  /// \param Keys Settings beside the addresses, as the deploy file has them.
  Lab(const FleetPlan &Plan, json Keys, const std::string &RecordPath)
      : Directory_(makeDirectory()), Keys_(std::move(Keys)),
        Fleet_(Plan, getDaemon(), Directory_), Record_(RecordPath) {
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      Fleet_.changeSettings(I, Keys_);
    Start_ = getNow();
  }

  ~Lab() {
    stopBeats();
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      kill(I);
    std::error_code Ignored;
    if (!std::getenv("LAB_KEEP"))
      std::filesystem::remove_all(Directory_, Ignored);
  }

  RoutedFleet &fleet() { return Fleet_; }
  ObjectStore &store() { return Fleet_.store(); }
  const std::string &directory() const { return Directory_; }

  /// \return Time since the start in seconds.
  double at(Time When) const {
    return std::chrono::duration<double>(When - Start_).count();
  }

  void note(const std::string &Text) {
    std::lock_guard Lock(Mutex_);
    char Line[64];
    std::snprintf(Line, sizeof Line, "%9.3f s  ", at(getNow()));
    Record_ << Line << Text << std::endl;
    std::printf("%s%s\n", Line, Text.c_str());
    std::fflush(stdout);
  }

  /// Starts an entry VM with the command of the deploy file.
  void start(size_t Vm) {
    std::lock_guard Lock(StartMutex_);
    FleetVm &Target = Fleet_.vm(Vm);
    std::string Settings = Directory_ + "/" + Target.Name_ + ".json";
    setenv("CRANBERRYPOST_CONFIG", Settings.c_str(), 1);
    keepDescriptors();
    Target.Process_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{getDaemon()}, Fleet_.getLogPath(Vm),
        Fleet_.getLogPath(Vm));
  }

  void kill(size_t Vm) {
    if (!Fleet_.vm(Vm).Process_)
      return;
    Fleet_.vm(Vm).Process_->signal(SIGKILL);
    Fleet_.vm(Vm).Process_->wait();
    Fleet_.vm(Vm).Process_.reset();
  }

  bool startAll() {
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      start(I);
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      if (!Fleet_.waitReady(I, seconds(10)))
        return false;
    return true;
  }

  /// Writes the entries of all servers every 1.5 s, as long as the store
  /// serves.
  void startBeats() {
    writeEntries();
    Beats_ = std::thread([this] {
      while (!Stopping_) {
        for (int I = 0; I < 15 && !Stopping_; ++I)
          std::this_thread::sleep_for(milliseconds(100));
        if (!StoreIsDown_)
          writeEntries();
      }
    });
  }

  void stopBeats() {
    Stopping_ = true;
    if (Beats_.joinable())
      Beats_.join();
  }

  void writeEntries() {
    for (FleetServer &Each : Fleet_.servers())
      writeEntry(Each);
  }

  /// Writes the entry of a server, unless it is down.
  void writeEntry(FleetServer &Each) {
    std::lock_guard Lock(EntryMutex_);
    if (!Each.Server_)
      return;
    Beat &Own = BeatsOf_[Each.Server_->getId()];
    json Entry = Each.Server_->getEntry(Each.Service_, Each.Zone_, false,
                                        ++Own.Sequence_);
    Entry["born"] = Own.Born_;
    Duration Cold = std::max(Own.ColdUntil_ - getNow(), Duration(0));
    Entry["coldRemaining"] = absl::StrCat(toMilliseconds(Cold), "ms");
    store().put("servers", Each.Server_->getId(), Entry);
  }

  /// Ends a server as a crash does. Its runs are kept.
  void crash(FleetServer &Each) {
    std::lock_guard Lock(EntryMutex_);
    keepRuns(Each, Kept_);
    Each.Server_.reset();
  }

  /// Starts a server again under its identifier and address, cold.
  void restart(FleetServer &Each, const std::string &Id,
               const std::string &Address, unsigned Slots, Duration ServiceTime,
               Duration Cold) {
    {
      std::lock_guard Lock(EntryMutex_);
      Each.Server_ =
          std::make_unique<RoutedServer>(Id, Slots, ServiceTime, Address);
      Beat &Own = BeatsOf_[Id];
      Own = {getUnixMilliseconds(), 0, getNow() + Cold};
    }
    writeEntry(Each);
  }

  void setStore(StoreMode Mode) {
    StoreIsDown_ = Mode != StoreMode::Serve;
    store().setMode(Mode);
  }

  std::vector<Ran> getRuns() {
    std::lock_guard Lock(EntryMutex_);
    std::vector<Ran> Result = Kept_;
    for (FleetServer &Each : Fleet_.servers())
      keepRuns(Each, Result);
    return Result;
  }

  /// Writes all requests and runs to the record.
  void recordTraffic(const std::vector<Sent> &Requests,
                     const std::vector<Ran> &Runs) {
    char Line[300];
    for (const Sent &Each : Requests) {
      std::snprintf(Line, sizeof Line,
                    "sent %9.3f s  %s %s to %s, at %9.3f s: %u%s\n",
                    at(Each.SentAt_), Each.Id_.c_str(), Each.Tag_.c_str(),
                    Fleet_.vm(Each.Vm_).Name_.c_str(), at(Each.EndedAt_),
                    Each.Reply_.Status_,
                    Each.Reply_.Signature_.empty() ? "" : " signed");
      Record_ << Line;
    }
    for (const Ran &Each : Runs) {
      std::snprintf(Line, sizeof Line, "ran  %9.3f s  %s at %s %s\n",
                    at(Each.Run_.At_), Each.Run_.AttemptId_.c_str(),
                    Each.Server_.c_str(), Each.Run_.Workspace_.c_str());
      Record_ << Line;
    }
    Record_.flush();
  }

private:
  /// What a server tells of itself.
  struct Beat {
    int64_t Born_ = getUnixMilliseconds();
    unsigned Sequence_ = 0;
    Time ColdUntil_;
  };

  static int64_t getUnixMilliseconds() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }

  static void keepRuns(FleetServer &Each, std::vector<Ran> &Into) {
    if (!Each.Server_)
      return;
    for (ServerRun &Run : Each.Server_->getRuns())
      Into.push_back({std::move(Run), Each.Server_->getId(), Each.Zone_});
  }

  /// Keeps the sockets of the stand-ins from the processes that are started.
  static void keepDescriptors() {
    constexpr int FirstOther = 3;
    for (const auto &Each :
         std::filesystem::directory_iterator("/proc/self/fd"))
      if (int Number = std::atoi(Each.path().filename().c_str());
          Number >= FirstOther)
        fcntl(Number, F_SETFD, FD_CLOEXEC);
  }

  static std::string getDaemon() {
    const char *Path = std::getenv("DAEMON");
    return Path ? Path : "target/cranberryd";
  }

  static std::string makeDirectory() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(Name.data()))
      throw std::runtime_error("no temporary folder");
    return Name;
  }

  std::string Directory_;                ///< Settings and logs.
  json Keys_;                            ///< See the constructor.
  RoutedFleet Fleet_;                    ///< Daemons and stand-ins.
  std::ofstream Record_;                 ///< record.txt.
  std::mutex Mutex_;                     ///< Guards Record_.
  std::mutex EntryMutex_;                ///< Guards the servers' entries.
  std::mutex StartMutex_;                ///< Guards the environment.
  std::map<std::string, Beat> BeatsOf_;  ///< By server.
  std::vector<Ran> Kept_;                ///< Runs of servers that crashed.
  std::thread Beats_;                    ///< Writes the servers' entries.
  std::atomic<bool> Stopping_{false};    ///< Ends Beats_.
  std::atomic<bool> StoreIsDown_{false}; ///< Servers can't write.
  Time Start_;                           ///< Begin of the record.
};

/// Clients that send one request after the other, evenly spaced. Each keeps its
/// connection, and opens another one after a failure.
class Clients {
public:
  explicit Clients(Lab &To) : Lab_(To) {}
  ~Clients() { stop(); }

  /// Adds a client.
  /// \param Interval Time from one request to the next.
  /// \param Make Makes the request; its id is set here.
  void add(size_t Vm, std::string Tag, Duration Interval, ClientCall Call) {
    size_t Number = Threads_.size();
    Threads_.emplace_back([this, Vm, Tag, Interval, Call, Number] {
      run(Vm, Tag, Interval, Call, Number);
    });
  }

  void stop() {
    Stopping_ = true;
    for (std::thread &Each : Threads_)
      Each.join();
    Threads_.clear();
  }

  /// Pauses or resumes all clients.
  void setPaused(bool IsPaused) { Paused_ = IsPaused; }

  std::vector<Sent> take() {
    std::lock_guard Lock(Mutex_);
    std::sort(All_.begin(), All_.end(), [](const Sent &A, const Sent &B) {
      return A.SentAt_ < B.SentAt_;
    });
    return All_;
  }

private:
  void run(size_t Vm, const std::string &Tag, Duration Interval,
           ClientCall Call, size_t Number) {
    RouteClient Client(Lab_.fleet().vm(Vm).Http_.getAddress());
    Time Next = getNow() + Interval * (Number % 16) / 16;
    for (unsigned I = 0; !Stopping_; ++I) {
      while (getNow() < Next && !Stopping_)
        std::this_thread::sleep_for(
            std::min<Duration>(Next - getNow(), milliseconds(50)));
      Next = std::max(Next + Interval, getNow());
      if (Paused_ || Stopping_) {
        Next = getNow() + Interval * (Number % 16) / 16;
        std::this_thread::sleep_for(milliseconds(5));
        continue;
      }
      Sent Each;
      Each.Id_ = absl::StrCat("c", Number, "-", I);
      Each.Tag_ = Tag;
      Each.Vm_ = Vm;
      Call.Id_ = Each.Id_;
      Each.SentAt_ = getNow();
      Each.Reply_ = Client.call(Call, Call.Deadline_ + seconds(1));
      Each.EndedAt_ = getNow();
      std::lock_guard Lock(Mutex_);
      All_.push_back(std::move(Each));
    }
  }

  Lab &Lab_;                          ///< Fleet.
  std::vector<std::thread> Threads_;  ///< One for each client.
  std::atomic<bool> Stopping_{false}; ///< Ends the clients.
  std::atomic<bool> Paused_{false};   ///< See setPaused().
  std::mutex Mutex_;                  ///< Guards All_.
  std::vector<Sent> All_;             ///< Requests that have ended.
};

/// Waits until a time of the record.
inline void waitUntil(const Lab &Of, double At) {
  while (Of.at(getNow()) < At)
    std::this_thread::sleep_for(milliseconds(1));
}

inline json makeServices(const std::vector<std::string> &Names,
                         const std::string &ColdStart, double ColdPerS) {
  json Result = json::array();
  for (const std::string &Name : Names)
    Result.push_back({{"name", Name},
                      {"healthPath", "/health"},
                      {"connectionLimit", 330},
                      {"coldStart", ColdStart},
                      {"coldPerS", ColdPerS}});
  return Result;
}

inline void putConfig(Lab &To, const std::string &Version, const json &Routes,
                      const json &Services, const json &Tenants) {
  To.store().put("config", "main",
                 {{"version", Version},
                  {"routes", Routes},
                  {"services", Services},
                  {"tenants", Tenants},
                  {"limits",
                   {{"headerBytes", 16384},
                    {"bodyBytes", 1 << 20},
                    {"headerTimeout", "3000ms"},
                    {"idleTimeout", "15000ms"}}}});
}

} // namespace lab
