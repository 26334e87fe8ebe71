/// \file fleet_status.cpp Aggregates the status of all entry VMs.
#include "ctl/fleet_status_func.h"

#include "net/blocking_call_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using nlohmann::json;

namespace cranberry {

namespace {

constexpr Duration StatusTimeout = seconds(2);

std::optional<json> fetchStatus(const std::string &Endpoint) {
  HttpCall Call;
  Call.Url_ = "http://" + Endpoint + "/v1/status";
  Call.Timeout_ = StatusTimeout;
  HttpResult Result = callAndWait(std::move(Call));
  json Body = json::parse(Result.Body_, nullptr, false);
  if (Result.Status_ != 200 || !Body.is_object())
    return std::nullopt;
  return Body;
}

void addServices(const json &Status, FleetStatus &Fleet, VmSummary &Line) {
  for (const auto &[Service, Stats] : Status["services"].items()) {
    RegionSummary &Region = Fleet.Regions_[{Line.Region_, Service}];
    Region.InUse_ += Stats["inUse"].get<unsigned>();
    Region.Usable_ += Stats["usableSlots"].get<unsigned>();
    Region.Queued_ += Stats["queued"].get<unsigned>();
    Line.OpenRequests_ += Stats["openCalls"].get<unsigned>();
    for (const json &Server : Stats["servers"])
      Fleet.Servers_[Server["server"]] = {Service, Server["inUse"],
                                          Server["draining"]};
  }
}

} // namespace

std::optional<FleetStatus> fetchFleetStatus(const std::string &Endpoint) {
  std::optional<json> First = fetchStatus(Endpoint);
  if (!First)
    return std::nullopt;
  FleetStatus Fleet;
  for (const json &Member : (*First)["members"]) {
    VmSummary Line{Member["vm"], Member["region"], Member["zone"],
                   Member["state"]};
    std::optional<json> Status =
        Member["vm"] == (*First)["vm"] ? First : fetchStatus(Member["address"]);
    if (!Status) {
      Line.State_ = "no answer";
      Fleet.Problems_.insert(Line.Vm_ + " does not answer");
      Fleet.Vms_.push_back(Line);
      continue;
    }
    Line.Version_ = (*Status)["version"];
    addServices(*Status, Fleet, Line);
    for (const char *Key : {"drainedServers", "drainedVms", "leavingServers"})
      for (const json &Name : (*Status)[Key])
        Fleet.Drains_.insert(Name);
    for (const json &Problem : (*Status)["problems"])
      Fleet.Problems_.insert(Problem.get<std::string>());
    Fleet.Vms_.push_back(Line);
  }
  return Fleet;
}

json toJson(const FleetStatus &Fleet) {
  json Vms = json::array();
  for (const VmSummary &Line : Fleet.Vms_)
    Vms.push_back({{"vm", Line.Vm_},
                   {"region", Line.Region_},
                   {"zone", Line.Zone_},
                   {"state", Line.State_},
                   {"version", Line.Version_},
                   {"openRequests", Line.OpenRequests_}});
  json Regions = json::array();
  for (const auto &[Key, Line] : Fleet.Regions_)
    Regions.push_back({{"region", Key.first},
                       {"service", Key.second},
                       {"inUse", Line.InUse_},
                       {"usableSlots", Line.Usable_},
                       {"queued", Line.Queued_}});
  return {{"entryVms", Vms},
          {"regions", Regions},
          {"drains", Fleet.Drains_},
          {"problems", Fleet.Problems_}};
}

std::optional<unsigned> countServerAttempts(const FleetStatus &Fleet,
                                            const std::string &Server) {
  auto Found = Fleet.Servers_.find(Server);
  if (Found == Fleet.Servers_.end() || !Found->second.IsDraining_)
    return std::nullopt;
  return Found->second.InUse_;
}

std::optional<unsigned> countVmRequests(const FleetStatus &Fleet,
                                        const std::string &Vm) {
  auto Found = std::find_if(Fleet.Vms_.begin(), Fleet.Vms_.end(),
                            [&](const VmSummary &L) { return L.Vm_ == Vm; });
  bool IsResponding = Found != Fleet.Vms_.end() && Found->State_ != "no answer";
  if (!IsResponding || !Fleet.Drains_.contains(Vm))
    return std::nullopt;
  return Found->OpenRequests_;
}

} // namespace cranberry
