/// \file caller_api.cpp Handles look-ups and requests of callers.
#include "daemon/caller_api_base.h"

#include "core/result_func.h"
#include "daemon/decision_log_func.h"
#include "net/event_loop_base.h"
#include "process/placement_func.h"
#include "version/client_block_func.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

using nlohmann::json;

namespace cranberry {

namespace {

constexpr std::string_view CallPrefix = "/v1/call/";
constexpr int64_t MaxDeadlineMs = 600000; ///< Ten minutes.

/// Request headers that are not forwarded: hop-by-hop headers and those that
/// the daemon sets itself.
constexpr const char *DroppedHeaders[] = {"connection",    "content-length",
                                          "expect",        "host",
                                          "keep-alive",    "te",
                                          "trailer",       "transfer-encoding",
                                          "upgrade",       "idempotency-key",
                                          "x-deadline-ms", "x-request-id"};

HttpHeaders
filterRequestHeaders(const std::map<std::string, std::string> &All) {
  HttpHeaders Filtered;
  for (const auto &Header : All)
    if (std::find(std::begin(DroppedHeaders), std::end(DroppedHeaders),
                  Header.first) == std::end(DroppedHeaders))
      Filtered.push_back(Header);
  return Filtered;
}

HttpHeaders makeOutcomeHeaders(ResultCode Code) {
  return {{"X-Outcome", getName(getOutcome(Code))},
          {"X-Result", std::to_string(static_cast<unsigned>(Code))}};
}

HttpResponse makeCallResponse(const CallResult &Reply, const std::string &Id,
                              const std::string &Vm) {
  HttpResponse Response;
  if (Reply.Code_ != ResultCode::Ok) {
    Response = makeErrorResponse({Reply.Code_, "", ""});
  } else {
    Response.Status_ = Reply.Response_->Status_;
    Response.Headers_ = Reply.Response_->Headers_;
    Response.Body_ = Reply.Response_->Body_;
    HttpHeaders Outcome = makeOutcomeHeaders(ResultCode::Ok);
    Response.Headers_.insert(Response.Headers_.end(), Outcome.begin(),
                             Outcome.end());
    Response.Headers_.emplace_back("X-Served-By", Reply.ServedBy_);
  }
  Response.Headers_.emplace_back("X-Request-Id", Id);
  Response.Headers_.emplace_back("X-Entry-Vm", Vm);
  return Response;
}

/// Splits "/v1/call/<service>/<path>?<query>" into service and target path.
/// \return Whether a service is given.
bool splitTarget(const HttpRequest &Request, std::string &Service,
                 std::string &Path) {
  std::string_view Rest =
      std::string_view(Request.RawPath_).substr(CallPrefix.size());
  size_t Slash = Rest.find('/');
  Service = Rest.substr(0, Slash);
  Path = Slash == std::string_view::npos ? "/" : Rest.substr(Slash);
  if (!Request.RawQuery_.empty())
    Path += "?" + Request.RawQuery_;
  return !Service.empty();
}

} // namespace

HttpResponse makeErrorResponse(const Reason &Why) {
  json Body{
      {"code", static_cast<unsigned>(Why.Code_)},
      {"name", getName(Why.Code_)},
      {"outcome", getName(getOutcome(Why.Code_))},
      {"reason", Why.Message_.empty() ? getSummary(Why.Code_) : Why.Message_}};
  if (!Why.Field_.empty())
    Body["field"] = Why.Field_;
  HttpResponse Response;
  Response.Status_ = getHttpStatus(Why.Code_);
  Response.Headers_ = makeOutcomeHeaders(Why.Code_);
  Response.Headers_.emplace_back("Content-Type", "application/json");
  // Field names may come from a request, so invalid UTF-8 is replaced.
  Response.Body_ =
      Body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return Response;
}

CallerApi::CallerApi(const Settings &Config, const SnapshotHolder &Control,
                     Metrics &Counters, SubmitHandler Route)
    : Settings_(Config), Snapshots_(Control), Metrics_(Counters),
      Submit_(std::move(Route)) {}

std::string CallerApi::makeRequestId(const Snapshot &Now) {
  return Settings_.Vm_ + "-" + std::to_string(Now.Self_.Incarnation_) + "-" +
         std::to_string(NextId_++);
}

Duration CallerApi::getJitteredTtl() {
  // Shortened by up to 20 %, so that callers do not all refresh at once.
  constexpr uint64_t Steps = 16;
  return Settings_.LookupTtl_ -
         Settings_.LookupTtl_ * (NextId_++ % Steps) / (5 * Steps);
}

void CallerApi::handleLookup(const HttpRequest &Request,
                             const HttpRespond &Respond) {
  SnapshotPtr Now = Snapshots_.get();
  const Configuration &Config = *Now->Config_;
  const std::string &Service = Request.getQuery("service");
  auto Refuse = [&](const Reason &Why) {
    Metrics_.countLookup(Why.Code_);
    Respond(makeErrorResponse(Why));
  };
  if (Request.Method_ != "GET")
    return Refuse({ResultCode::MethodUnsupported, "", ""});
  if (!Now->IsReady_)
    return Refuse({ResultCode::NotReady, "", ""});
  if (!Config.findService(Service))
    return Refuse({ResultCode::ServiceUnknown, "service", ""});
  std::optional<uint32_t> Client = parseIpv4(Request.getQuery("client"));
  if (!Client)
    return Refuse({ResultCode::ClientAddressInvalid, "client", ""});
  ZoneIndex Zone = Config.ClientBlocks_.findZone(*Client);
  std::string Home =
      Zone.isValid() ? Config.Zones_[Zone.get()].Name_ : Settings_.Zone_;
  const std::vector<LookupEntry> &Entries = Now->getEntryVms(Home);
  if (Entries.empty())
    return Refuse({ResultCode::NoEntryVm, "", ""});
  json List = json::array();
  for (const LookupEntry &Entry : Entries) {
    const Member &M = *Entry.Member_;
    List.push_back({{"vm", M.Vm_},
                    {"address", M.HttpAddress_},
                    {"region", M.Region_},
                    {"zone", M.Zone_},
                    {"weight", Entry.Weight_},
                    {"incarnation", M.Incarnation_},
                    {"keyPrefix", M.Vm_ + "/" + std::to_string(M.Incarnation_) +
                                      "/" + std::to_string(M.KeyEpoch_)}});
  }
  json Body{{"service", Service},
            {"version", Config.Revision_},
            {"zone", Home},
            {"ttlMs", toMilliseconds(getJitteredTtl())},
            {"entryVms", List}};
  logDecision("lookup", Request.getQuery("client"), Service,
              Entries.front().Member_->Vm_,
              Zone.isValid() ? "client block of zone " + Home
                             : "no client block; own zone",
              Config.Revision_);
  Metrics_.countLookup(ResultCode::Ok);
  Respond({200, {{"Content-Type", "application/json"}}, Body.dump() + "\n"});
}

void CallerApi::handleCall(HttpRequest Request, HttpRespond Respond) {
  SnapshotPtr Now = Snapshots_.get();
  CallSpec Call;
  Call.RequestId_ = makeRequestId(*Now);
  Call.Arrived_ = EventLoop::now();
  if (!Now->IsReady_)
    return Respond(makeErrorResponse({ResultCode::NotReady, "", ""}));
  if (Request.IsTooLarge_)
    return Respond(
        makeErrorResponse({ResultCode::RequestTooLarge, "body", ""}));
  if (!splitTarget(Request, Call.Service_, Call.Path_))
    return Respond(makeErrorResponse({ResultCode::ServiceUnknown, "", ""}));
  if (const std::string &Text = Request.getHeader("x-deadline-ms");
      !Text.empty()) {
    int64_t Value = 0;
    if (!absl::SimpleAtoi(Text, &Value) || Value <= 0 || Value > MaxDeadlineMs)
      return Respond(makeErrorResponse(
          {ResultCode::DeadlineInvalid, "X-Deadline-Ms", ""}));
    Call.Timeout_ = milliseconds(Value);
  }
  Call.Method_ = Request.Method_;
  Call.Key_ = Request.getHeader("idempotency-key");
  Call.Headers_ = filterRequestHeaders(Request.Headers_);
  Call.Body_ = std::move(Request.Body_);
  std::string Id = Call.RequestId_;
  Submit_(std::move(Call),
          [Id, Vm = Settings_.Vm_,
           Respond = std::move(Respond)](const CallResult &Reply) {
            Respond(makeCallResponse(Reply, Id, Vm));
          });
}

} // namespace cranberry
