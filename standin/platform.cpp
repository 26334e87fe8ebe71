/// \file platform.cpp Stand-in for the platform's object API.
#include "standin/platform_base.h"

#include "standin/run_on_loop_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

using nlohmann::json;

namespace cranberry::standin {

namespace {

constexpr size_t MaxValueBytes = 1U << 20;
constexpr Duration WatchCheckPeriod = milliseconds(10);

std::string makeEtag(uint64_t Revision) {
  return "\"" + std::to_string(Revision) + "\"";
}

HttpResponse makeStatus(int Status, uint64_t Revision = 0) {
  HttpResponse Response;
  Response.Status_ = Status;
  if (Revision)
    Response.Headers_.emplace_back("ETag", makeEtag(Revision));
  return Response;
}

std::string getOperation(const HttpRequest &Request) {
  if (Request.Path_ == "/v1/changes")
    return "watch";
  if (Request.Path_ == "/v1/vms")
    return "vms";
  return Request.Method_ == "GET" ? "read" : "write";
}

} // namespace

Platform::Platform(const std::string &Address) {
  Thread_ = std::thread([this] { Loop_.run(); });
  Reason Why;
  HttpServerLimits Limits;
  Server_ = HttpServer::open(
      Address, Limits,
      [this](HttpRequest Request, HttpRespond Respond) {
        Loop_.post([this, Request = std::move(Request),
                    Respond = std::move(Respond)]() mutable {
          handle(Request, std::move(Respond));
        });
      },
      Why);
  if (!Server_)
    throw std::runtime_error("platform: can't listen on " + Address);
  Loop_.post([this] { answerWatches(); });
}

Platform::~Platform() {
  runOnLoop(Loop_, [this] {
    for (const HttpRespond &Respond : Held_)
      Respond(makeStatus(503));
    for (const Watch &Open : Watches_)
      Open.Respond_(makeStatus(503));
    Held_.clear();
    Watches_.clear();
  });
  Server_.reset();
  Loop_.stop();
  Thread_.join();
}

void Platform::setFaults(const PlatformFaults &Faults) {
  runOnLoop(Loop_, [this, Faults] { Faults_ = Faults; });
}

void Platform::setVms(const std::string &Json) {
  runOnLoop(Loop_, [this, Json] { Vms_ = Json; });
}

std::map<std::string, uint64_t> Platform::getCallCounts() {
  return runOnLoop(Loop_, [this] { return Calls_; });
}

uint64_t Platform::getRevision() {
  return runOnLoop(Loop_, [this] { return Revision_; });
}

void Platform::answer(const HttpRespond &Respond, HttpResponse Response) {
  if (Faults_.Delay_ == Duration::zero())
    return Respond(std::move(Response));
  Loop_.addTimer(EventLoop::now() + Faults_.Delay_,
                 [Respond, Response] { Respond(Response); });
}

void Platform::handle(const HttpRequest &Request, HttpRespond Respond) {
  if (Request.Path_ == "/control")
    return Respond(handleControl(Request));
  ++Calls_[getOperation(Request)];
  if (Faults_.Down_) {
    Held_.push_back(std::move(Respond));
    return;
  }
  if (Request.Path_ == "/v1/changes")
    return handleWatch(Request, std::move(Respond));
  if (Request.Path_ == "/v1/vms")
    return answer(Respond, {200, {{"Content-Type", "application/json"}}, Vms_});
  if (!Request.Path_.starts_with("/v1/objects/"))
    return Respond(makeStatus(404));
  bool IsWrite = Request.Method_ != "GET";
  if (IsWrite && Faults_.DropWrites_ > 0) {
    --Faults_.DropWrites_;
    Held_.push_back(std::move(Respond));
    return;
  }
  HttpResponse Response = handleObject(Request);
  if (IsWrite && Faults_.LoseWrites_ > 0) {
    --Faults_.LoseWrites_;
    Held_.push_back(std::move(Respond));
    return;
  }
  answer(Respond, std::move(Response));
}

HttpResponse Platform::handleObject(const HttpRequest &Request) {
  std::string Key = Request.Path_.substr(std::string("/v1/objects/").size());
  if (Request.Method_ != "GET")
    return write(Request, Key);
  auto Found = Items_.find(Key);
  if (Found == Items_.end() || Found->second.Deleted_)
    return makeStatus(404);
  HttpResponse Response = makeStatus(200, Found->second.Revision_);
  Response.Body_ = Found->second.Body_;
  return Response;
}

HttpResponse Platform::write(const HttpRequest &Request,
                             const std::string &Key) {
  if (Request.Body_.size() > MaxValueBytes)
    return makeStatus(413);
  auto Found = Items_.find(Key);
  bool Exists = Found != Items_.end() && !Found->second.Deleted_;
  uint64_t Current = Exists ? Found->second.Revision_ : 0;
  if (Request.getHeader("if-none-match") == "*" && Exists)
    return makeStatus(412, Current);
  const std::string &Match = Request.getHeader("if-match");
  if (!Match.empty() && (!Exists || Match != makeEtag(Current)))
    return makeStatus(412, Current);
  if (Request.Method_ == "PUT" &&
      json::parse(Request.Body_, nullptr, false).is_discarded())
    return makeStatus(400);
  bool IsStatus = Key.starts_with("status/");
  Items_[Key] = {++Revision_, Request.Method_ == "DELETE", Request.Body_,
                 EventLoop::now()};
  if (!IsStatus)
    answerWatches();
  return makeStatus(200, Revision_);
}

uint64_t Platform::getVisibleRevision() {
  uint64_t Visible = Revision_;
  Time Cut = EventLoop::now() - Faults_.ReadLag_;
  if (Faults_.ReadLag_ > Duration::zero())
    for (const auto &[Key, Known] : Items_)
      if (Known.Written_ > Cut)
        Visible = std::min(Visible, Known.Revision_ - 1);
  return Visible;
}

HttpResponse Platform::makeChanges(uint64_t Since) {
  uint64_t Visible = getVisibleRevision();
  json Objects = json::array();
  for (const auto &[Key, Known] : Items_) {
    if (Known.Revision_ <= Since || Known.Revision_ > Visible ||
        Key.starts_with("status/"))
      continue;
    size_t Slash = Key.find('/');
    json Change{{"kind", Key.substr(0, Slash)},
                {"name", Key.substr(Slash + 1)},
                {"revision", Known.Revision_},
                {"deleted", Known.Deleted_}};
    if (!Known.Deleted_)
      Change["body"] = json::parse(Known.Body_);
    Objects.push_back(std::move(Change));
  }
  json Body{{"revision", Visible}, {"objects", Objects}};
  return {200, {{"Content-Type", "application/json"}}, Body.dump()};
}

void Platform::handleWatch(const HttpRequest &Request, HttpRespond Respond) {
  uint64_t Since = 0;
  int64_t WaitMs = 0;
  if (!absl::SimpleAtoi(Request.getQuery("since"), &Since) ||
      !absl::SimpleAtoi(Request.getQuery("waitMs"), &WaitMs))
    return Respond(makeStatus(400));
  Watches_.push_back(
      {Since, EventLoop::now() + milliseconds(WaitMs), std::move(Respond)});
}

void Platform::answerWatches() {
  Time Now = EventLoop::now();
  std::vector<Watch> Open;
  Open.swap(Watches_);
  for (Watch &Each : Open) {
    bool HasChanges = false;
    uint64_t Visible = getVisibleRevision();
    for (const auto &[Key, Known] : Items_)
      HasChanges = HasChanges ||
                   (Known.Revision_ > Each.Since_ &&
                    Known.Revision_ <= Visible && !Key.starts_with("status/"));
    if (!Faults_.Down_ && (HasChanges || Now >= Each.Until_))
      answer(Each.Respond_, makeChanges(Each.Since_));
    else if (Now >= Each.Until_)
      Held_.push_back(std::move(Each.Respond_));
    else
      Watches_.push_back(std::move(Each));
  }
  Loop_.addTimer(Now + WatchCheckPeriod, [this] {
    if (!Watches_.empty())
      answerWatches();
    else
      Loop_.addTimer(EventLoop::now() + WatchCheckPeriod,
                     [this] { answerWatches(); });
  });
}

HttpResponse Platform::handleControl(const HttpRequest &Request) {
  if (Request.Method_ == "GET")
    return {200, {}, json(Calls_).dump()};
  json Body = json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return makeStatus(400);
  Faults_.Down_ = Body.value("down", Faults_.Down_);
  Faults_.LoseWrites_ = Body.value("loseWrites", Faults_.LoseWrites_);
  Faults_.Delay_ =
      milliseconds(Body.value("delayMs", toMilliseconds(Faults_.Delay_)));
  if (Body.contains("vms"))
    Vms_ = json{{"vms", Body["vms"]}}.dump();
  return makeStatus(200);
}

} // namespace cranberry::standin
