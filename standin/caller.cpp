/// \file caller.cpp Stand-in for callers: load, checks and percentiles.
#include "standin/caller_base.h"

#include "standin/ask_loop_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using nlohmann::json;

namespace cranberry::standin {

namespace {

constexpr unsigned MaxTries = 4;
constexpr unsigned MaxLookups = 8;
constexpr Duration LookupTimeout = seconds(1);
constexpr Duration RetryPause = milliseconds(20);
constexpr Duration AnswerMargin = milliseconds(500);

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
  askLoop(Loop_, [this] { Stopping_ = true; });
  while (askLoop(Loop_, [this] { return Open_; }) > 0)
    std::this_thread::yield();
}

std::map<std::string, LoadReport> Caller::getReports() {
  return askLoop(Loop_, [this] { return Reports_; });
}

void Caller::addLoad(const LoadProfile &Profile) {
  Loop_.post([this, Profile] { arrive(Profile); });
}

void Caller::arrive(LoadProfile Profile) {
  if (Stopping_)
    return;
  std::shared_ptr<Shot> Next = makeShot(Profile);
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

std::shared_ptr<Caller::Shot> Caller::makeShot(const LoadProfile &Profile) {
  auto Next = std::make_shared<Shot>();
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
  ++Open_;
  return Next;
}

void Caller::lookup(const std::shared_ptr<Shot> &Shot, unsigned Try) {
  std::string CacheKey = Shot->Profile_.Service_ + "|" + Shot->Client_;
  Cached &Known = Cache_[CacheKey];
  if (EventLoop::now() < Known.Expiry_) {
    Shot->Vms_ = Known.Vms_;
    Shot->Next_ = pickVm(Shot->Vms_);
    return fire(Shot);
  }
  if (Try >= MaxLookups)
    return end(Shot, "unreachable");
  std::uniform_int_distribution<size_t> Pick(0, Bootstrap_.size() - 1);
  HttpCall Call;
  Call.Url_ = "http://" + Bootstrap_[Pick(Random_)] +
              "/v1/lookup?service=" + Shot->Profile_.Service_ +
              "&client=" + Shot->Client_;
  Call.Timeout_ = LookupTimeout;
  Loop_.startCall(
      std::move(Call), [this, Shot, Try, CacheKey](const HttpResult &Result) {
        json Body = json::parse(Result.Body_, nullptr, false);
        if (Result.Status_ != 200 || !Body.is_object()) {
          Loop_.addTimer(EventLoop::now() + RetryPause,
                         [this, Shot, Try] { lookup(Shot, Try + 1); });
          return;
        }
        Cached &Known = Cache_[CacheKey];
        Known.Vms_.clear();
        for (const json &Vm : Body["entryVms"])
          Known.Vms_.push_back({Vm["address"], Vm["keyPrefix"], Vm["weight"]});
        Known.Expiry_ =
            EventLoop::now() + milliseconds(Body["ttlMs"].get<int64_t>());
        Shot->Vms_ = Known.Vms_;
        Shot->Next_ = pickVm(Shot->Vms_);
        fire(Shot);
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

void Caller::fire(const std::shared_ptr<Shot> &Shot) {
  const EntryVm &Vm = Shot->Vms_[Shot->Next_ % Shot->Vms_.size()];
  ++Shot->Tries_;
  bool IsKeyed = Shot->Method_ != "GET";
  if (IsKeyed && Shot->Key_.empty())
    Shot->Key_ = Vm.KeyPrefix_ + "/" + Shot->Echo_;
  HttpCall Call;
  Call.Method_ = Shot->Method_;
  Call.Url_ = "http://" + Vm.Address_ + "/v1/call/" + Shot->Profile_.Service_ +
              Shot->Path_;
  Call.Headers_.emplace_back("X-Deadline-Ms", std::to_string(toMilliseconds(
                                                  Shot->Profile_.Deadline_)));
  if (IsKeyed) {
    Call.Headers_.emplace_back("Idempotency-Key", Shot->Key_);
    Call.Body_ = Shot->Echo_;
  }
  Call.IsNewConnectionRequired_ = IsKeyed;
  Call.Timeout_ = Shot->Profile_.Deadline_ + AnswerMargin;
  Loop_.startCall(std::move(Call), [this, Shot](const HttpResult &Result) {
    endTry(Shot, Result);
  });
}

void Caller::endTry(const std::shared_ptr<Shot> &Shot,
                    const HttpResult &Result) {
  LoadReport &Report = Reports_[Shot->Profile_.Service_];
  std::string Outcome = Result.getHeader("x-outcome");
  if (Result.Code_ != ResultCode::Ok)
    Outcome =
        Result.Code_ == ResultCode::ServerConnectFailed ? "not-run" : "unknown";
  if (Outcome == "answered") {
    json Body = json::parse(Result.Body_, nullptr, false);
    bool IsOwn = Body.is_object() && Body.value("echo", "") == Shot->Echo_;
    if (!IsOwn)
      ++Report.Wrong_;
    return end(Shot, IsOwn ? "answered" : "wrong");
  }
  ++Report.Errors_[Result.Code_ == ResultCode::Ok ? Result.getHeader("x-result")
                                                  : Result.ErrorText_];
  bool IsKeyed = Shot->Method_ != "GET";
  bool InTime = EventLoop::now() < Shot->Started_ + Shot->Profile_.Deadline_;
  if (Outcome == "unknown")
    Shot->MayHaveRun_ = true;
  if (Shot->Tries_ >= MaxTries || !InTime)
    return end(Shot, Shot->MayHaveRun_ ? "unknown" : "not-run");
  // A key's home is left only when no try can have run.
  if (IsKeyed && !Shot->MayHaveRun_)
    Shot->Key_.clear();
  ++Shot->Next_;
  ++Report.Retried_;
  Loop_.addTimer(EventLoop::now() + RetryPause, [this, Shot] { fire(Shot); });
}

void Caller::end(const std::shared_ptr<Shot> &Shot,
                 const std::string &Outcome) {
  LoadReport &Report = Reports_[Shot->Profile_.Service_];
  constexpr double MicrosPerMs = 1e3;
  if (Outcome == "answered") {
    ++Report.Answered_;
    Report.LatenciesMs_.push_back(
        static_cast<double>((EventLoop::now() - Shot->Started_).count()) /
        MicrosPerMs);
  } else if (Outcome == "unknown") {
    ++Report.Unknown_;
  } else {
    ++Report.NotRun_;
  }
  --Open_;
  if (Shot->Done_)
    Shot->Done_(Outcome);
}

std::string Caller::callOnce(const std::string &Service,
                             const std::string &Method,
                             const std::string &Path) {
  std::promise<std::string> Ended;
  Loop_.post([&] {
    LoadProfile Profile;
    Profile.Service_ = Service;
    std::shared_ptr<Shot> Next = makeShot(Profile);
    Next->Method_ = Method;
    Next->Path_ = Path + (Method == "GET" ? "?echo=" + Next->Echo_ : "");
    Next->Done_ = [&](const std::string &Outcome) { Ended.set_value(Outcome); };
    ++Reports_[Service].Sent_;
    lookup(Next, 0);
  });
  return Ended.get_future().get();
}

} // namespace cranberry::standin
