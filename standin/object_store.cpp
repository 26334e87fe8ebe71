/// \file object_store.cpp Stand-in for the platform's object store.
#include "standin/object_store_base.h"

#include "net/http_message_func.h"
#include "net/http_target_func.h"
#include "platform/wire_names.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <stdexcept>

namespace http = boost::beast::http;
using nlohmann::json;

namespace cranberry::standin {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr unsigned Gone = 410;
constexpr unsigned TooMany = 429;
constexpr unsigned Unavailable = 503;

/// How often pending watches are checked for expiry.
constexpr Duration WatchCheckPeriod = milliseconds(20);

uint64_t toNumber(const std::string &Text) {
  uint64_t Number = 0;
  return absl::SimpleAtoi(Text, &Number) ? Number : 0;
}

} // namespace

ObjectStore::ObjectStore(const std::string &Address) {
  Thread_.call([&] {
    Timer_ = std::make_unique<boost::asio::steady_timer>(Thread_.getLoop());
    Server_ = std::make_unique<IngressServer>(
        Thread_.getLoop(),
        [this](const IngressExchangePtr &Exchange) { handle(Exchange); });
    Reason Why;
    if (!Server_->open(Address, Why))
      throw std::runtime_error("object store: can't listen: " + Why.Message_);
    Address_ = Server_->getAddress();
    tick();
  });
}

ObjectStore::~ObjectStore() {
  Thread_.stop();
  Watches_.clear();
  Held_.clear();
  Server_.reset();
}

void ObjectStore::put(const std::string &Kind, const std::string &Name,
                      const json &Body) {
  Thread_.call([&] { change(Kind, Name, &Body); });
}

void ObjectStore::remove(const std::string &Kind, const std::string &Name) {
  Thread_.call([&] { change(Kind, Name, nullptr); });
}

bool ObjectStore::contains(const std::string &Kind, const std::string &Name) {
  return Thread_.call([&] { return Kinds_[Kind].count(Name) > 0; });
}

void ObjectStore::setMode(StoreMode Mode) {
  Thread_.call([&] {
    Mode_ = Mode;
    // Pending watches stay open without a response when the store fails.
    if (Mode != StoreMode::Serve)
      for (const Watch &Each : Watches_)
        Held_.push_back(Each.Exchange_);
    if (Mode != StoreMode::Serve)
      Watches_.clear();
  });
}

void ObjectStore::suppressWatchEvents() {
  Thread_.call([&] { AreWatchEventsSuppressed_ = true; });
}

void ObjectStore::compact() {
  Thread_.call([&] {
    CompactedRevision_ = Revision_;
    History_.clear();
    AreWatchEventsSuppressed_ = false;
    cutWatches();
  });
}

void ObjectStore::cutWatches() {
  std::list<Watch> Cut;
  Cut.swap(Watches_);
  for (const Watch &Each : Cut)
    reply(Each.Exchange_, Unavailable, json::object());
}

void ObjectStore::saveCopy() {
  Thread_.call([&] {
    CopiedKinds_ = Kinds_;
    CopiedRevision_ = Revision_;
  });
}

void ObjectStore::restoreCopy() {
  Thread_.call([&] {
    LostKinds_ = std::move(Kinds_);
    Kinds_ = CopiedKinds_;
    Revision_ = CopiedRevision_;
    CompactedRevision_ = Revision_;
    History_.clear();
    ++Era_;
    cutWatches();
  });
}

void ObjectStore::rewriteLost() {
  Thread_.call([&] {
    for (const char *Kind : {platform::kind::Config, platform::kind::Servers,
                             platform::kind::Evacuations})
      rewriteLostKind(Kind);
  });
}

void ObjectStore::rewriteLostKind(const std::string &Kind) {
  std::vector<std::string> Removed;
  for (const auto &[Name, Value] : Kinds_[Kind])
    if (!LostKinds_[Kind].contains(Name))
      Removed.push_back(Name);
  for (const std::string &Name : Removed)
    change(Kind, Name, nullptr);
  for (const auto &[Name, Value] : LostKinds_[Kind])
    change(Kind, Name, &Value.Body_);
}

void ObjectStore::setPageSize(size_t Objects) {
  Thread_.call([&] { PageSize_ = Objects; });
}

unsigned ObjectStore::getCalls() {
  return Thread_.call([&] { return Calls_; });
}

void ObjectStore::reply(const IngressExchangePtr &Exchange, unsigned Status,
                        const json &Body) const {
  ResponseMessage Response =
      makeResponse(Status, Body.dump(), "application/json");
  Response.set(platform::header::Era, std::to_string(Era_));
  Exchange->respond(Response);
}

json ObjectStore::toJson(const std::string &Name, const Object &Value) const {
  return {{"metadata",
           {{"name", Name},
            {"revision", Value.Revision_},
            {"created", Value.Created_},
            {"finalizers", json::array()},
            {"deletionPending", false}}},
          {"specification", Value.Body_},
          {"status", nullptr}};
}

void ObjectStore::change(const std::string &Kind, const std::string &Name,
                         const json *Body) {
  ObjectMap &Objects = Kinds_[Kind];
  auto Found = Objects.find(Name);
  if (!Body && Found == Objects.end())
    return;
  if (Body && Found != Objects.end() && Found->second.Body_ == *Body)
    return;
  ++Revision_;
  Object &Target = Objects[Name];
  Target.Revision_ = Revision_;
  if (Target.Created_ == 0)
    Target.Created_ = Revision_;
  if (Body)
    Target.Body_ = *Body;
  History_.push_back({Kind,
                      Revision_,
                      {{"object", toJson(Name, Target)}, {"removed", !Body}}});
  if (!Body)
    Objects.erase(Name);
  answerWatches();
}

