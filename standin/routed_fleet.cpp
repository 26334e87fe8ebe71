/// \file routed_fleet.cpp Entry VM processes with stand-ins.
#include "standin/routed_fleet_base.h"

#include "standin/route_client_base.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <filesystem>
#include <fstream>
#include <set>

using nlohmann::json;

namespace cranberry::standin {

namespace {

std::string getRegion(const std::string &Zone) {
  return Zone.substr(0, Zone.find('-'));
}

} // namespace

RoutedFleet::RoutedFleet(const FleetPlan &Plan, std::string Daemon,
                         std::string Directory)
    : Plan_(Plan), Daemon_(std::move(Daemon)),
      Directory_(std::move(Directory)) {
  std::filesystem::create_directories(Directory_);
  std::set<std::string> Zones(Plan.VmZones_.begin(), Plan.VmZones_.end());
  for (const std::string &Service : Plan.Services_)
    for (const std::string &Zone : Zones)
      for (unsigned I = 0; I < Plan.ServersPerZone_; ++I) {
        FleetServer Next{Service, Zone, nullptr, nullptr};
        Next.Server_ = std::make_unique<RoutedServer>(
            absl::StrCat("i-", Service, "-", Zone, "-", I), Plan.Slots_,
            Plan.ServiceTime_);
        Next.Link_ = std::make_unique<Link>(Next.Server_->getAddress());
        registerServer(Next);
        Servers_.push_back(std::move(Next));
      }
  for (const std::string &Zone : Plan.VmZones_) {
    auto Vm = std::make_unique<FleetVm>();
    Vm->Name_ = absl::StrCat("vm-", Vms_.size());
    Vm->Zone_ = Zone;
    Vm->FrontLink_ = std::make_unique<Link>(Vm->Http_.getAddress());
    Vm->PeerLink_ = std::make_unique<Link>(Vm->Peer_.getAddress());
    Vm->StoreLink_ = std::make_unique<Link>(Store_.getAddress());
    writeSettings(*Vm, {});
    Vms_.push_back(std::move(Vm));
  }
}

void RoutedFleet::writeSettings(const FleetVm &Vm, const json &Keys) const {
  json Zones;
  for (const std::string &Zone : Plan_.VmZones_)
    Zones[Zone] = getRegion(Zone);
  json Settings = {{"vm", Vm.Name_},
                   {"region", getRegion(Vm.Zone_)},
                   {"zone", Vm.Zone_},
                   {"http", Vm.Http_.getAddress()},
                   {"httpAdvertise", Vm.FrontLink_->getAddress()},
                   {"readiness", Vm.Readiness_.getAddress()},
                   {"directory", Vm.Directory_.getAddress()},
                   {"peer", Vm.Peer_.getAddress()},
                   {"peerAdvertise", Vm.PeerLink_->getAddress()},
                   {"platform", Vm.StoreLink_->getAddress()},
                   {"zones", Zones},
                   {"stopGraceMs", "4s"},
                   {"repeatRatio", 0.2},
                   {"repeatSlack", 30},
                   {"coldBurstFactor", 1.5}};
  if (!Keys.is_null())
    Settings.update(Keys);
  std::ofstream(Directory_ + "/" + Vm.Name_ + ".json") << Settings.dump(2);
}

void RoutedFleet::changeSettings(size_t Vm, const json &Keys) {
  writeSettings(*Vms_[Vm], Keys);
}

std::string RoutedFleet::getLogPath(size_t Vm) const {
  return Directory_ + "/" + Vms_[Vm]->Name_ + ".log";
}

void RoutedFleet::start(size_t Vm) {
  FleetVm &Target = *Vms_[Vm];
  Target.Process_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{Daemon_, "--settings",
                               Directory_ + "/" + Target.Name_ + ".json"},
      getLogPath(Vm), getLogPath(Vm));
}

bool RoutedFleet::waitReady(size_t Vm, Duration Limit) {
  Time End = getNow() + Limit;
  RouteClient Client(Vms_[Vm]->Readiness_.getAddress());
  while (getNow() < End) {
    if (Client.call({"GET", "/api/readiness"}, seconds(1)).Status_ == 200)
      return true;
    Client.pause(milliseconds(10));
  }
  return false;
}

unsigned RoutedFleet::configure(const json &Routes, const json &Workspaces) {
  json Services = json::array();
  for (const std::string &Service : Plan_.Services_)
    Services.push_back({{"name", Service},
                        {"healthPath", "/health"},
                        {"connectionLimit", 330},
                        {"coldStart", "1s"},
                        {"coldPerS", 20.0}});
  ++Version_;
  Store_.put("config", "main",
             {{"version", absl::StrFormat("%08x", Version_)},
              {"routes", Routes},
              {"services", Services},
              {"tenants", Workspaces},
              {"limits",
               {{"headerBytes", 16384},
                {"bodyBytes", 1 << 20},
                {"headerTimeout", "3000ms"},
                {"idleTimeout", "15000ms"}}}});
  return Version_;
}

void RoutedFleet::setHeartbeatsLost(size_t From, size_t To, bool AreLost) {
  const FleetVm &Sender = *Vms_[From];
  // The end of the sender's record, unlike those of VMs that it tells of.
  Vms_[To]->PeerLink_->setStalledText(
      AreLost ? absl::StrCat(R"("vm":")", Sender.Name_, R"(","zone":")",
                             Sender.Zone_, R"("},"updates")")
              : "");
}

void RoutedFleet::registerServer(const FleetServer &Server, bool IsDraining) {
  json Entry = Server.Server_->getEntry(Server.Service_, Server.Zone_,
                                        IsDraining, ++Sequence_);
  Entry["address"] = Server.Link_->getAddress();
  Store_.put("servers", Server.Server_->getId(), Entry);
}

void RoutedFleet::unregisterServer(const FleetServer &Server) {
  Store_.remove("servers", Server.Server_->getId());
}

json makeRoute(const std::string &Name, const std::string &Prefix,
               const std::string &Service, bool IsIdempotent,
               Duration Timeout) {
  std::string Text = absl::StrCat(toMilliseconds(Timeout), "ms");
  return {{"name", Name},
          {"host", "shop.example"},
          {"pathPrefix", Prefix},
          {"kind", IsIdempotent ? "safe" : "unsafe"},
          {"timeout", Text},
          {"targetLatency", absl::StrCat(toMilliseconds(Timeout) / 2, "ms")},
          {"priority", 1},
          {"service", Service},
          {"attempts", 2},
          {"stickySessions", true},
          {"homeRegions", json::array()}};
}

} // namespace cranberry::standin
