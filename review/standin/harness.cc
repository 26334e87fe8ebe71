// Stand-ins for the review's scripts: the platform's store, backend servers,
// clients, and the start of entry VMs with the deploy file's command. POSIX
// sockets and threads only; everything listens on loopback addresses.
//
// Included by the cases; it has no header, so that it stays out of the lint.
#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point Start = Clock::now();

/// Seconds since the start of the script.
inline double now() {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

/// Lines of record.txt.
class Record {
public:
  explicit Record(const char *Path) : File_(fopen(Path, "w")) {}
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    va_list Arguments;
    va_start(Arguments, Format);
    fprintf(File_, "%8.3f ", now());
    vfprintf(File_, Format, Arguments);
    fputc('\n', File_);
    fflush(File_);
    va_end(Arguments);
  }

private:
  std::mutex Mutex_;
  FILE *File_;
};

inline std::unique_ptr<Record> Log;

[[noreturn]] inline void cannotRun(const char *Why) {
  if (Log)
    Log->line("CAN'T RUN: %s", Why);
  fprintf(stderr, "can't run: %s\n", Why);
  exit(2);
}

inline bool hasTrouble() {
  const char *Value = getenv("TROUBLE");
  return !Value || strcmp(Value, "0") != 0;
}

// --- Sockets ---------------------------------------------------------------

inline sockaddr_in loopback(int Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<uint16_t>(Port));
  Result.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Result;
}

inline int listenOn(int &Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  sockaddr_in Address = loopback(Port);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ||
      listen(Socket, 256))
    cannotRun("no free port");
  socklen_t Size = sizeof Address;
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  return Socket;
}

/// \return A free port below those that the kernel gives to connections, which
/// could take one before the entry VM opens it.
inline int freePort() {
  constexpr int First = 15000, Count = 15000;
  static int Next = getpid() * 61 % Count;
  while (true) {
    int Port = First + Next;
    Next = (Next + 1) % Count;
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = loopback(Port);
    bool IsFree = bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                       sizeof Address) == 0;
    close(Socket);
    if (IsFree)
      return Port;
  }
}

inline std::string address(int Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

inline bool sendAll(int Socket, const std::string &Bytes) {
  size_t Done = 0;
  while (Done < Bytes.size()) {
    ssize_t Sent = send(Socket, Bytes.data() + Done, Bytes.size() - Done,
                        MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Done += static_cast<size_t>(Sent);
  }
  return true;
}

/// Appends what arrives within \p Seconds. \return Bytes read; 0 at the end of
/// the stream, -1 on a timeout, -2 on a reset.
inline long receive(int Socket, std::string &Buffer, double Seconds) {
  pollfd Polled{Socket, POLLIN, 0};
  if (poll(&Polled, 1, std::max(0, static_cast<int>(Seconds * 1000))) <= 0)
    return -1;
  char Bytes[65536];
  ssize_t Count = recv(Socket, Bytes, sizeof Bytes, 0);
  if (Count < 0)
    return -2;
  Buffer.append(Bytes, static_cast<size_t>(Count));
  return Count;
}

inline int connectTo(int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  sockaddr_in Address = loopback(Port);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof Address)) {
    close(Socket);
    return -1;
  }
  return Socket;
}

// --- HTTP ------------------------------------------------------------------

struct Message {
  std::string First_;                         ///< Request or status line.
  std::map<std::string, std::string> Fields_; ///< Lower-case names.
  std::string Body_;

  std::string get(const std::string &Name) const {
    auto Found = Fields_.find(Name);
    return Found == Fields_.end() ? "" : Found->second;
  }
  /// Word of the first line.
  std::string word(int Index) const {
    size_t From = 0;
    for (; Index > 0; --Index) {
      From = First_.find(' ', From);
      if (From == std::string::npos)
        return "";
      ++From;
    }
    return First_.substr(From, First_.find(' ', From) - From);
  }
};

inline std::string lower(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(tolower(C));
  return Text;
}

