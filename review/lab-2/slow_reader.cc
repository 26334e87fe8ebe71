/// \file slow_reader.cc Servers read the bodies of uploads slowly, while the
/// entry VM that passes them on is stopped as planned.
#include "review/lab-2/lab.hh"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace lab;

namespace {

constexpr size_t BodyBytes = 360000; // Largest upload of the site.
constexpr unsigned Uploads = 4;
constexpr Duration ReadPause = milliseconds(4000);
constexpr Duration Deadline = milliseconds(6000); // The clients' and the route's.
constexpr double UploadAt = 3;
constexpr double StopAt = 3.3;
constexpr double GraceS = 6; // grace

/// A server that begins to work on a request when it has read its head, and
/// may read the body later.
class SlowReader {
public:
  SlowReader(Lab &To, std::string Id) : Lab_(To), Id_(std::move(Id)) {
    Listen_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int Small = 32768;
    setsockopt(Listen_, SOL_SOCKET, SO_RCVBUF, &Small, sizeof Small);
    sockaddr_in Bound{};
    Bound.sin_family = AF_INET;
    Bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof Bound;
    if (bind(Listen_, reinterpret_cast<sockaddr *>(&Bound), Length) != 0 ||
        listen(Listen_, 16) != 0 ||
        getsockname(Listen_, reinterpret_cast<sockaddr *>(&Bound), &Length) !=
            0)
      throw std::runtime_error("no port");
    Address_ = "127.0.0.1:" + std::to_string(ntohs(Bound.sin_port));
    Thread_ = std::thread([this] { accept(); });
  }

  ~SlowReader() {
    shutdown(Listen_, SHUT_RDWR);
    Thread_.join();
    for (std::thread &Each : Serving_)
      Each.join();
    ::close(Listen_);
  }

  const std::string &getId() const { return Id_; }
  json getEntry(const std::string &Zone, unsigned Sequence) const {
    return {{"service", "archive"}, {"address", Address_}, {"zone", Zone},
            {"version", "v1"},      {"slots", 6},          {"state", "ready"},
            {"coldRemaining", "0ms"}, {"sequence", Sequence}, {"born", 1}};
  }
  void setPause(Duration Pause) { PauseMicros_ = Pause.count(); }

private:
  void accept() {
    while (true) {
      int Socket = accept4(Listen_, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      Serving_.emplace_back([this, Socket] {
        timeval Limit{20, 0};
        setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
        serve(Socket);
        ::close(Socket);
      });
    }
  }

  static std::string find(const std::string &Head, const std::string &Name) {
    size_t At = Head.find("\r\n" + Name + ": ");
    if (At == std::string::npos)
      return "";
    At += Name.size() + 4;
    return Head.substr(At, Head.find("\r\n", At) - At);
  }

  void serve(int Socket) {
    std::string Bytes;
    char Buffer[4096];
    size_t End = std::string::npos;
    while ((End = Bytes.find("\r\n\r\n")) == std::string::npos) {
      ssize_t Count = recv(Socket, Buffer, sizeof Buffer, 0);
      if (Count <= 0)
        return;
      Bytes.append(Buffer, static_cast<size_t>(Count));
    }
    std::string Head = Bytes.substr(0, End + 2);
    std::string Id = find(Head, "X-Cranberrypost-Attempt-Id");
    size_t Whole =
        End + 4 + std::strtoul(find(Head, "Content-Length").c_str(), nullptr, 10);
    Lab_.note(Id + " runs at " + Id_);
    std::this_thread::sleep_for(Duration(PauseMicros_.load()));
    while (Bytes.size() < Whole) {
      ssize_t Count = recv(Socket, Buffer, sizeof Buffer, 0);
      if (Count <= 0) {
        Lab_.note(absl::StrCat(Id_, " found the connection of ", Id,
                               " broken after ", Bytes.size(), " of ", Whole,
                               " bytes"));
        return;
      }
      Bytes.append(Buffer, static_cast<size_t>(Count));
    }
    std::string Answer = absl::StrCat(
        "HTTP/1.1 200 OK\r\nX-Cranberrypost-Attempt-Id: ", Id,
        "\r\nX-Cranberrypost-Server-Seal: ", Id_,
        "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
    ::send(Socket, Answer.data(), Answer.size(), MSG_NOSIGNAL);
    Lab_.note(Id_ + " has answered " + Id + " with 200");
  }

  Lab &Lab_;                            ///< Record.
  std::string Id_;                      ///< Identifier.
  std::string Address_;                 ///< Address.
  int Listen_ = -1;                     ///< Listening socket.
  std::atomic<int64_t> PauseMicros_{0}; ///< Before the body is read.
  std::vector<std::thread> Serving_;    ///< One for each connection.
  std::thread Thread_;                  ///< Accepts connections.
};

/// Sends an upload and waits for its answer.
/// \return Status of the answer and whether it has a seal.
std::pair<unsigned, bool> upload(const std::string &Address,
                                 const std::string &Id) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  size_t Colon = Address.find(':');
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &To.sin_addr);
  To.sin_port = htons(std::atoi(Address.c_str() + Colon + 1));
  std::string Head;
  if (connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof To) == 0) {
    std::string Bytes = absl::StrCat(
        "POST /u/x HTTP/1.1\r\nHost: shop.example\r\n"
        "X-Cranberrypost-Attempt-Id: ",
        Id, "\r\nX-Cranberrypost-Deadline-Milliseconds: ",
        toMilliseconds(Deadline), "\r\nContent-Length: ", BodyBytes,
        "\r\n\r\n");
    Bytes.append(BodyBytes, 'u');
    for (size_t Done = 0; Done < Bytes.size();) {
      ssize_t Sent = ::send(Socket, Bytes.data() + Done, Bytes.size() - Done,
                            MSG_NOSIGNAL);
      if (Sent <= 0)
        break;
      Done += static_cast<size_t>(Sent);
    }
    char Buffer[4096];
    while (Head.find("\r\n\r\n") == std::string::npos) {
      ssize_t Count = recv(Socket, Buffer, sizeof Buffer, 0);
      if (Count <= 0)
        break;
      Head.append(Buffer, static_cast<size_t>(Count));
    }
  }
  ::close(Socket);
  unsigned Status =
      Head.starts_with("HTTP/1.1 ") ? std::atoi(Head.c_str() + 9) : 0;
  return {Status, Head.find("Server-Seal") != std::string::npos};
}

} // namespace

