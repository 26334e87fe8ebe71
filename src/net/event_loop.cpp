/// \file event_loop.cpp A thread's loop: messages, timers and HTTP calls.
#include "net/event_loop_base.h"

#include <absl/strings/ascii.h>
#include <curl/curl.h>

#include <algorithm>

namespace cranberry {

namespace {

constexpr int MaxPollMs = 200;
constexpr long MaxIdleConnections = 1024;
constexpr long MaxIdleSeconds = 4; ///< An idle connection's trust.
constexpr long ConnectTimeoutMs = 1000;
constexpr long UnackedTimeoutMs = 3000; ///< TCP_USER_TIMEOUT.

struct GlobalCurl {
  GlobalCurl() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

curl_socket_t openSocket(void * /*Context*/, curlsocktype /*Purpose*/,
                         curl_sockaddr *Address) {
  return socket(Address->family, Address->socktype | SOCK_CLOEXEC,
                Address->protocol);
}

} // namespace

/// A call that is out.
struct EventLoop::Transfer {
  CURL *Easy_ = nullptr;             ///< Handle.
  curl_slist *HeaderList_ = nullptr; ///< Headers as the library wants them.
  HttpCall Call_;                    ///< Request; owns what Easy_ reads.
  CallEnded Ended_;                  ///< Whom to tell.
  HttpResult Result_;                ///< Filled as the answer comes in.

  ~Transfer() {
    curl_easy_cleanup(Easy_);
    curl_slist_free_all(HeaderList_);
  }

  static size_t writeBody(char *Data, size_t Size, size_t Count, void *Self) {
    static_cast<Transfer *>(Self)->Result_.Body_.append(Data, Size * Count);
    return Size * Count;
  }

  static size_t writeHeader(char *Data, size_t Size, size_t Count, void *Self) {
    std::string_view Line(Data, Size * Count);
    auto &Headers = static_cast<Transfer *>(Self)->Result_.Headers_;
    size_t Colon = Line.find(':');
    if (Line.starts_with("HTTP/"))
      Headers.clear();
    else if (Colon != std::string_view::npos) {
      std::string Name(Line.substr(0, Colon));
      std::string Value(Line.substr(Colon + 1));
      absl::AsciiStrToLower(&Name);
      absl::StripAsciiWhitespace(&Value);
      Headers.emplace_back(std::move(Name), std::move(Value));
    }
    return Size * Count;
  }

