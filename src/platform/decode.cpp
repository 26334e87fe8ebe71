/// \file decode.cpp Decoding and encoding of the platform's bodies.
#include "platform/decode_func.h"

#include "core/duration_func.h"
#include "net/http_target_func.h"
#include "net/ingress_server_base.h"
#include "net/message_framing_func.h"
#include "platform/field_reader_base.h"
#include "platform/json_text_func.h"
#include "platform/wire_names.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>

using nlohmann::json;

namespace cranberry::platform {

namespace {

/// Limits of values that others write, far above those in use.
constexpr unsigned MaxServerSlots = 65535;
constexpr int64_t MaxWatchWaitMs = 3600 * 1000;

/// \param Value Encoded object; its body is moved from.
std::optional<StoreObject> decodeObject(json &Value, Reason &Why) {
  FieldReader Fields(Value, Why);
  if (!Fields.has("metadata")) {
    Fields.reportError("metadata", "missing");
    return std::nullopt;
  }
  FieldReader Meta(Value["metadata"], Why);
  StoreObject Result;
  Result.Name_ = Meta.getString("name");
  Result.Revision_ = Meta.getRevision("revision");
  if (!Meta.isValid())
    return std::nullopt;
  if (auto Body = Value.find("specification"); Body != Value.end())
    Result.Body_ = std::move(*Body);
  return Result;
}

/// Identifiers are sent to servers in a header field.
bool isInstanceId(const std::string &Text) {
  constexpr size_t MaxLength = 256;
  return !Text.empty() && Text.size() <= MaxLength &&
         !absl::ascii_isspace(Text.front()) &&
         !absl::ascii_isspace(Text.back()) && isFieldLine("X: " + Text);
}

bool isObject(const json &Value) {
  if (!Value.is_object() || !Value.contains("metadata"))
    return false;
  const json &Meta = Value["metadata"];
  return Meta.is_object() && Meta.contains("name") &&
         Meta["name"].is_string() && Meta.contains("revision") &&
         Meta["revision"].is_number();
}

bool isEvent(const json &Value) {
  return Value.is_object() && Value.contains("object") &&
         isObject(Value["object"]);
}

/// Decodes an object whose bytes can't be read as a whole.
/// \return The object without a body, or nothing if its name can't be told.
std::optional<StoreObject> decodeUnreadable(std::string_view Text) {
  json Metadata = findField(Text, "metadata", "specification");
  if (Metadata.is_discarded()) {
    // The name itself may hold bytes that aren't UTF-8.
    std::string Plain(Text);
    std::replace_if(
        Plain.begin(), Plain.end(),
        [](unsigned char C) { return !absl::ascii_isprint(C); }, '?');
    Metadata = findField(Plain, "metadata", "specification");
  }
  json Object = {{"metadata", std::move(Metadata)}};
  Reason Skipped;
  return decodeObject(Object, Skipped);
}

/// \return Name of an entry of a list by the bytes of the store, if it can be
/// told.
std::optional<std::string> findName(const ListEntry &Item) {
  if (Item.Value_.is_discarded()) {
    std::string_view Metadata =
        findFieldText(Item.Text_, "metadata", "specification");
    return readStringBytes(findFieldText(Metadata, "name", "finalizers"));
  }
  Reason Skipped;
  FieldReader Fields(Item.Value_, Skipped);
  if (!Fields.has("metadata"))
    return std::nullopt;
  FieldReader Meta(Item.Value_["metadata"], Skipped);
  std::string Name = Meta.getString("name");
  return Meta.isValid() ? std::optional(std::move(Name)) : std::nullopt;
}

std::optional<RouteConfig> decodeRoute(const json &Value, Reason &Why) {
  FieldReader Fields(Value, Why);
  RouteConfig Route;
  Route.Name_ = Fields.getString("name");
  Route.Host_ = absl::AsciiStrToLower(Fields.getString("host"));
  Route.PathPrefix_ = Fields.getString("pathPrefix");
  Route.IsIdempotent_ = Fields.getString("kind") == "safe";
  Route.Timeout_ = Fields.getDuration("timeout");
  Route.LatencyObjective_ = Fields.getDuration("targetLatency");
  Route.Priority_ = Fields.getCount("priority");
  // The wire's "attempts" is the number of servers, not of attempts.
  Route.MaxServers_ = Fields.getCount("attempts");
  Route.IsAnonymous_ = Fields.has("anonymous") && Fields.getBool("anonymous");
  Route.HasAffinity_ =
      Fields.has("stickySessions") && Fields.getBool("stickySessions");
  if (Fields.has("homeRegions"))
    for (const json &Region : Fields.getList("homeRegions"))
      if (Region.is_string())
        Route.HomeRegions_.push_back(Region);
  if (Fields.has("trafficSplit")) {
    for (const json &Part : Fields.getList("trafficSplit")) {
      FieldReader PartFields(Part, Why);
      Route.TrafficSplit_.push_back(
          {PartFields.getString("service"), PartFields.getNumber("weight")});
      if (!PartFields.isValid())
        return std::nullopt;
    }
  } else {
    Route.TrafficSplit_.push_back({Fields.getString("service"), 1});
  }
  if (!Fields.isValid() || Route.TrafficSplit_.empty())
    return std::nullopt;
  return Route;
}

std::optional<BackendServiceConfig> decodeService(const json &Value,
                                                  Reason &Why) {
  FieldReader Fields(Value, Why);
  BackendServiceConfig Service;
  Service.Name_ = Fields.getString("name");
  Service.HealthPath_ = Fields.getString("healthPath");
  Service.ConnectionLimit_ = Fields.getCount("connectionLimit");
  Service.ColdDuration_ = Fields.getDuration("coldStart");
  Service.ColdRate_ = Fields.getNumber("coldPerS");
  if (!Fields.isValid())
    return std::nullopt;
  return Service;
}

std::optional<ClientLimits> decodeLimits(const json &Value, Reason &Why) {
  FieldReader Fields(Value, Why);
  ClientLimits Limits;
  Limits.HeaderBytes_ = Fields.getCount("headerBytes");
  Limits.BodyBytes_ = Fields.getCount("bodyBytes");
  Limits.HeaderTimeout_ = Fields.getDuration("headerTimeout");
  Limits.IdleTimeout_ = Fields.getDuration("idleTimeout");
  if (!Fields.isValid())
    return std::nullopt;
  return Limits;
}

json encodeObject(const StoreObject &Object) {
  return {
      {"metadata", {{"name", Object.Name_}, {"revision", Object.Revision_}}},
      {"specification", Object.Body_}};
}

/// Replaces bytes that aren't valid UTF-8, which other writers may have stored.
std::string dump(const json &Body) {
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::optional<RoutingConfig> decodeRouting(const StoreObject &Object,
                                           Reason &Why) {
  FieldReader Fields(Object.Body_, Why);
  RoutingConfig Result;
  Result.Revision_ = Object.Revision_;
  constexpr int Hexadecimal = 16;
  std::string Version = Fields.getString("version");
  if (!Fields.isValid() || !absl::numbers_internal::safe_strtou64_base(
                               Version, &Result.Version_, Hexadecimal)) {
    Fields.reportError("version", "not a hexadecimal number");
    return std::nullopt;
  }
  for (const json &Value : Fields.getList("routes")) {
    std::optional<RouteConfig> Route = decodeRoute(Value, Why);
    if (!Route)
      return std::nullopt;
    Result.Routes_.push_back(std::move(*Route));
  }
  for (const json &Value : Fields.getList("services")) {
    std::optional<BackendServiceConfig> Service = decodeService(Value, Why);
    if (!Service)
      return std::nullopt;
    Result.Services_.push_back(std::move(*Service));
  }
  if (Fields.has("limits")) {
    std::optional<ClientLimits> Limits =
        decodeLimits(Object.Body_["limits"], Why);
    if (!Limits)
      return std::nullopt;
    Result.Limits_ = *Limits;
  }
  if (!decodeWorkspaces(Object.Body_, Result))
    Fields.reportError("tenants", "not an array");
  if (!Fields.isValid())
    return std::nullopt;
  return Result;
}

std::optional<ServerRecord> decodeServer(const StoreObject &Object,
                                         Reason &Why) {
  FieldReader Fields(Object.Body_, Why);
  ServerRecord Result;
  Result.InstanceId_ = Object.Name_;
  if (!isInstanceId(Result.InstanceId_))
    Fields.reportError("name", "not the value of a header field");
  Result.Service_ = Fields.getString("service");
  Result.Address_ = Fields.getString("address");
  Result.Zone_ = Fields.getString("zone");
  Result.Slots_ = Fields.getCount("slots");
  std::string State = Fields.getString("state");
  Result.IsDraining_ = State == "draining";
  if (State != "ready" && State != "draining")
    Fields.reportError("state", "neither ready nor draining");
  // Remaining cold phase, counted from the time of the report.
  if (Fields.has("coldRemaining"))
    Result.ColdRemaining_ = Fields.getDuration("coldRemaining");
  if (Fields.has("born"))
    Result.StartTimeMs_ = Fields.getInteger("born");
  if (Fields.has("sequence"))
    Result.Sequence_ = Fields.getInteger("sequence");
  if (Result.Slots_ == 0 || Result.Slots_ > MaxServerSlots)
    Fields.reportError("slots", "not from 1 to 65535");
  if (!parseEndpoint(Result.Address_))
    Fields.reportError("address", "not an IPv4 address with a port");
  if (!Fields.isValid())
    return std::nullopt;
  return Result;
}

std::optional<StoreObject> decodeObjectBody(const std::string &Body,
                                            Reason &Why) {
  json Value = parseForeignJson(Body);
  if (Value.is_discarded())
    if (std::optional<StoreObject> Named = decodeUnreadable(Body))
      return Named;
  return decodeObject(Value, Why);
}

std::optional<StorePage> decodePage(const std::string &Body, Reason &Why) {
  std::optional<EntryList> List = readEntryList(Body, "items", isObject);
  if (!List) {
    Why = {ResultCode::ObjectWrongType, "items", "not a readable list"};
    return std::nullopt;
  }
  FieldReader Fields(List->Envelope_, Why);
  StorePage Result;
  // Nothing can be listed after a page without objects.
  Result.HasMore_ = Fields.has("hasMore") && Fields.getBool("hasMore") &&
                    !List->Entries_.empty();
  Result.Revision_ = Fields.getRevision("storeRevision");
  if (!Fields.isValid())
    return std::nullopt;
  for (ListEntry &Item : List->Entries_) {
    if (std::optional<std::string> Name = findName(Item))
      Result.LastName_ = std::move(*Name);
    Reason Skipped; // Invalid items are skipped.
    bool IsReadable = !Item.Value_.is_discarded();
    std::optional<StoreObject> Object = IsReadable
                                            ? decodeObject(Item.Value_, Skipped)
                                            : decodeUnreadable(Item.Text_);
    if (!IsReadable)
      Result.Unreadable_.push_back(Object ? Object->Name_ : "");
    if (Object)
      Result.Objects_.push_back(std::move(*Object));
  }
  return Result;
}

std::optional<StoreChanges> decodeChanges(const std::string &Body,
                                          Reason &Why) {
  std::optional<EntryList> List = readEntryList(Body, "events", isEvent);
  if (!List) {
    Why = {ResultCode::ObjectWrongType, "events", "not a readable list"};
    return std::nullopt;
  }
  FieldReader Fields(List->Envelope_, Why);
  StoreChanges Result;
  Result.Revision_ = Fields.getRevision("storeRevision");
  if (!Fields.isValid())
    return std::nullopt;
  for (ListEntry &Event : List->Entries_) {
    if (Event.Value_.is_discarded()) {
      std::optional<StoreObject> Object = decodeUnreadable(Event.Text_);
      Result.Unreadable_.push_back(Object ? Object->Name_ : "");
      if (Object)
        Result.Changes_.push_back(
            {std::move(*Object),
             findField(Event.Text_, "removed", "specification") == true});
      continue;
    }
    Reason Skipped;
    FieldReader EventFields(Event.Value_, Skipped);
    if (!EventFields.has("object"))
      continue;
    std::optional<StoreObject> Object =
        decodeObject(Event.Value_["object"], Skipped);
    if (Object)
      Result.Changes_.push_back(
          {std::move(*Object),
           EventFields.has("removed") && EventFields.getBool("removed")});
  }
  return Result;
}

std::optional<StoreQuery> decodeStoreQuery(const std::string &Target) {
  size_t Mark = Target.find('?');
  std::string Path = Target.substr(0, Mark);
  if (!Path.starts_with(path::Objects))
    return std::nullopt;
  StoreQuery Result;
  Result.Kind_ = Path.substr(std::string_view(path::Objects).size());
  if (Mark == std::string::npos)
    return Result;
  std::map<std::string, std::string> Query =
      parseQuery(std::string_view(Target).substr(Mark + 1));
  Result.IsDirect_ = Query.contains("direct");
  auto From = Query.find("watch");
  if (From == Query.end())
    return Result;
  Revision Known = 0;
  int64_t Wait = 0;
  if (!absl::SimpleAtoi(From->second, &Known) ||
      !absl::SimpleAtoi(Query["waitMs"], &Wait) || Wait < 0)
    return std::nullopt;
  Result.WatchFrom_ = Known;
  Result.Wait_ = milliseconds(std::min(Wait, MaxWatchWaitMs));
  return Result;
}

std::string encodePage(const StorePage &Page) {
  json Items = json::array();
  for (const StoreObject &Object : Page.Objects_)
    Items.push_back(encodeObject(Object));
  return dump({{"items", std::move(Items)},
               {"hasMore", Page.HasMore_},
               {"storeRevision", Page.Revision_}});
}

std::string encodeChanges(const StoreChanges &Changes) {
  json Events = json::array();
  for (const StoreChange &Change : Changes.Changes_)
    Events.push_back({{"removed", Change.IsRemoved_},
                      {"object", encodeObject(Change.Object_)}});
  return dump(
      {{"events", std::move(Events)}, {"storeRevision", Changes.Revision_}});
}

bool isRenewal(const json &Before, const json &After) {
  // The wire's "sequence" counts renewals. While a server is cold, each renewal
  // carries the remaining cold time and therefore counts as a change.
  if (!Before.is_object() || !After.is_object() ||
      Before.size() != After.size())
    return Before == After;
  for (const auto &[Name, Value] : After.items()) {
    auto Known = Before.find(Name);
    bool IsCount = Name == "sequence";
    if (Known == Before.end() || (!IsCount && *Known != Value))
      return false;
  }
  std::optional<Duration> Cold =
      After.contains("coldRemaining") && After["coldRemaining"].is_string()
          ? parseDuration(After["coldRemaining"])
          : Duration(0);
  return Cold == Duration(0);
}

} // namespace cranberry::platform
