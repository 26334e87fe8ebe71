/// \file caller.cpp Load generator that checks responses.
#include "standin/caller_base.h"

#include "standin/run_on_loop_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using nlohmann::json;

namespace cranberry::standin {

namespace {

constexpr unsigned MaxAttempts = 4;
constexpr unsigned MaxLookups = 8;
constexpr Duration LookupTimeout = seconds(1);
constexpr Duration RetryDelay = milliseconds(20);
/// How long after the deadline a late response is still awaited.
constexpr Duration ResponseMargin = milliseconds(500);

} // namespace

double LoadReport::getPercentile(double Share) const {
  if (LatenciesMs_.empty())
    return 0;
  std::vector<double> Sorted = LatenciesMs_;
  std::sort(Sorted.begin(), Sorted.end());
  auto Index = static_cast<size_t>(Share * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

Caller::Caller(std::vector<std::string> Bootstrap, uint64_t Seed)
    : Bootstrap_(std::move(Bootstrap)), Random_(Seed) {
  Thread_ = std::thread([this] { Loop_.run(); });
}

Caller::~Caller() {
  stop();
  Loop_.stop();
  Thread_.join();
}

void Caller::stop() {
  runOnLoop(Loop_, [this] { Stopping_ = true; });
  while (runOnLoop(Loop_, [this] { return InFlight_; }) > 0)
    std::this_thread::yield();
}

std::map<std::string, LoadReport> Caller::getReports() {
  return runOnLoop(Loop_, [this] { return Reports_; });
}

void Caller::addLoad(const LoadProfile &Profile) {
  Loop_.post([this, Profile] { arrive(Profile); });
}

void Caller::arrive(LoadProfile Profile) {
  if (Stopping_)
    return;
  std::shared_ptr<Request> Next = makeRequest(Profile);
  ++Reports_[Profile.Service_].Sent_;
  lookup(Next, 0);
  constexpr double MicrosPerSecond = 1e6;
  std::exponential_distribution<double> Gap(Profile.PerSecond_);
  auto Pause = static_cast<int64_t>(Gap(Random_) * MicrosPerSecond);
  Loop_.addTimer(EventLoop::now() + Duration(Pause),
                 [this, Profile = std::move(Profile)] { arrive(Profile); });
}

std::string Caller::makeNonce() {
  constexpr size_t Length = 16;
  constexpr char Letters[] = "abcdefghijklmnopqrstuvwxyz0123456789";
  std::uniform_int_distribution<size_t> Pick(0, sizeof Letters - 2);
  std::string Nonce;
  for (size_t I = 0; I < Length; ++I)
    Nonce += Letters[Pick(Random_)];
  return Nonce;
}

std::shared_ptr<Caller::Request>
Caller::makeRequest(const LoadProfile &Profile) {
  auto Next = std::make_shared<Request>();
  std::uniform_real_distribution<double> Share(0, 1);
  bool IsKeyed = Share(Random_) < Profile.KeyedShare_;
  bool IsLong = Share(Random_) < Profile.LongShare_;
  Next->Profile_ = Profile;
  std::uniform_int_distribution<size_t> Pick(0, Profile.Clients_.size() - 1);
  Next->Client_ = Profile.Clients_[Pick(Random_)];
  Next->Echo_ = makeNonce();
  Next->Method_ = IsKeyed ? "POST" : "GET";
  Next->Path_ = IsKeyed ? "/book" : (IsLong ? "/render" : "/item");
  if (!IsKeyed)
    Next->Path_ += "?echo=" + Next->Echo_;
  Next->Started_ = EventLoop::now();
  ++InFlight_;
  return Next;
}

void Caller::lookup(const std::shared_ptr<Request> &Request, unsigned Attempt) {
  std::string CacheKey = Request->Profile_.Service_ + "|" + Request->Client_;
  CachedLookup &Known = Cache_[CacheKey];
  if (EventLoop::now() < Known.Expiry_) {
    Request->Vms_ = Known.Vms_;
    Request->Next_ = pickVm(Request->Vms_);
    return sendRequest(Request);
  }
  if (Attempt >= MaxLookups)
    return finishRequest(Request, "unreachable");
  std::uniform_int_distribution<size_t> Pick(0, Bootstrap_.size() - 1);
  HttpCall Call;
  Call.Url_ = "http://" + Bootstrap_[Pick(Random_)] +
              "/v1/lookup?service=" + Request->Profile_.Service_ +
              "&client=" + Request->Client_;
  Call.Timeout_ = LookupTimeout;
  Loop_.startCall(std::move(Call), [this, Request, Attempt,
                                    CacheKey](const HttpResult &Result) {
    json Body = json::parse(Result.Body_, nullptr, false);
    if (Result.Status_ != 200 || !Body.is_object()) {
      Loop_.addTimer(EventLoop::now() + RetryDelay, [this, Request, Attempt] {
        lookup(Request, Attempt + 1);
      });
      return;
    }
    CachedLookup &Known = Cache_[CacheKey];
    Known.Vms_.clear();
    for (const json &Vm : Body["entryVms"])
      Known.Vms_.push_back({Vm["address"], Vm["keyPrefix"], Vm["weight"]});
    Known.Expiry_ =
        EventLoop::now() + milliseconds(Body["ttlMs"].get<int64_t>());
    Request->Vms_ = Known.Vms_;
    Request->Next_ = pickVm(Request->Vms_);
    sendRequest(Request);
  });
}

size_t Caller::pickVm(const std::vector<EntryVm> &Vms) {
  std::vector<unsigned> Weights;
  Weights.reserve(Vms.size());
  for (const EntryVm &Vm : Vms)
    Weights.push_back(Vm.Weight_);
  return std::discrete_distribution<size_t>(Weights.begin(),
                                            Weights.end())(Random_);
}

void Caller::sendRequest(const std::shared_ptr<Request> &Request) {
  const EntryVm &Vm = Request->Vms_[Request->Next_ % Request->Vms_.size()];
  ++Request->Attempts_;
  bool IsKeyed = Request->Method_ != "GET";
  if (IsKeyed && Request->Key_.empty())
    Request->Key_ = Vm.KeyPrefix_ + "/" + Request->Echo_;
  HttpCall Call;
  Call.Method_ = Request->Method_;
  Call.Url_ = "http://" + Vm.Address_ + "/v1/call/" +
              Request->Profile_.Service_ + Request->Path_;
  Call.Headers_.emplace_back(
      "X-Deadline-Ms",
      std::to_string(toMilliseconds(Request->Profile_.Deadline_)));
  if (IsKeyed) {
    Call.Headers_.emplace_back("Idempotency-Key", Request->Key_);
    Call.Body_ = Request->Echo_;
  }
  Call.IsNewConnectionRequired_ = IsKeyed;
  Call.Timeout_ = Request->Profile_.Deadline_ + ResponseMargin;
  Loop_.startCall(std::move(Call), [this, Request](const HttpResult &Result) {
    handleResult(Request, Result);
  });
}

void Caller::handleResult(const std::shared_ptr<Request> &Request,
                          const HttpResult &Result) {
  LoadReport &Report = Reports_[Request->Profile_.Service_];
  std::string Outcome = Result.getHeader("x-outcome");
  if (Result.Code_ != ResultCode::Ok)
    Outcome =
        Result.Code_ == ResultCode::ServerConnectFailed ? "not-run" : "unknown";
  if (Outcome == "answered") {
    json Body = json::parse(Result.Body_, nullptr, false);
    bool IsOwn = Body.is_object() && Body.value("echo", "") == Request->Echo_;
    if (!IsOwn)
      ++Report.Wrong_;
    return finishRequest(Request, IsOwn ? "answered" : "wrong");
  }
  ++Report.Errors_[Result.Code_ == ResultCode::Ok ? Result.getHeader("x-result")
                                                  : Result.ErrorText_];
  bool IsKeyed = Request->Method_ != "GET";
  bool InTime =
      EventLoop::now() < Request->Started_ + Request->Profile_.Deadline_;
  if (Outcome == "unknown")
    Request->MayHaveRun_ = true;
  if (Request->Attempts_ >= MaxAttempts || !InTime)
    return finishRequest(Request, Request->MayHaveRun_ ? "unknown" : "not-run");
  // A new key moves the request to another home entry VM. That is safe only if
  // no attempt can have run.
  if (IsKeyed && !Request->MayHaveRun_)
    Request->Key_.clear();
  ++Request->Next_;
  ++Report.Retried_;
  Loop_.addTimer(EventLoop::now() + RetryDelay,
                 [this, Request] { sendRequest(Request); });
}

void Caller::finishRequest(const std::shared_ptr<Request> &Request,
                           const std::string &Outcome) {
  LoadReport &Report = Reports_[Request->Profile_.Service_];
  constexpr double MicrosPerMs = 1e3;
  if (Outcome == "answered") {
    ++Report.Answered_;
    Report.LatenciesMs_.push_back(
        static_cast<double>((EventLoop::now() - Request->Started_).count()) /
        MicrosPerMs);
  } else if (Outcome == "unknown") {
    ++Report.Unknown_;
  } else {
    ++Report.NotRun_;
  }
  --InFlight_;
  if (Request->Done_)
    Request->Done_(Outcome);
}

std::string Caller::callOnce(const std::string &Service,
                             const std::string &Method,
                             const std::string &Path) {
  std::promise<std::string> Ended;
  Loop_.post([&] {
    LoadProfile Profile;
    Profile.Service_ = Service;
    std::shared_ptr<Request> Next = makeRequest(Profile);
    Next->Method_ = Method;
    Next->Path_ = Path + (Method == "GET" ? "?echo=" + Next->Echo_ : "");
    Next->Done_ = [&](const std::string &Outcome) { Ended.set_value(Outcome); };
    ++Reports_[Service].Sent_;
    lookup(Next, 0);
  });
  return Ended.get_future().get();
}

} // namespace cranberry::standin