static int play([[maybe_unused]] int Argc, char **Argv) {
  FleetPlan Plan{{"praha-a", "praha-b"}, {"exams"}, 1, 6, milliseconds(20)};
  json Keys = {{"stopGraceMs", "6s"},       {"repeatRatio", 0.2},
               {"repeatSlack", 350},        {"repeatWindowMs", "10s"},
               {"serverDrainMs", "4000ms"}, {"configPropagationMs", "4000ms"},
               {"maxRegionShift", 0.15},    {"coldBurstFactor", 1.5},
               {"firstStart", true}};
  Lab Test(Plan, Keys, Argv[1]);
  json Route = makeRoute("u", "/u/", "archive", false, Deadline);
  Route["kind"] = "upload";
  putConfig(Test, "00000001", json::array({Route}),
            makeServices({"exams", "archive"}, "3s", 11), nullptr);
  SlowReader One(Test, "i-archive-0");
  SlowReader Two(Test, "i-archive-1");
  Test.store().put("servers", One.getId(), One.getEntry("praha-a", 1));
  Test.store().put("servers", Two.getId(), Two.getEntry("praha-a", 1));
  Test.startBeats();
  if (!Test.startAll())
    return Unable;
  Test.note("all entry VMs are ready");
  waitUntil(Test, UploadAt);
  for (SlowReader *Each : {&One, &Two})
    Each->setPause(hasTrouble() ? ReadPause : Duration(0));
  std::atomic<unsigned> BrokenOff{0};
  std::vector<std::thread> Clients;
  for (unsigned I = 0; I < Uploads; ++I)
    Clients.emplace_back([&, I] {
      std::string Id = absl::StrCat("upload-", I);
      Time Begin = getNow();
      auto [Status, IsSealed] =
          upload(Test.fleet().vm(0).Http_.getAddress(), Id);
      Duration Took = getNow() - Begin;
      Test.note(absl::StrCat(Id, " ended with ", Status,
                             IsSealed ? " from a server" : " of the system's",
                             " after ", toMilliseconds(Took), " ms"));
      if (!IsSealed && Took < Deadline)
        ++BrokenOff;
    });
  waitUntil(Test, StopAt);
  bool IsStopped = hasTrouble();
  if (IsStopped) {
    Test.note("vm-0 gets SIGTERM");
    Test.fleet().vm(0).Process_->signal(SIGTERM);
  }
  for (std::thread &Each : Clients)
    Each.join();
  waitUntil(Test, StopAt + GraceS + 1);
  Test.note(absl::StrCat(BrokenOff.load(), " of ", Uploads,
                         " uploads were broken off by the system, while their "
                         "servers were at work, before the deadline"));
  return BrokenOff > 0 ? Broken : Held;
}

int main(int Argc, char **Argv) {
  return runCase(Argc, Argv, [&] { return play(Argc, Argv); });
}