void ObjectStore::handle(const IngressExchangePtr &Exchange) {
  ++Calls_;
  const RequestMessage &Message = Exchange->getMessage();
  bool IsRead = Message.method() == http::verb::get;
  switch (Mode_) {
  case StoreMode::Serve:
    break;
  case StoreMode::Refuse:
    reply(Exchange, Unavailable, json::object());
    return;
  case StoreMode::Throttle:
    reply(Exchange, TooMany, json::object());
    return;
  case StoreMode::Silent:
    Held_.push_back(Exchange);
    return;
  case StoreMode::LoseWrites:
    if (IsRead)
      break;
    Held_.push_back(Exchange);
    break;
  }
  std::string Target(Message.target().data(), Message.target().size());
  std::pair<std::string, std::string> Parts =
      absl::StrSplit(Target, absl::MaxSplits('?', 1));
  std::vector<std::string> Path =
      absl::StrSplit(Parts.first, '/', absl::SkipEmpty());
  constexpr size_t KindPart = 2; // Follows "api" and "objects".
  if (Path.size() <= KindPart) {
    reply(Exchange, NotFound, json::object());
    return;
  }
  std::string Name =
      Path.size() > KindPart + 1 ? decodePercent(Path[KindPart + 1]) : "";
  if (IsRead)
    read(Exchange, Path[KindPart], Name, parseQuery(Parts.second));
  else
    write(Exchange, Path[KindPart], Name);
}

void ObjectStore::read(const IngressExchangePtr &Exchange,
                       const std::string &Kind, const std::string &Name,
                       const std::map<std::string, std::string> &Query) {
  auto Get = [&Query](const char *Field) {
    auto Found = Query.find(Field);
    return Found == Query.end() ? std::string() : Found->second;
  };
  if (!Name.empty()) {
    auto Found = Kinds_[Kind].find(Name);
    if (Found == Kinds_[Kind].end())
      reply(Exchange, NotFound, json::object());
    else
      reply(Exchange, Ok, toJson(Name, Found->second));
    return;
  }
  if (!Query.count("watch")) {
    list(Exchange, Kind, Get("after"));
    return;
  }
  Watch Waiting{Exchange, Kind, toNumber(Get("watch")),
                getNow() + milliseconds(toNumber(Get("waitMs")))};
  // A watch from a compacted revision gets 410 only once its kind changes
  // again.
  if (!answerWatch(Waiting))
    Watches_.push_back(Waiting);
}

void ObjectStore::list(const IngressExchangePtr &Exchange,
                       const std::string &Kind, const std::string &After) {
  json Items = json::array();
  bool HasMore = false;
  const ObjectMap &Objects = Kinds_[Kind];
  for (auto It = Objects.upper_bound(After); It != Objects.end(); ++It) {
    HasMore = Items.size() >= PageSize_;
    if (HasMore)
      break;
    Items.push_back(toJson(It->first, It->second));
  }
  reply(Exchange, Ok,
        {{"items", Items}, {"hasMore", HasMore}, {"storeRevision", Revision_}});
}

void ObjectStore::write(const IngressExchangePtr &Exchange,
                        const std::string &Kind, const std::string &Name) {
  const RequestMessage &Message = Exchange->getMessage();
  json Body = json::parse(Message.body(), nullptr, false);
  bool IsDelete = Message.method() == http::verb::delete_;
  bool IsCreate = Message.method() == http::verb::post;
  if (!IsDelete && (!Body.is_object() || !Body.contains("metadata"))) {
    reply(Exchange, BadRequest, json::object());
    return;
  }
  std::string Target = IsCreate ? Body["metadata"].value("name", "") : Name;
  ObjectMap &Objects = Kinds_[Kind];
  auto Found = Objects.find(Target);
  if (!IsCreate && Found == Objects.end()) {
    reply(Exchange, NotFound, json::object());
    return;
  }
  bool IsStale = !IsDelete && !IsCreate &&
                 Body["metadata"].value("revision", uint64_t(0)) !=
                     Found->second.Revision_;
  if ((IsCreate && Found != Objects.end()) || IsStale) {
    reply(Exchange, Conflict, toJson(Target, Found->second));
    return;
  }
  json Next = IsDelete ? json() : Body["specification"];
  change(Kind, Target, IsDelete ? nullptr : &Next);
  if (Mode_ == StoreMode::LoseWrites)
    return;
  reply(Exchange, Ok,
        IsDelete ? json::object() : toJson(Target, Objects[Target]));
}

bool ObjectStore::answerWatch(const Watch &Waiting) {
  if (AreWatchEventsSuppressed_)
    return false;
  json Events = json::array();
  for (const Event &Each : History_)
    if (Each.Kind_ == Waiting.Kind_ && Each.Revision_ > Waiting.After_)
      Events.push_back(Each.Json_);
  if (Waiting.After_ > Revision_) {
    reply(Waiting.Exchange_, Gone, json::object());
    return true;
  }
  bool IsHistoryCompacted = Waiting.After_ < CompactedRevision_;
  if (!Events.empty() && IsHistoryCompacted) {
    reply(Waiting.Exchange_, Gone, json::object());
    return true;
  }
  if (Events.empty() && getNow() < Waiting.Until_)
    return false;
  reply(Waiting.Exchange_, Ok,
        {{"events", Events}, {"storeRevision", Revision_}});
  return true;
}

void ObjectStore::answerWatches() {
  Watches_.remove_if([this](const Watch &Each) { return answerWatch(Each); });
}

void ObjectStore::tick() {
  answerWatches();
  Timer_->expires_after(WatchCheckPeriod);
  Timer_->async_wait([this](boost::system::error_code Cancelled) {
    if (!Cancelled)
      tick();
  });
}

} // namespace cranberry::standin
