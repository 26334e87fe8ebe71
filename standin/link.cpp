/// \file link.cpp Network link with fault injection.
#include "standin/link_base.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace cranberry::standin {

namespace {

constexpr int PollMs = 1;
constexpr size_t ReadBytes = 65536;

sockaddr_in parseAddress(const std::string &Address) {
  sockaddr_in Parsed{};
  size_t Colon = Address.rfind(':');
  Parsed.sin_family = AF_INET;
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Parsed.sin_addr);
  Parsed.sin_port =
      htons(static_cast<uint16_t>(std::atoi(Address.c_str() + Colon + 1)));
  return Parsed;
}

void configureSocket(int Socket) {
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  fcntl(Socket, F_SETFL, fcntl(Socket, F_GETFL) | O_NONBLOCK);
}

Time now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

} // namespace

Link::Link(std::string Target) : Target_(std::move(Target)) {
  Listen_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in Bound = parseAddress("127.0.0.1:0");
  socklen_t Length = sizeof Bound;
  constexpr int Backlog = 512;
  if (bind(Listen_, reinterpret_cast<sockaddr *>(&Bound), Length) != 0 ||
      listen(Listen_, Backlog) != 0)
    throw std::runtime_error("link: can't listen on a loopback port");
  getsockname(Listen_, reinterpret_cast<sockaddr *>(&Bound), &Length);
  Address_ = "127.0.0.1:" + std::to_string(ntohs(Bound.sin_port));
  Thread_ = std::thread([this] { run(); });
}

Link::~Link() {
  Stopping_ = true;
  Thread_.join();
  for (std::unique_ptr<Flow> &Open : Flows_)
    closeFlow(*Open);
  close(Listen_);
}

void Link::setTarget(const std::string &Target) {
  std::lock_guard Lock(Mutex_);
  Target_ = Target;
}

void Link::setStalledText(const std::string &Text) {
  std::lock_guard Lock(Mutex_);
  StalledText_ = Text;
}

bool Link::hasStalledText(const std::deque<Chunk> &Data) {
  std::lock_guard Lock(Mutex_);
  return !StalledText_.empty() &&
         std::any_of(Data.begin(), Data.end(), [this](const Chunk &Each) {
           return Each.Data_.find(StalledText_) != std::string::npos;
         });
}

void Link::setMode(LinkMode Mode) {
  if (Mode == LinkMode::Stuck)
    MarkStuck_ = true;
  if (Mode == LinkMode::StuckWaiting)
    MarkWaiting_ = true;
  Mode_ = Mode;
}

void Link::closeFlow(Flow &F) {
  close(F.Near_);
  close(F.Far_);
}

void Link::accept() {
  while (true) {
    int Near = accept4(Listen_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Near < 0)
      return;
    if (Mode_ == LinkMode::Cut) {
      close(Near);
      continue;
    }
    auto Open = std::make_unique<Flow>();
    Open->Near_ = Near;
    Open->Far_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Far{};
    {
      std::lock_guard Lock(Mutex_);
      Far = parseAddress(Target_);
    }
    if (connect(Open->Far_, reinterpret_cast<sockaddr *>(&Far), sizeof Far) !=
        0) {
      closeFlow(*Open);
      continue;
    }
    configureSocket(Open->Near_);
    configureSocket(Open->Far_);
    Open->Stuck_ = Mode_ == LinkMode::Silent;
    Flows_.push_back(std::move(Open));
  }
}

bool Link::readInto(int Socket, std::deque<Chunk> &Queue, bool &Ended,
                    Time Now) {
  char Buffer[ReadBytes];
  while (!Ended) {
    ssize_t Size = read(Socket, Buffer, sizeof Buffer);
    if (Size < 0)
      return errno == EAGAIN;
    if (Size == 0)
      Ended = true;
    else
      Queue.push_back({Now + Duration(DelayMicros_),
                       std::string(Buffer, static_cast<size_t>(Size))});
  }
  return true;
}

bool Link::deliver(int Socket, std::deque<Chunk> &Queue, Time Now) {
  while (!Queue.empty() && Queue.front().Due_ <= Now) {
    std::string &Data = Queue.front().Data_;
    ssize_t Size = send(Socket, Data.data(), Data.size(), MSG_NOSIGNAL);
    if (Size < 0)
      return errno == EAGAIN;
    Bytes_ += static_cast<uint64_t>(Size);
    if (static_cast<size_t>(Size) == Data.size())
      Queue.pop_front();
    else
      Data.erase(0, static_cast<size_t>(Size));
  }
  return true;
}

void Link::flood(Flow &F, Time Now) {
  constexpr size_t MaxQueued = 4;
  if (!F.IsFlooded_ && !F.Out_.empty()) {
    F.IsFlooded_ = true;
    F.Back_.push_back(
        {Now, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"});
  }
  F.Out_.clear();
  while (F.IsFlooded_ && F.Back_.size() < MaxQueued)
    F.Back_.push_back(
        {Now, "10000\r\n" + std::string(ReadBytes, 'x') + "\r\n"});
}

bool Link::relay(Flow &F, Time Now) {
  bool Alive = readInto(F.Near_, F.Out_, F.NearEnded_, Now) &&
               readInto(F.Far_, F.Back_, F.FarEnded_, Now);
  F.Stuck_ = F.Stuck_ || hasStalledText(F.Out_);
  if (F.Stuck_ || Mode_ == LinkMode::Silent)
    return Alive && !F.NearEnded_;
  if (!F.Out_.empty())
    F.IsWaiting_ = true;
  if (!F.Back_.empty())
    F.IsWaiting_ = false;
  if (F.IsFlooded_ || Mode_ == LinkMode::Flood)
    flood(F, Now);
  Alive =
      Alive && deliver(F.Far_, F.Out_, Now) && deliver(F.Near_, F.Back_, Now);
  bool IsDone =
      (F.NearEnded_ && F.Out_.empty()) || (F.FarEnded_ && F.Back_.empty());
  return Alive && !IsDone;
}

void Link::run() {
  while (!Stopping_) {
    std::vector<pollfd> Polled{{Listen_, POLLIN, 0}};
    for (const std::unique_ptr<Flow> &Open : Flows_) {
      Polled.push_back({Open->Near_, POLLIN, 0});
      Polled.push_back({Open->Far_, POLLIN, 0});
    }
    bool HasQueued = std::any_of(
        Flows_.begin(), Flows_.end(), [](const std::unique_ptr<Flow> &Open) {
          return !Open->Out_.empty() || !Open->Back_.empty();
        });
    constexpr int IdlePollMs = 5;
    poll(Polled.data(), Polled.size(), HasQueued ? PollMs : IdlePollMs);
    bool AreAllStuck = MarkStuck_.exchange(false);
    bool AreWaitingStuck = MarkWaiting_.exchange(false);
    for (std::unique_ptr<Flow> &Open : Flows_)
      Open->Stuck_ =
          Open->Stuck_ || AreAllStuck || (AreWaitingStuck && Open->IsWaiting_);
    accept();
    Time Now = now();
    std::erase_if(Flows_, [&](std::unique_ptr<Flow> &Open) {
      if (Mode_ != LinkMode::Cut && relay(*Open, Now))
        return false;
      closeFlow(*Open);
      return true;
    });
  }
}

} // namespace cranberry::standin
