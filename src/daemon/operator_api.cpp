/// \file operator_api.cpp Object API, status and probes for operators.
#include "daemon/operator_api_base.h"

#include "core/result_func.h"
#include "daemon/caller_api_base.h"
#include "process/placement_func.h"
#include "version/client_block_func.h"
#include "version/object_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <mutex>

using nlohmann::json;

namespace cranberry {

namespace {

/// A thread whose loop has not run for this time is considered hung.
constexpr Duration HangTimeout = seconds(5);
constexpr Duration MaxWatchWait = seconds(30);

HttpResponse makeJsonResponse(const json &Body) {
  return {200,
          {{"Content-Type", "application/json"}},
          Body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

json describeObject(const Object &Known) {
  json Body{{"kind", getName(Known.Id_.Kind_)},
            {"name", Known.Id_.Name_},
            {"version", Known.Revision_}};
  if (Known.IsDeleted_)
    Body["deleted"] = true;
  else
    Body["spec"] = json::parse(Known.Body_, nullptr, false);
  return Body;
}

/// Parses If-Match and If-None-Match.
/// \return Whether they are well formed.
bool readPrecondition(const HttpRequest &Request,
                      std::optional<ExpectedRevision> &Before) {
  if (Request.getHeader("if-none-match") == "*") {
    Before = ExpectedRevision(std::nullopt);
    return true;
  }
  std::string Tag = Request.getHeader("if-match");
  if (Tag.empty() || Tag == "*")
    return true;
  std::erase(Tag, '"');
  Revision Value = 0;
  if (!absl::SimpleAtoi(Tag, &Value))
    return false;
  Before = ExpectedRevision(Value);
  return true;
}

HttpResponse makeWriteResponse(const ObjectId &Id, const WriteResult &Result) {
  if (Result.Why_.Code_ != ResultCode::Ok) {
    HttpResponse Response = makeErrorResponse(Result.Why_);
    if (Result.Revision_)
      Response.Headers_.emplace_back(
          "ETag", "\"" + std::to_string(Result.Revision_) + "\"");
    return Response;
  }
  HttpResponse Response = makeJsonResponse({{"kind", getName(Id.Kind_)},
                                            {"name", Id.Name_},
                                            {"version", Result.Revision_}});
  Response.Headers_.emplace_back(
      "ETag", "\"" + std::to_string(Result.Revision_) + "\"");
  return Response;
}

json describeService(const ServiceStats &Stats) {
  const DispatcherStats &D = Stats.Dispatcher_;
  json Servers = json::array();
  for (const ServerStatus &S : Stats.Servers_)
    Servers.push_back({{"server", S.Address_},
                       {"slots", S.Slots_},
                       {"usable", S.Usable_},
                       {"inUse", S.InUse_},
                       {"draining", S.IsDraining_},
                       {"down", S.IsDown_},
                       {"slow", S.IsSlow_}});
  return {{"queued", D.Queued_},           {"inUse", D.InUse_},
          {"usableSlots", D.Usable_},      {"reservedSlots", D.Reserved_},
          {"addedAttempts", D.Added_},     {"hedges", D.Hedges_},
          {"silent", D.Silent_},           {"keys", Stats.Keys_},
          {"openCalls", Stats.OpenCalls_}, {"servers", Servers}};
}

/// Lists problems that need the attention of an operator.
json findProblems(const Snapshot &Now,
                  const std::map<std::string, ServiceStats> &Stats) {
  json Problems = json::array();
  if (!Now.IsReady_)
    Problems.push_back("no configuration has come yet");
  for (const IgnoredObject &Ignored : Now.Config_->IgnoredObjects_)
    Problems.push_back(std::string("object ignored: ") +
                       getName(Ignored.Id_.Kind_) + "/" + Ignored.Id_.Name_ +
                       ": " + Ignored.Reason_);
  for (const Member &M : Now.Members_)
    if (M.State_ == MemberState::Suspect)
      Problems.push_back("entry VM does not answer: " + M.Vm_);
  for (const auto &[Name, Service] : Stats)
    for (const ServerStatus &S : Service.Servers_) {
      if (S.IsDown_)
        Problems.push_back("backend server down: " + S.Address_);
      if (S.IsSlow_)
        Problems.push_back("backend server slow: " + S.Address_);
    }
  return Problems;
}

} // namespace

OperatorApi::OperatorApi(const Settings &Config, const SnapshotHolder &Holder,
                         ControlThread &Control, TrafficThreads &Traffic,
                         Metrics &Counters)
    : Settings_(Config), Snapshots_(Holder), Control_(Control),
      Traffic_(Traffic), Metrics_(Counters) {}

void OperatorApi::handleRequest(const HttpRequest &Request,
                                const HttpRespond &Respond) {
  const std::string &Path = Request.Path_;
  if (Path.starts_with("/v1/objects/") || Path.starts_with("/v1/validate/"))
    return handleObjects(Request, Respond);
  if (Request.Method_ != "GET") {
    bool IsKnown = Path == "/v1/changes" || Path == "/v1/status" ||
                   Path == "/v1/explain" || Path == "/metrics" ||
                   Path == "/healthz" || Path == "/readyz";
    return Respond(makeErrorResponse(
        {IsKnown ? ResultCode::MethodUnsupported : ResultCode::PathUnknown, "",
         ""}));
  }
  if (Path == "/v1/changes")
    return handleWatch(Request, Respond);
  if (Path == "/v1/status")
    return handleStatus(Respond);
  if (Path == "/v1/explain")
    return handleExplain(Request, Respond);
  if (Path == "/metrics")
    return handleMetrics(Respond);
  if (Path == "/healthz")
    return handleLiveness(Respond);
  if (Path == "/readyz")
    return handleReadiness(Respond);
  Respond(makeErrorResponse({ResultCode::PathUnknown, "", ""}));
}

void OperatorApi::handleObjects(const HttpRequest &Request,
                                const HttpRespond &Respond) {
  std::vector<std::string> Parts = absl::StrSplit(Request.Path_, '/');
  // The parts are "", "v1", "objects" or "validate", the kind, and optionally
  // the name.
  bool HasName = Parts.size() == 5 && !Parts[4].empty();
  std::optional<ObjectKind> Kind = findObjectKind(Parts[3]);
  if (Parts.size() > 5)
    return Respond(makeErrorResponse({ResultCode::PathUnknown, "", ""}));
  if (!Kind)
    return Respond(makeErrorResponse({ResultCode::ObjectUnknownKind, "", ""}));
  if (Request.IsTooLarge_)
    return Respond(makeErrorResponse({ResultCode::ObjectTooLarge, "", ""}));
  if (!HasName)
    return Request.Method_ == "GET" && Parts[2] == "objects"
               ? listObjects(*Kind, Respond)
               : Respond(makeErrorResponse(
                     {ResultCode::MethodUnsupported, "", ""}));
  ObjectId Id{*Kind, Parts[4]};
  if (Parts[2] == "validate")
    return Control_.validateObject(
        Id, Request.Body_.empty() ? " " : Request.Body_,
        [Respond](const Reason &Why) {
          Respond(Why.Code_ == ResultCode::Ok
                      ? makeJsonResponse({{"valid", true}})
                      : makeErrorResponse(Why));
        });
  if (Request.Method_ == "GET")
    return getObject(Id, Respond);
  bool IsWritable = Id.Kind_ != ObjectKind::Status;
  if (IsWritable && (Request.Method_ == "PUT" || Request.Method_ == "DELETE"))
    return writeObject(Id, Request, Respond);
  Respond(makeErrorResponse({ResultCode::MethodUnsupported, "", ""}));
}

void OperatorApi::listObjects(ObjectKind Kind, const HttpRespond &Respond) {
  Control_.readObjects([Kind, Respond](const ObjectStore &Store) {
    json Items = json::array();
    for (const auto &[Id, Known] : Store.getObjects())
      if (Id.Kind_ == Kind && !Known.IsDeleted_)
        Items.push_back(describeObject(Known));
    Respond(makeJsonResponse(
        {{"revision", Store.getRevision()}, {"items", Items}}));
  });
}

void OperatorApi::getObject(const ObjectId &Id, const HttpRespond &Respond) {
  Control_.readObjects([Id, Respond](const ObjectStore &Store) {
    const Object *Known = Store.find(Id);
    if (!Known)
      return Respond(makeErrorResponse({ResultCode::ObjectNotFound, "", ""}));
    HttpResponse Response = makeJsonResponse(describeObject(*Known));
    Response.Headers_.emplace_back(
        "ETag", "\"" + std::to_string(Known->Revision_) + "\"");
    Respond(std::move(Response));
  });
}

void OperatorApi::writeObject(const ObjectId &Id, const HttpRequest &Request,
                              const HttpRespond &Respond) {
  std::optional<ExpectedRevision> Before;
  if (!readPrecondition(Request, Before))
    return Respond(
        makeErrorResponse({ResultCode::ObjectVersionInvalid, "If-Match", ""}));
  std::string Body = Request.Body_;
  if (Request.Method_ == "DELETE")
    Body.clear();
  else if (Body.empty())
    return Respond(makeErrorResponse({ResultCode::ObjectNotJson, "", ""}));
  Control_.writeObject(Id, Body, Before,
                       [Id, Respond](const WriteResult &Result) {
                         Respond(makeWriteResponse(Id, Result));
                       });
}

void OperatorApi::handleWatch(const HttpRequest &Request,
                              const HttpRespond &Respond) {
  Revision Since = 0;
  int64_t WaitMs = 0;
  if (!absl::SimpleAtoi(Request.getQuery("since"), &Since))
    return Respond(
        makeErrorResponse({ResultCode::RequestMalformed, "since", ""}));
  if (!Request.getQuery("waitMs").empty() &&
      (!absl::SimpleAtoi(Request.getQuery("waitMs"), &WaitMs) || WaitMs < 0))
    return Respond(
        makeErrorResponse({ResultCode::RequestMalformed, "waitMs", ""}));
  Duration Wait = std::min<Duration>(MaxWatchWait, milliseconds(WaitMs));
  Control_.watchObjects(
      Since, EventLoop::now() + Wait,
      [Since, Respond](const ObjectStore &Store) {
        json Items = json::array();
        for (const Object &Change : Store.getChangesSince(Since).Objects_)
          Items.push_back(describeObject(Change));
        Respond(makeJsonResponse(
            {{"revision", Store.getRevision()}, {"items", Items}}));
      });
}

void OperatorApi::collectStats(
    const std::function<void(const StatsByService &)> &Done) {
  struct Collection {
    std::mutex Mutex_;
    StatsByService Stats_;
    size_t Left_;
  };
  auto Shared = std::make_shared<Collection>();
  Shared->Left_ = Traffic_.size();
  for (const std::unique_ptr<TrafficThread> &Thread : Traffic_)
    Thread->collectStats([Shared, Done](const StatsByService &Stats) {
      std::lock_guard Lock(Shared->Mutex_);
      Shared->Stats_.insert(Stats.begin(), Stats.end());
      if (--Shared->Left_ == 0)
        Done(Shared->Stats_);
    });
}

void OperatorApi::handleStatus(const HttpRespond &Respond) {
  collectStats([this, Respond](const StatsByService &Stats) {
    SnapshotPtr Now = Snapshots_.get();
    json Members = json::array();
    for (const Member &M : Now->Members_)
      Members.push_back(
          {{"vm", M.Vm_},
           {"region", M.Region_},
           {"zone", M.Zone_},
           {"address", M.HttpAddress_},
           {"state", MemberStateNames[static_cast<size_t>(M.State_)]},
           {"incarnation", M.Incarnation_},
           {"version", M.Revision_}});
    json Services = json::object();
    for (const auto &[Name, Service] : Stats)
      Services[Name] = describeService(Service);
    Respond(makeJsonResponse(
        {{"vm", Settings_.Vm_},
         {"region", Settings_.Region_},
         {"zone", Settings_.Zone_},
         {"ready", Now->IsReady_},
         {"version", Now->Config_->Revision_},
         {"state", MemberStateNames[static_cast<size_t>(Now->Self_.State_)]},
         {"members", Members},
         {"services", Services},
         {"drainedServers", Now->Config_->DrainedServers_},
         {"drainedVms", Now->Config_->DrainedVms_},
         {"leavingServers", Now->LeavingServers_},
         {"problems", findProblems(*Now, Stats)}}));
  });
}

void OperatorApi::handleExplain(const HttpRequest &Request,
                                const HttpRespond &Respond) {
  SnapshotPtr Now = Snapshots_.get();
  const Configuration &Config = *Now->Config_;
  const std::string &Service = Request.getQuery("service");
  if (!Config.findService(Service))
    return Respond(
        makeErrorResponse({ResultCode::ServiceUnknown, "service", ""}));
  std::optional<uint32_t> Client = parseIpv4(Request.getQuery("client"));
  if (!Client)
    return Respond(
        makeErrorResponse({ResultCode::ClientAddressInvalid, "client", ""}));
  ZoneIndex Zone = Config.ClientBlocks_.findZone(*Client);
  std::string Home =
      Zone.isValid() ? Config.Zones_[Zone.get()].Name_ : Settings_.Zone_;
  json Vms = json::array();
  constexpr const char *NearnessNames[] = {"home zone", "home region",
                                           "other region"};
  for (const LookupEntry &Entry : Now->getEntryVms(Home))
    Vms.push_back(
        {{"vm", Entry.Member_->Vm_},
         {"weight", Entry.Weight_},
         {"why", NearnessNames[static_cast<size_t>(Entry.Locality_)]}});
  json Servers = json::array();
  for (const ServerOwner &Owner :
       getServerOwners(Config, Now->Members_, Service))
    Servers.push_back({{"server", Owner.Server_}, {"owner", Owner.Vm_}});
  Respond(makeJsonResponse(
      {{"service", Service},
       {"client", Request.getQuery("client")},
       {"version", Config.Revision_},
       {"zone", Home},
       {"zoneWhy", Zone.isValid() ? "longest client block holds the address"
                                  : "no client block; zone of the VM asked"},
       {"entryVms", Vms},
       {"servers", Servers}}));
}

void OperatorApi::handleMetrics(const HttpRespond &Respond) {
  collectStats([this, Respond](const StatsByService &Stats) {
    SnapshotPtr Now = Snapshots_.get();
    for (const auto &[Name, Service] : Stats) {
      const DispatcherStats &D = Service.Dispatcher_;
      Metrics_.setGauge("cranberry_queued_requests", Name,
                        static_cast<double>(D.Queued_));
      Metrics_.setGauge("cranberry_slots_in_use", Name, D.InUse_);
      Metrics_.setGauge("cranberry_slots_usable", Name, D.Usable_);
      Metrics_.setGauge("cranberry_slots_reserved", Name, D.Reserved_);
      Metrics_.setGauge("cranberry_added_attempts", Name,
                        static_cast<double>(D.Added_));
      auto Draining =
          std::count_if(Service.Servers_.begin(), Service.Servers_.end(),
                        [](const ServerStatus &S) { return S.IsDraining_; });
      Metrics_.setGauge("cranberry_servers_draining", Name,
                        static_cast<double>(Draining));
    }
    Metrics_.setGauge("cranberry_configuration_version", "in-force",
                      static_cast<double>(Now->Config_->Revision_));
    Metrics_.setGauge("cranberry_members", "not-gone",
                      static_cast<double>(Now->Members_.size()));
    Respond({200,
             {{"Content-Type", "text/plain; version=0.0.4"}},
             Metrics_.serialize()});
  });
}

void OperatorApi::handleLiveness(const HttpRespond &Respond) {
  Time Oldest = Control_.getLastIterationTime();
  for (const std::unique_ptr<TrafficThread> &Thread : Traffic_)
    Oldest = std::min(Oldest, Thread->getLastIterationTime());
  bool IsAlive = EventLoop::now() - Oldest < HangTimeout;
  HttpResponse Response = makeJsonResponse({{"alive", IsAlive}});
  Response.Status_ = IsAlive ? 200 : 503;
  Respond(std::move(Response));
}

void OperatorApi::handleReadiness(const HttpRespond &Respond) {
  SnapshotPtr Now = Snapshots_.get();
  bool IsReady = Now->IsReady_ && isServing(Now->Self_, *Now->Config_);
  HttpResponse Response = makeJsonResponse(
      {{"ready", IsReady},
       {"version", Now->Config_->Revision_},
       {"state", MemberStateNames[static_cast<size_t>(Now->Self_.State_)]}});
  Response.Status_ = IsReady ? 200 : 503;
  Respond(std::move(Response));
}

} // namespace cranberry