/// Reads a message with a Content-Length or without a body.
/// \return 1 if read, 0 at the end of the stream, -1 on a timeout, -2 on a
/// reset.
inline int readMessage(int Socket, std::string &Buffer, Message &Out,
                       double Seconds) {
  double End = now() + Seconds;
  Out = Message();
  size_t Head = 0;
  while ((Head = Buffer.find("\r\n\r\n")) == std::string::npos) {
    long Count = receive(Socket, Buffer, End - now());
    if (Count <= 0)
      return static_cast<int>(Count);
  }
  std::string Text = Buffer.substr(0, Head);
  size_t From = Text.find("\r\n");
  Out.First_ = Text.substr(0, From);
  while (From != std::string::npos) {
    size_t To = Text.find("\r\n", From + 2);
    std::string Line = Text.substr(
        From + 2, To == std::string::npos ? To : To - From - 2);
    size_t Colon = Line.find(':');
    if (Colon != std::string::npos) {
      size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Out.Fields_[lower(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
    From = To;
  }
  size_t Length =
      static_cast<size_t>(atoll(Out.get("content-length").c_str()));
  while (Buffer.size() < Head + 4 + Length) {
    long Count = receive(Socket, Buffer, End - now());
    if (Count <= 0)
      return static_cast<int>(Count);
  }
  Out.Body_ = Buffer.substr(Head + 4, Length);
  Buffer.erase(0, Head + 4 + Length);
  return 1;
}

inline std::string reply(int Status, const std::string &Fields,
                         const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Listens and handles each connection in a thread of its own.
class Listener {
public:
  explicit Listener(std::function<void(int)> Handler, int WantedPort = 0)
      : Port_(WantedPort), Handler_(std::move(Handler)) {
    Socket_ = listenOn(Port_);
    std::thread([this] {
      while (true) {
        int Socket = accept4(Socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (Socket < 0)
          return;
        int One = 1;
        setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
        std::thread([this, Socket] {
          Handler_(Socket);
          close(Socket);
        }).detach();
      }
    }).detach();
  }
  int port() const { return Port_; }

private:
  int Port_;
  int Socket_;
  std::function<void(int)> Handler_;
};

// --- The platform's store ---------------------------------------------------

/// Objects by kind and name with one revision counter, lists and watches. What
/// a writer stored as a specification is returned byte for byte.
class Store {
public:
  Store() : Listener_([this](int Socket) { serve(Socket, ""); }) {}
  std::string addr() const { return address(Listener_.port()); }

  /// \return Address for one entry VM, whose calls can then be told apart.
  std::string openFor(const std::string &Vm) {
    Ports_.push_back(std::make_unique<Listener>(
        [this, Vm](int Socket) { serve(Socket, Vm); }));
    return address(Ports_.back()->port());
  }

  /// Answers 429 to all calls of these entry VMs from now on, also to watches
  /// that wait; the others are served.
  void turnAway(const std::set<std::string> &Vms) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    TurnedAway_ = Vms;
    Changed_.notify_all();
  }

  /// \return Entry VMs that have read the servers since the last call.
  std::set<std::string> takeReaders() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return std::exchange(Readers_, {});
  }

  /// \return Time of the acknowledgement.
  double put(const std::string &Kind, const std::string &Name,
             const std::string &Specification) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    change(Kind, Name, &Specification);
    return now();
  }
  double remove(const std::string &Kind, const std::string &Name) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    change(Kind, Name, nullptr);
    return now();
  }

private:
  struct Object {
    uint64_t Revision_;
    std::string Specification_;
  };
  struct Event {
    std::string Kind_;
    uint64_t Revision_;
    std::string Text_;
  };

  static std::string encode(const std::string &Name, const Object &Value) {
    return "{\"metadata\":{\"name\":\"" + Name +
           "\",\"revision\":" + std::to_string(Value.Revision_) +
           ",\"created\":1,\"finalizers\":[],\"deletionPending\":false},"
           "\"specification\":" +
           Value.Specification_ + ",\"status\":null}";
  }

  void change(const std::string &Kind, const std::string &Name,
              const std::string *Next) {
    auto &Objects = Kinds_[Kind];
    auto Found = Objects.find(Name);
    if (!Next && Found == Objects.end())
      return;
    ++Revision_;
    Object Value{Revision_, Next ? *Next : Found->second.Specification_};
    History_.push_back({Kind, Revision_,
                        std::string("{\"removed\":") +
                            (Next ? "false" : "true") +
                            ",\"object\":" + encode(Name, Value) + "}"});
    if (Next)
      Objects[Name] = Value;
    else
      Objects.erase(Found);
    Changed_.notify_all();
  }

  static std::string parameter(const std::string &Target, const char *Name) {
    std::string Key = std::string(Name) + "=";
    size_t At = Target.find("?" + Key);
    if (At == std::string::npos)
      At = Target.find("&" + Key);
    if (At == std::string::npos)
      return "";
    At += 1 + Key.size();
    return Target.substr(At, Target.find('&', At) - At);
  }

  std::string list(const std::string &Kind, const std::string &After) {
    std::string Items;
    bool HasMore = false;
    unsigned Count = 0;
    for (const auto &[Name, Value] : Kinds_[Kind]) {
      if (Name <= After)
        continue;
      if (Count++ == 500) {
        HasMore = true;
        break;
      }
      Items += (Items.empty() ? "" : ",") + encode(Name, Value);
    }
    return "{\"items\":[" + Items +
           "],\"hasMore\":" + (HasMore ? "true" : "false") +
           ",\"storeRevision\":" + std::to_string(Revision_) + "}";
  }

  std::string watch(std::unique_lock<std::mutex> &Lock, const std::string &Vm,
                    const std::string &Kind, uint64_t After, double Wait) {
    auto End = Clock::now() + std::chrono::duration<double>(Wait);
    while (true) {
      std::string Events;
      for (const Event &Each : History_)
        if (Each.Kind_ == Kind && Each.Revision_ > After)
          Events += (Events.empty() ? "" : ",") + Each.Text_;
      if (TurnedAway_.count(Vm))
        return "";
      if (!Events.empty() || Clock::now() >= End)
        return "{\"events\":[" + Events +
               "],\"storeRevision\":" + std::to_string(Revision_) + "}";
      Changed_.wait_until(Lock, std::chrono::time_point_cast<Clock::duration>(
                                    End));
    }
  }

  /// Raw text of a member of the system's own objects.
  static std::string member(const std::string &Body, const char *Name) {
    size_t At = Body.find(std::string("\"") + Name + "\":");
    if (At == std::string::npos)
      return "null";
    At += strlen(Name) + 3;
    int Depth = 0;
    bool IsText = false;
    for (size_t I = At; I < Body.size(); ++I) {
      char C = Body[I];
      if (IsText) {
        if (C == '\\')
          ++I;
        else if (C == '"')
          IsText = false;
      } else if (C == '"') {
        IsText = true;
      } else if (C == '{' || C == '[') {
        ++Depth;
      } else if (C == '}' || C == ']' || C == ',') {
        if (Depth == 0)
          return Body.substr(At, I - At);
        if (C != ',')
          --Depth;
      }
    }
    return "null";
  }

  void serve(int Socket, const std::string &Vm) {
    std::string Buffer;
    Message Call;
    while (readMessage(Socket, Buffer, Call, 60) == 1) {
      std::string Method = Call.word(0);
      std::string Target = Call.word(1);
      std::string Path = Target.substr(0, Target.find('?'));
      std::string Rest = Path.substr(std::min(Path.size(), size_t(13)));
      size_t Slash = Rest.find('/');
      std::string Kind = Rest.substr(0, Slash);
      std::string Name = Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
      std::string Body = "{}";
      int Status = 200;
      std::unique_lock<std::mutex> Lock(Mutex_);
      if (TurnedAway_.count(Vm)) {
        Status = 429;
      } else if (Method == "GET" && !parameter(Target, "watch").empty()) {
        if (Kind == "servers")
          Readers_.insert(Vm);
        Body = watch(Lock, Vm, Kind,
                     strtoull(parameter(Target, "watch").c_str(), nullptr, 10),
                     atof(parameter(Target, "waitMs").c_str()) / 1000);
        Status = Body.empty() ? 429 : 200;
      } else if (Method == "GET") {
        Body = list(Kind, parameter(Target, "after"));
      } else if (Method == "POST") {
        std::string Quoted = member(Call.Body_, "name");
        Name = Quoted.size() > 2 ? Quoted.substr(1, Quoted.size() - 2) : "";
        auto Found = Kinds_[Kind].find(Name);
        if (Found != Kinds_[Kind].end()) {
          Status = 409;
          Body = encode(Name, Found->second);
        } else {
          std::string Value = member(Call.Body_, "specification");
          change(Kind, Name, &Value);
        }
      } else if (Method == "PUT") {
        std::string Value = member(Call.Body_, "specification");
        change(Kind, Name, &Value);
      } else {
        change(Kind, Name, nullptr);
      }
      Lock.unlock();
      if (!sendAll(Socket,
                   reply(Status, "Content-Type: application/json\r\n", Body)))
        return;
    }
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, std::map<std::string, Object>> Kinds_;
  std::vector<Event> History_;
  uint64_t Revision_ = 1;
  std::set<std::string> TurnedAway_, Readers_;
  std::vector<std::unique_ptr<Listener>> Ports_;
  Listener Listener_;
};

// --- Backend servers --------------------------------------------------------

struct Run {
  double At_;
  std::string Server_, Id_, Method_, Target_, Body_;
};

/// A sound server: checks the expected instance and the id, runs the request
/// for a while, and signs its answer.
class Server {
public:
  Server(std::string Id, std::string Service, std::string Zone,
         double WorkSeconds, int Slots = 8)
      : Id_(std::move(Id)), Service_(std::move(Service)),
        Zone_(std::move(Zone)), Work_(WorkSeconds), Slots_(Slots),
        Listener_([this](int Socket) { serve(Socket); }) {}

  const std::string &id() const { return Id_; }

  /// Entry for the store; each has the next sequence number.
  std::string entry(const char *State = "ready") {
    return "{\"service\":\"" + Service_ + "\",\"address\":\"" +
           address(Listener_.port()) + "\",\"zone\":\"" + Zone_ +
           "\",\"version\":\"v1\",\"slots\":" +
           std::to_string(Slots_) + ",\"state\":\"" + State +
           "\",\"coldRemaining\":\"0ms\",\"sequence\":" +
           std::to_string(++Sequence_) + ",\"born\":1000}";
  }

  std::vector<Run> runs() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Runs_;
  }

  /// Called instead of the normal answer; \return whether the connection stays.
  std::function<bool(int Socket, const Message &Call, const Run &Ran)> Answer_;

private:
  void serve(int Socket) {
    std::string Buffer;
    Message Call;
    while (readMessage(Socket, Buffer, Call, 10) == 1) {
      std::string Attempt = Call.get("x-cranberrypost-attempt-id");
      std::string Echo = "X-Cranberrypost-Attempt-Id: " + Attempt + "\r\n";
      std::string Expected = Call.get("x-cranberrypost-expected-instance");
      if (Attempt.empty() || (!Expected.empty() && Expected != Id_)) {
        Log->line("server %s refuses '%s' id='%s'", Id_.c_str(),
                  Call.First_.c_str(), Attempt.c_str());
        if (!sendAll(Socket,
                     reply(Attempt.empty() ? 400 : 421,
                           (Attempt.empty() ? "" : Echo) +
                               "X-Cranberrypost-Not-Executed: 1\r\n",
                           "")))
          return;
        continue;
      }
      Run Ran{now(),        Id_,          Attempt,
              Call.word(0), Call.word(1), Call.Body_};
      {
        std::lock_guard<std::mutex> Lock(Mutex_);
        Runs_.push_back(Ran);
      }
      Log->line("server %s runs id=%s %s %s body=%zu", Id_.c_str(),
                Attempt.c_str(), Ran.Method_.c_str(), Ran.Target_.c_str(),
                Ran.Body_.size());
      if (Answer_) {
        if (!Answer_(Socket, Call, Ran))
          return;
        continue;
      }
      sleepFor(Work_);
      if (!sendAll(Socket, reply(200,
                                 Echo + "X-Cranberrypost-Server-Seal: " + Id_ +
                                     "\r\n",
                                 "done " + Attempt)))
        return;
    }
  }

  std::string Id_, Service_, Zone_;
  double Work_;
  int Slots_;
  std::atomic<int> Sequence_{0};
  std::mutex Mutex_;
  std::vector<Run> Runs_;
  Listener Listener_;
};

// --- Entry VMs --------------------------------------------------------------

inline std::string Folder; ///< Temporary folder for settings and logs.
inline std::set<pid_t> Children;

inline void endChildren() {
  for (pid_t Pid : Children) {
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
  }
  Children.clear();
  if (!Folder.empty() && !getenv("KEEP"))
    if (system(("rm -rf '" + Folder + "'").c_str()) != 0)
      fprintf(stderr, "can't remove %s\n", Folder.c_str());
  Folder.clear();
}

/// An entry VM that runs the deploy file's command with its settings.
class Vm {
public:
  /// \param Bounds Settings of the site's bounds.
  Vm(const std::string &Name, const std::string &Zone, const std::string &Store,
     const std::string &Bounds =
         "\"stopGraceMs\":\"6s\",\"serverDrainMs\":\"2500ms\","
         "\"repeatSlack\":58,")
      : Name_(Name), Http_(freePort()), Readiness_(freePort()),
        Directory_(freePort()), Peer_(freePort()), Metrics_(freePort()) {
    std::string Region = Zone.substr(0, Zone.find('-'));
    // What deploy/settings.json holds, with the bounds of the site.
    Settings_ = "{\"vm\":\"" + Name + "\",\"region\":\"" + Region +
                "\",\"zone\":\"" + Zone + "\",\"http\":\"" + address(Http_) +
                "\",\"readiness\":\"" + address(Readiness_) +
                "\",\"directory\":\"" + address(Directory_) +
                "\",\"peer\":\"" + address(Peer_) + "\",\"metrics\":\"" +
                address(Metrics_) + "\",\"platform\":\"" + Store +
                "\",\"zones\":{\"attica-a\":\"attica\",\"attica-b\":\"attica\","
                "\"crete-a\":\"crete\"},"
                + Bounds +
                "\"repeatRatio\":0.2,\"repeatWindowMs\":\"10s\","
                "\"maxRegionShift\":0.15,"
                "\"coldBurstFactor\":1.5,\"processorShare\":0.4,"
                "\"linkMbps\":1000.0,\"firstStart\":true}";
    if (Folder.empty()) {
      char Template[] = "/tmp/review-XXXXXX";
      if (!mkdtemp(Template))
        cannotRun("no temporary folder");
      Folder = Template;
      atexit(endChildren);
    }
  }

  void start() {
    std::string Path = Folder + "/" + Name_ + ".json";
    FILE *File = fopen(Path.c_str(), "w");
    fputs(Settings_.c_str(), File);
    fclose(File);
    std::string LogPath = Folder + "/" + Name_ + ".log";
    std::string Variable = "CRANBERRYPOST_CONFIG=" + Path;
    const char *Daemon = "target/cranberryd";
    if (access(Daemon, X_OK) != 0)
      cannotRun("target/cranberryd is missing; run the deploy file's build");
    Pid_ = fork();
    if (Pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the script.
      int Out = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      char *Arguments[] = {const_cast<char *>(Daemon), nullptr};
      char *Environment[] = {Variable.data(), nullptr};
      execve(Daemon, Arguments, Environment);
      _exit(127);
    }
    Children.insert(Pid_);
    Log->line("vm %s started", Name_.c_str());
  }

  void signal(int Number) const { kill(Pid_, Number); }

  /// Kills the process and waits for its end.
  void end() {
    kill(Pid_, SIGKILL);
    waitpid(Pid_, nullptr, 0);
    Children.erase(Pid_);
    Log->line("vm %s killed", Name_.c_str());
  }

  /// \return Whether the process has ended by itself.
  bool hasEnded() {
    int Status = 0;
    if (waitpid(Pid_, &Status, WNOHANG) != Pid_)
      return false;
    Children.erase(Pid_);
    Log->line("vm %s ended by itself, status %d", Name_.c_str(), Status);
    return true;
  }

  bool isReady() const {
    int Socket = connectTo(Readiness_);
    if (Socket < 0)
      return false;
    std::string Buffer;
    Message Answer;
    bool Result =
        sendAll(Socket, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
        readMessage(Socket, Buffer, Answer, 1) == 1 &&
        Answer.word(1) == "200";
    close(Socket);
    return Result;
  }

  bool waitReady(double Seconds) const {
    double End = now() + Seconds;
    while (!isReady()) {
      if (now() > End)
        return false;
      sleepFor(0.05);
    }
    return true;
  }

  int front() const { return Http_; }
  const std::string &name() const { return Name_; }
  pid_t pid() const { return Pid_; }

private:
  std::string Name_, Settings_;
  int Http_, Readiness_, Directory_, Peer_, Metrics_;
  pid_t Pid_ = -1;
};

// --- Configuration ----------------------------------------------------------

inline std::string makeRoute(const std::string &Name, const std::string &Prefix,
                             const std::string &Service, bool IsSafe,
                             int TimeoutMs, int TargetMs) {
  return "{\"name\":\"" + Name +
         "\",\"host\":\"shop.example\",\"pathPrefix\":\"" + Prefix +
         "\",\"kind\":\"" + (IsSafe ? "safe" : "unsafe") + "\",\"timeout\":\"" +
         std::to_string(TimeoutMs) + "ms\",\"targetLatency\":\"" +
         std::to_string(TargetMs) +
         "ms\",\"priority\":1,\"service\":\"" + Service +
         "\",\"attempts\":2,\"stickySessions\":false,\"homeRegions\":[]}";
}

inline std::string makeConfig(int Version, const std::string &Routes,
                              const std::vector<std::string> &Services) {
  char Text[16];
  snprintf(Text, sizeof Text, "%08x", Version);
  std::string List;
  for (const std::string &Name : Services)
    List += (List.empty() ? "" : ",") + std::string("{\"name\":\"") + Name +
            "\",\"healthPath\":\"/health\",\"connectionLimit\":330,"
            "\"coldStart\":\"3s\",\"coldPerS\":11.0}";
  return "{\"version\":\"" + std::string(Text) + "\",\"routes\":[" + Routes +
         "],\"services\":[" + List +
         "],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":1048576,"
         "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
}

// --- Clients ----------------------------------------------------------------

inline std::string makeRequest(const std::string &Method,
                               const std::string &Target,
                               const std::string &Id,
                               const std::string &Fields = "",
                               const std::string &Body = "") {
  return Method + " " + Target +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Cranberrypost-Attempt-Id: " +
         Id + "\r\nX-Cranberrypost-Deadline-Milliseconds: 2000\r\n" + Fields +
         "\r\n" + Body;
}

struct Reply {
  int Status_ = 0; ///< 0 without an answer.
  std::string Seal_, Body_;
};

/// Sends one request on a new connection and waits for the answer.
inline Reply call(const Vm &To, const std::string &Request, double Seconds) {
  Reply Result;
  int Socket = connectTo(To.front());
  if (Socket < 0)
    return Result;
  std::string Buffer;
  Message Answer;
  if (sendAll(Socket, Request) &&
      readMessage(Socket, Buffer, Answer, Seconds) == 1) {
    Result.Status_ = atoi(Answer.word(1).c_str());
    Result.Seal_ = Answer.get("x-cranberrypost-server-seal");
    Result.Body_ = Answer.Body_;
  }
  close(Socket);
  return Result;
}

/// Ends the script. Threads may still run, so nothing is destroyed.
[[noreturn]] inline void finish(bool IsBroken) {
  Log->line(IsBroken ? "RULE BROKEN" : "rule held");
  endChildren();
  _exit(IsBroken ? 1 : 0);
}

} // namespace review
