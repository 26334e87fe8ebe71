/// \file cluster.cpp Entry VM processes among stand-ins with faults.
#include "cluster_base.h"

#include "net/blocking_call_func.h"
#include "net/event_loop_base.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <future>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <unistd.h>

using nlohmann::json;

namespace cranberry::test {

namespace {

constexpr Duration StartLimit = seconds(20);

/// Temporary file that the destructor removes.
class ScratchFile {
public:
  explicit ScratchFile(const std::string &Text) {
    int File = mkstemp(Path_);
    if (write(File, Text.data(), Text.size()) !=
        static_cast<ssize_t>(Text.size()))
      throw std::runtime_error("can't write settings");
    close(File);
  }
  ~ScratchFile() { unlink(Path_); }
  const char *getPath() const { return Path_; }

private:
  char Path_[32] =
      "/tmp/cranberry-test-XXXXXX"; ///< Template for mkstemp(), then the path.
};

} // namespace

bool waitUntil(const std::function<bool()> &Done, Duration Limit) {
  constexpr int PollMs = 10;
  Time End = EventLoop::now() + Limit;
  while (!Done()) {
    if (EventLoop::now() >= End)
      return false;
    poll(nullptr, 0, PollMs);
  }
  return true;
}

Cluster::Cluster(const std::vector<std::string> &Zones, unsigned Servers,
                 const standin::BackendProfile &Profile, Duration Period)
    : Period_(Period),
      Platform_(std::make_unique<standin::Platform>("127.0.0.1:0")) {
  std::set<std::string> Distinct(Zones.begin(), Zones.end());
  for (const std::string &Zone : Distinct)
    for (unsigned I = 0; I < Servers; ++I)
      Servers_[Zone].push_back(
          std::make_unique<standin::Backend>("127.0.0.1:0", Profile));
  for (size_t I = 0; I < Zones.size(); ++I) {
    auto Vm = std::make_unique<TestVm>();
    Vm->Name_ = "vm" + std::to_string(I);
    Vm->Zone_ = Zones[I];
    Vm->Region_ = Zones[I].substr(0, Zones[I].find('-'));
    Vm->PeerLink_ = std::make_unique<standin::Link>();
    Vm->PlatformLink_ =
        std::make_unique<standin::Link>(Platform_->getAddress());
    Vms_.push_back(std::move(Vm));
    startVm(I);
  }
  if (!waitUntil([&] { return get(0, "/readyz").Status_ == 200; }, StartLimit))
    throw std::runtime_error("no entry VM became ready");
  writeObjects();
  if (!waitInForce(Platform_->getRevision(), Vms_.size(), StartLimit))
    throw std::runtime_error("the configuration did not spread");
}

Cluster::~Cluster() { Vms_.clear(); }

void Cluster::startVm(size_t Index) {
  TestVm &Vm = *Vms_[Index];
  json Settings{{"vm", Vm.Name_},
                {"region", Vm.Region_},
                {"zone", Vm.Zone_},
                {"http", "127.0.0.1:0"},
                {"peer", "127.0.0.1:0"},
                {"peerAdvertise", Vm.PeerLink_->getAddress()},
                {"platform", Vm.PlatformLink_->getAddress()},
                {"heartbeatMs", toMilliseconds(Period_)},
                {"healthMs", toMilliseconds(Period_)},
                {"lookupTtlMs", 500},
                {"drainLimitMs", 4000}};
  ScratchFile File(Settings.dump());
  const char *Log = std::getenv("CRANBERRY_TEST_LOG");
  Vm.Process_ = std::make_unique<standin::ChildProcess>(
      std::vector<std::string>{PROGRAM_DIR "/cranberryd", "--settings",
                               File.getPath()},
      Log ? std::string(Log) + "." + Vm.Name_ : "");
  if (!Vm.Process_->waitReady())
    throw std::runtime_error(Vm.Name_ + " did not start");
  Vm.PeerLink_->setTarget(Vm.Process_->getField("peer"));
  announceVms();
}

void Cluster::announceVms() {
  json List = json::array();
  for (const std::unique_ptr<TestVm> &Vm : Vms_)
    List.push_back({{"vm", Vm->Name_},
                    {"address", Vm->PeerLink_->getAddress()},
                    {"role", "entry"},
                    {"state", "live"}});
  Platform_->setVms(json{{"vms", List}}.dump());
}

void Cluster::writeObjects() {
  std::set<std::string> Regions;
  for (const std::unique_ptr<TestVm> &Vm : Vms_)
    Regions.insert(Vm->Region_);
  auto Write = [&](const char *Kind, const std::string &Name,
                   const json &Spec) {
    HttpResult Result = put(0, Kind, Name, Spec.dump());
    if (Result.Status_ != 200)
      throw std::runtime_error("write failed: " + Result.Body_);
  };
  for (const std::string &Region : Regions)
    Write("region", Region, json::object());
  Write("service", "pay", {{"deadlineMs", 5000}});
  for (const auto &[Zone, Servers] : Servers_) {
    Write("zone", Zone,
          {{"region", Zone.substr(0, Zone.find('-'))}, {"entryVms", 2}});
    json Addresses = json::array();
    for (const std::unique_ptr<standin::Backend> &Server : Servers)
      Addresses.push_back(Server->getAddress());
    Write("pool", "pay." + Zone,
          {{"service", "pay"},
           {"zone", Zone},
           {"slots", 4},
           {"servers", Addresses}});
  }
}

HttpResult Cluster::call(size_t Index, const std::string &Method,
                         const std::string &Key, Duration Deadline) {
  HttpCall Call;
  Call.Method_ = Method;
  Call.Url_ = "http://" + Vms_[Index]->getHttp() + "/v1/call/pay/book?echo=e1";
  Call.Headers_.emplace_back("X-Deadline-Ms",
                             std::to_string(toMilliseconds(Deadline)));
  if (!Key.empty())
    Call.Headers_.emplace_back("Idempotency-Key", Key);
  Call.Timeout_ = Deadline + seconds(2);
  return callAndWait(std::move(Call));
}

std::function<HttpResult()> Cluster::startCall(size_t Index,
                                               const std::string &Method,
                                               const std::string &Key,
                                               Duration Deadline) {
  auto Running = std::make_shared<std::future<HttpResult>>(
      std::async(std::launch::async,
                 [=, this] { return call(Index, Method, Key, Deadline); }));
  return [Running] { return Running->get(); };
}

HttpResult Cluster::put(size_t Index, const std::string &Kind,
                        const std::string &Name, const std::string &Body,
                        const std::string &IfMatch) {
  HttpCall Call;
  Call.Method_ = "PUT";
  Call.Url_ =
      "http://" + Vms_[Index]->getHttp() + "/v1/objects/" + Kind + "/" + Name;
  Call.Body_ = Body;
  if (!IfMatch.empty())
    Call.Headers_.emplace_back("If-Match", IfMatch);
  Call.Timeout_ = seconds(30);
  return callAndWait(std::move(Call));
}

HttpResult Cluster::get(size_t Index, const std::string &Path) {
  HttpCall Call;
  Call.Url_ = "http://" + Vms_[Index]->getHttp() + Path;
  Call.Timeout_ = seconds(2);
  return callAndWait(std::move(Call));
}

std::string Cluster::makeKey(size_t Index) {
  json Lookup =
      json::parse(get(Index, "/v1/lookup?service=pay&client=10.0.0.1").Body_,
                  nullptr, false);
  for (const json &Vm : Lookup["entryVms"])
    if (Vm["vm"] == Vms_[Index]->Name_)
      return Vm["keyPrefix"].get<std::string>() + "/nonce" +
             std::to_string(NextNonce_++);
  throw std::runtime_error("the look-up does not name " + Vms_[Index]->Name_);
}

uint64_t Cluster::getVersion(size_t Index) {
  json Status = json::parse(get(Index, "/v1/status").Body_, nullptr, false);
  return Status.is_object() ? Status.value("version", uint64_t{0}) : 0;
}

unsigned Cluster::getRuns(const std::string &Key) {
  unsigned Runs = 0;
  for (const auto &[Zone, Servers] : Servers_)
    for (const std::unique_ptr<standin::Backend> &Server : Servers) {
      std::map<std::string, unsigned> ByKey = Server->getRunsByKey();
      if (auto Found = ByKey.find(Key); Found != ByKey.end())
        Runs += Found->second;
    }
  return Runs;
}

bool Cluster::waitInForce(uint64_t Version, size_t Count, Duration Limit) {
  return waitUntil(
      [&] {
        for (size_t I = 0; I < Vms_.size(); ++I) {
          if (!Vms_[I]->Process_->isRunning())
            continue;
          json Status = json::parse(get(I, "/v1/status").Body_, nullptr, false);
          if (!Status.is_object() || !Status.value("ready", false) ||
              Status.value("version", uint64_t{0}) < Version ||
              Status["members"].size() < Count)
            return false;
        }
        return true;
      },
      Limit);
}

} // namespace cranberry::test