  void prepare();
  void finish(CURLcode Code);
};

void EventLoop::Transfer::prepare() {
  Easy_ = curl_easy_init();
  for (const auto &[Name, Value] : Call_.Headers_) {
    // A header without a value needs the semicolon form of the library.
    std::string Line = Name;
    Line += Value.empty() ? ";" : ": ";
    Line += Value;
    HeaderList_ = curl_slist_append(HeaderList_, Line.c_str());
  }
  HeaderList_ = curl_slist_append(HeaderList_, "Expect:");
  curl_easy_setopt(Easy_, CURLOPT_URL, Call_.Url_.c_str());
  curl_easy_setopt(Easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Easy_, CURLOPT_HTTPHEADER, HeaderList_);
  curl_easy_setopt(Easy_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  bool HasBody = !Call_.Body_.empty() || Call_.Method_ == "POST" ||
                 Call_.Method_ == "PUT" || Call_.Method_ == "PATCH";
  if (HasBody) {
    curl_easy_setopt(Easy_, CURLOPT_POSTFIELDS, Call_.Body_.data());
    curl_easy_setopt(Easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Call_.Body_.size()));
  }
  if (Call_.Method_ == "HEAD")
    curl_easy_setopt(Easy_, CURLOPT_NOBODY, 1L);
  curl_easy_setopt(Easy_, CURLOPT_CUSTOMREQUEST, Call_.Method_.c_str());
  curl_easy_setopt(Easy_, CURLOPT_WRITEFUNCTION, writeBody);
  curl_easy_setopt(Easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Easy_, CURLOPT_HEADERFUNCTION, writeHeader);
  curl_easy_setopt(Easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Easy_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(Easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy_, CURLOPT_OPENSOCKETFUNCTION, openSocket);
  curl_easy_setopt(Easy_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Easy_, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(Easy_, CURLOPT_TCP_KEEPIDLE, 1L);
  curl_easy_setopt(Easy_, CURLOPT_TCP_KEEPINTVL, 1L);
  curl_easy_setopt(Easy_, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
  curl_easy_setopt(Easy_, CURLOPT_FRESH_CONNECT,
                   Call_.FreshConnection_ ? 1L : 0L);
  long TimeoutMs = std::max<long>(1, toMilliseconds(Call_.Timeout_));
  curl_easy_setopt(Easy_, CURLOPT_TIMEOUT_MS, TimeoutMs);
  curl_easy_setopt(Easy_, CURLOPT_CONNECTTIMEOUT_MS,
                   std::min(TimeoutMs, ConnectTimeoutMs));
}

void EventLoop::Transfer::finish(CURLcode Code) {
  if (Code == CURLE_OK) {
    long Status = 0;
    curl_easy_getinfo(Easy_, CURLINFO_RESPONSE_CODE, &Status);
    Result_.Status_ = static_cast<int>(Status);
    return;
  }
  Result_.Text_ = curl_easy_strerror(Code);
  curl_off_t SendStarted = 0;
  curl_easy_getinfo(Easy_, CURLINFO_PRETRANSFER_TIME_T, &SendStarted);
  if (SendStarted == 0)
    Result_.Code_ = ResultCode::ServerConnectFailed;
  else if (Code == CURLE_PARTIAL_FILE)
    Result_.Code_ = ResultCode::ServerAnswerTruncated;
  else
    Result_.Code_ = ResultCode::ServerAnswerLost;
}

EventLoop::EventLoop() {
  static GlobalCurl Global;
  Multi_ = curl_multi_init();
  curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
  LastTurn_ = now().time_since_epoch().count();
}

EventLoop::~EventLoop() {
  for (auto &[Index, Out] : Transfers_)
    curl_multi_remove_handle(Multi_, Out->Easy_);
  Transfers_.clear();
  curl_multi_cleanup(Multi_);
}

Time EventLoop::now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

void EventLoop::post(Task Run) {
  {
    std::lock_guard Lock(Mutex_);
    Tasks_.push_back(std::move(Run));
  }
  curl_multi_wakeup(Multi_);
}

void EventLoop::addTimer(Time At, Task Run) {
  Timers_.emplace(At, std::move(Run));
}

CallIndex EventLoop::startCall(HttpCall Call, CallEnded Ended) {
  CallIndex Index(NextCall_++);
  auto Out = std::make_unique<Transfer>();
  Out->Call_ = std::move(Call);
  Out->Ended_ = std::move(Ended);
  Out->prepare();
  curl_multi_add_handle(Multi_, Out->Easy_);
  Transfers_.emplace(Index, std::move(Out));
  return Index;
}

void EventLoop::cancelCall(CallIndex Call) {
  auto Found = Transfers_.find(Call);
  if (Found == Transfers_.end())
    return;
  curl_multi_remove_handle(Multi_, Found->second->Easy_);
  Transfers_.erase(Found);
}

void EventLoop::runTasks() {
  std::vector<Task> Ready;
  {
    std::lock_guard Lock(Mutex_);
    Ready.swap(Tasks_);
  }
  for (Task &Run : Ready)
    Run();
}

void EventLoop::runTimers() {
  Time Now = now();
  while (!Timers_.empty() && Timers_.begin()->first <= Now) {
    Task Run = std::move(Timers_.begin()->second);
    Timers_.erase(Timers_.begin());
    Run();
  }
}

void EventLoop::collectEndedCalls() {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi_, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    CURLcode Code = Message->data.result;
    void *Private = nullptr;
    curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Private);
    auto *Ended = static_cast<Transfer *>(Private);
    Ended->finish(Code);
    auto Found = std::find_if(
        Transfers_.begin(), Transfers_.end(),
        [=](const auto &Item) { return Item.second.get() == Ended; });
    curl_multi_remove_handle(Multi_, Ended->Easy_);
    std::unique_ptr<Transfer> Owned = std::move(Found->second);
    Transfers_.erase(Found);
    Owned->Ended_(std::move(Owned->Result_));
  }
}

int EventLoop::getPollTimeoutMs() const {
  if (Timers_.empty())
    return MaxPollMs;
  Duration Left = Timers_.begin()->first - now();
  if (Left <= Duration::zero())
    return 0;
  return static_cast<int>(
      std::min<int64_t>(MaxPollMs, toMilliseconds(Left) + 1));
}

void EventLoop::run() {
  while (!Stopping_) {
    LastTurn_ = now().time_since_epoch().count();
    runTasks();
    runTimers();
    int Running = 0;
    curl_multi_perform(Multi_, &Running);
    collectEndedCalls();
    curl_multi_poll(Multi_, nullptr, 0, getPollTimeoutMs(), nullptr);
  }
}

void EventLoop::stop() {
  Stopping_ = true;
  curl_multi_wakeup(Multi_);
}

Time EventLoop::getLastTurn() const { return Time(Duration(LastTurn_)); }

} // namespace cranberry
