/// \file deployment.cpp Runs a user's settings on loopback ports.
#include "standin/deployment_base.h"

#include "net/blocking_call_func.h"
#include "net/event_loop_base.h"

#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

using nlohmann::json;

namespace cranberry::standin {

namespace {

constexpr Duration ReadyTimeout = seconds(30);
constexpr Duration ReadyPollPeriod = milliseconds(50);
constexpr Duration RequestTimeout = seconds(10);

json readJson(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw std::runtime_error("can't read " + Path);
  return json::parse(File);
}

} // namespace

PlainResponse request(const std::string &Method, const std::string &Url,
                      const std::string &Body) {
  HttpCall Call;
  Call.Method_ = Method;
  Call.Url_ = Url;
  Call.Body_ = Body;
  Call.Timeout_ = RequestTimeout;
  HttpResult Result = callAndWait(std::move(Call));
  return {Result.Status_, std::move(Result.Body_)};
}

Deployment::Deployment(DeploymentPaths Paths, int64_t MeanMs)
    : Paths_(std::move(Paths)), MeanMs_(MeanMs) {
  std::filesystem::create_directories(Paths_.WorkDirectory_);
}

void Deployment::startServers(json &Pool) {
  std::string Name = Pool["name"];
  json &Spec = Pool["spec"];
  auto Child = std::make_unique<ChildProcess>(
      std::vector<std::string>{Paths_.Programs_ + "/standin-backend", "--count",
                               std::to_string(Spec["servers"].size()),
                               "--slots", Spec["slots"].dump(), "--mean-ms",
                               std::to_string(MeanMs_), "--seed",
                               std::to_string(1 + Backends_.size())},
      Paths_.WorkDirectory_ + "/backends.log");
  if (!Child->waitReady())
    throw std::runtime_error("backend servers of pool " + Name +
                             " did not start");
  std::vector<std::string> Addresses =
      absl::StrSplit(Child->getField("servers"), ',');
  Spec["servers"] = Addresses;
  Servers_[Name] = std::move(Addresses);
  Backends_[Name] = std::move(Child);
}

void Deployment::start() {
  Platform_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{Paths_.Programs_ + "/standin-platform"},
      Paths_.WorkDirectory_ + "/platform.log");
  if (!Platform_->waitReady())
    throw std::runtime_error("platform did not start");
  json Objects = readJson(Paths_.Settings_ + "/objects.json");
  for (json &Item : Objects)
    if (Item["kind"] == "pool")
      startServers(Item);
  for (const auto &Entry :
       std::filesystem::directory_iterator(Paths_.Settings_ + "/vms"))
    startVm(Entry.path().stem());
  waitReady(Vms_.size(), 0);
  uint64_t Version = 0;
  for (const json &Item : Objects)
    Version = apply(Item["kind"], Item["name"], Item["spec"].dump());
  waitReady(Vms_.size(), Version);
}

void Deployment::startVm(const std::string &Vm) {
  json Settings = readJson(Paths_.Settings_ + "/vms/" + Vm + ".json");
  Settings["http"] = "127.0.0.1:0";
  Settings["peer"] = "127.0.0.1:0";
  Settings["platform"] = getPlatformAddress();
  Settings["lookupTtlMs"] = 2000;
  Settings.erase("peers");
  std::string Path = Paths_.WorkDirectory_ + "/" + Vm + ".json";
  std::ofstream(Path) << Settings.dump();
  auto Child = std::make_unique<ChildProcess>(
      std::vector<std::string>{Paths_.Programs_ + "/cranberryd", "--settings",
                               Path},
      Paths_.WorkDirectory_ + "/" + Vm + ".log");
  if (!Child->waitReady())
    throw std::runtime_error(Vm + " did not start");
  Vms_[Vm] = std::move(Child);
  announceVms();
}

void Deployment::announceVms() {
  json List = json::array();
  for (const auto &[Name, Vm] : Vms_)
    List.push_back({{"vm", Name},
                    {"address", Vm->getField("peer")},
                    {"role", "entry"},
                    {"state", "live"}});
  request("PUT", "http://" + getPlatformAddress() + "/control",
          json{{"vms", List}}.dump());
}

void Deployment::waitReady(size_t Count, uint64_t Version) {
  Time Limit = EventLoop::now() + ReadyTimeout;
  while (EventLoop::now() < Limit) {
    size_t Ready = 0;
    for (auto &[Name, Vm] : Vms_) {
      if (!Vm->isRunning())
        continue;
      PlainResponse Response =
          request("GET", "http://" + Vm->getField("http") + "/v1/status", "");
      json Body = json::parse(Response.Body_, nullptr, false);
      if (Body.is_object() && Body.value("ready", false) &&
          Body.value("version", uint64_t{0}) >= Version &&
          Body["members"].size() >= Count)
        ++Ready;
    }
    if (Ready >= Count)
      return;
    std::this_thread::sleep_for(ReadyPollPeriod);
  }
  throw std::runtime_error("timed out waiting for entry VMs to become ready");
}

uint64_t Deployment::apply(const std::string &Kind, const std::string &Name,
                           const std::string &Body) {
  PlainResponse Response = request("PUT",
                                   "http://" + getVmAddresses().front() +
                                       "/v1/objects/" + Kind + "/" + Name,
                                   Body);
  if (Response.Status_ != 200)
    throw std::runtime_error("can't write " + Kind + "/" + Name + ": " +
                             Response.Body_);
  return json::parse(Response.Body_)["version"];
}

void Deployment::remove(const std::string &Kind, const std::string &Name) {
  request("DELETE",
          "http://" + getVmAddresses().front() + "/v1/objects/" + Kind + "/" +
              Name,
          "");
}

std::vector<std::string> Deployment::getVmNames() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Vm] : Vms_)
    Names.push_back(Name);
  return Names;
}

std::vector<std::string> Deployment::getVmAddresses() {
  std::vector<std::string> Addresses;
  for (auto &[Name, Vm] : Vms_)
    if (Vm->isRunning())
      Addresses.push_back(Vm->getField("http"));
  return Addresses;
}

std::map<std::string, unsigned> Deployment::getRunsByKey() {
  std::map<std::string, unsigned> Sum;
  for (const auto &[Pool, Addresses] : Servers_)
    for (const std::string &Address : Addresses) {
      json Body = json::parse(
          request("GET", "http://" + Address + "/control", "").Body_, nullptr,
          false);
      if (!Body.is_object())
        continue;
      for (const auto &[Key, Runs] : Body["runsByKey"].items())
        Sum[Key] += Runs.get<unsigned>();
    }
  return Sum;
}

} // namespace cranberry::standin
