/// \file connection_test.cpp HTTP client and server under failures.
#include "net/blocking_call_func.h"
#include "net/event_loop_base.h"
#include "net/http_server_base.h"
#include "net/http_target_func.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace cranberry;

namespace {

/// A server that sends the bytes that a script returns for each request head.
class ScriptedServer {
public:
  /// Called for each request head; connections, and the requests on one of
  /// them, are numbered from 0.
  /// \return Bytes to send; if empty, the connection is closed.
  using Script = std::function<std::string(int Connection, int Request,
                                           const std::string &Head)>;

  explicit ScriptedServer(Script Respond) : Respond_(std::move(Respond)) {
    Listen_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Bound{};
    Bound.sin_family = AF_INET;
    Bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Bound;
    REQUIRE(bind(Listen_, reinterpret_cast<sockaddr *>(&Bound), Size) == 0);
    REQUIRE(listen(Listen_, 16) == 0);
    getsockname(Listen_, reinterpret_cast<sockaddr *>(&Bound), &Size);
    Url_ = "http://127.0.0.1:" + std::to_string(ntohs(Bound.sin_port)) + "/";
    Thread_ = std::thread([this] { run(); });
  }

  ~ScriptedServer() {
    Stopping_ = true;
    shutdown(Listen_, SHUT_RDWR);
    Thread_.join();
    for (std::thread &Each : Connections_)
      Each.join();
    close(Listen_);
  }

  std::string Url_;              ///< URL of the listening socket.
  std::atomic<int> Requests_{0}; ///< Request heads read so far.

private:
  void run() {
    for (int Number = 0; !Stopping_; ++Number) {
      int Socket = accept(Listen_, nullptr, nullptr);
      if (Socket < 0)
        return;
      Connections_.emplace_back([this, Socket, Number] {
        serve(Socket, Number);
        close(Socket);
      });
    }
  }

  void serve(int Socket, int Number) {
    std::string Buffer;
    for (int Request = 0;; ++Request) {
      size_t End = std::string::npos;
      while ((End = Buffer.find("\r\n\r\n")) == std::string::npos) {
        char Bytes[4096];
        ssize_t Size = read(Socket, Bytes, sizeof Bytes);
        if (Size <= 0)
          return;
        Buffer.append(Bytes, static_cast<size_t>(Size));
      }
      std::string Head = Buffer.substr(0, End + 4);
      Buffer.erase(0, End + 4);
      ++Requests_;
      std::string Out = Respond_(Number, Request, Head);
      if (Out.empty())
        return;
      if (send(Socket, Out.data(), Out.size(), MSG_NOSIGNAL) < 0)
        return;
      if (Out.find("\r\n\r\n") != std::string::npos &&
          Out.find("close-now") != std::string::npos)
        return;
    }
  }

  Script Respond_;                       ///< Makes the responses.
  int Listen_ = -1;                      ///< Listening socket.
  std::atomic<bool> Stopping_{false};    ///< Makes run() stop accepting.
  std::vector<std::thread> Connections_; ///< One thread for each connection.
  std::thread Thread_;                   ///< Accepts connections.
};

std::string makeResponseBytes(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/// Makes two calls in sequence on one loop, so that the second can reuse the
/// connection of the first.
/// \return Result of the second call.
HttpResult callTwice(HttpCall First, HttpCall Second) {
  EventLoop Loop;
  HttpResult Ended;
  Loop.startCall(std::move(First), [&](const HttpResult &) {
    Loop.startCall(std::move(Second), [&](HttpResult Result) {
      Ended = std::move(Result);
      Loop.stop();
    });
  });
  Loop.run();
  return Ended;
}

} // namespace

TEST_CASE("a request is sent once when its connection closes without a "
          "response, whether that is new or reused") {
  for (bool IsNewConnection : {false, true}) {
    CAPTURE(IsNewConnection);
    // The server reads the second request on a connection, so that it may
    // have run, and closes without a response.
    ScriptedServer Server([](int, int Request, const std::string &) {
      return Request == 0 ? makeResponseBytes("ok") : std::string();
    });
    HttpCall Get;
    Get.Url_ = Server.Url_;
    HttpCall Post = Get;
    Post.Method_ = "POST";
    Post.IsNewConnectionRequired_ = IsNewConnection;
    HttpResult Result = callTwice(Get, Post);
    CHECK(Server.Requests_ == 2);
    CHECK(Result.Code_ ==
          (IsNewConnection ? ResultCode::Ok : ResultCode::ServerAnswerLost));
  }
}

TEST_CASE("every kind of broken response has its own result code and none "
          "counts as complete") {
  struct Case {
    const char *What_;     ///< Name of the case in the report.
    std::string Response_; ///< Bytes that the server sends.
    ResultCode Code_;      ///< Expected result.
  };
  const Case Cases[] = {
      {"whole", makeResponseBytes("body"), ResultCode::Ok},
      {"body ends early",
       "HTTP/1.1 200 OK\r\nX: close-now\r\nContent-Length: 10\r\n\r\nhalf",
       ResultCode::ServerAnswerTruncated},
      {"chunks end early",
       "HTTP/1.1 200 OK\r\nX: close-now\r\nTransfer-Encoding: chunked\r\n\r\n"
       "4\r\nhalf\r\n",
       ResultCode::ServerAnswerTruncated},
      {"closed without a byte", "", ResultCode::ServerAnswerLost},
      {"not HTTP", "garbage close-now\r\n\r\n", ResultCode::ServerAnswerLost},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.What_);
    ScriptedServer Server(
        [&](int, int, const std::string &) { return C.Response_; });
    HttpCall Call;
    Call.Method_ = "POST";
    Call.Url_ = Server.Url_;
    Call.Timeout_ = seconds(3);
    Call.IsNewConnectionRequired_ = true;
    HttpResult Result = callAndWait(std::move(Call));
    CHECK(Result.Code_ == C.Code_);
  }
}

TEST_CASE("a refused connection is reported as a failed connect") {
  HttpCall Call;
  Call.Url_ = "http://127.0.0.1:1/";
  HttpResult Result = callAndWait(std::move(Call));
  CHECK(Result.Code_ == ResultCode::ServerConnectFailed);
}

TEST_CASE("a call whose server never responds ends at its timeout as lost") {
  std::atomic<bool> Stop{false};
  ScriptedServer Server([&](int, int, const std::string &) {
    while (!Stop)
      std::this_thread::yield();
    return std::string();
  });
  HttpCall Call;
  Call.Url_ = Server.Url_;
  Call.Timeout_ = milliseconds(200);
  HttpResult Result = callAndWait(std::move(Call));
  CHECK(Result.Code_ == ResultCode::ServerAnswerLost);
  Stop = true;
}

TEST_CASE("responses that finish out of order reach their own callers") {
  Reason Why;
  EventLoop Slow;
  std::thread SlowThread([&] { Slow.run(); });
  std::unique_ptr<HttpServer> Server = HttpServer::open(
      "127.0.0.1:0", {},
      [&](const HttpRequest &Request, const HttpRespond &Respond) {
        int Number = std::stoi(Request.getQuery("n"));
        // The later a request, the earlier its response.
        Slow.post([&Slow, Number, Respond] {
          Slow.addTimer(EventLoop::now() + milliseconds(200 - 2 * Number),
                        [Number, Respond] {
                          Respond({200, {}, std::to_string(Number)});
                        });
        });
      },
      Why);
  REQUIRE(Server);
  EventLoop Loop;
  int Left = 100;
  int Wrong = 0;
  for (int I = 0; I < 100; ++I) {
    HttpCall Call;
    Call.Url_ = "http://" + Server->getAddress() + "/?n=" + std::to_string(I);
    CallIndex Index =
        Loop.startCall(std::move(Call), [&, I](const HttpResult &Result) {
          Wrong += Result.Body_ != std::to_string(I);
          if (--Left == 0)
            Loop.stop();
        });
    if (I % 10 != 0)
      continue;
    // The response to a cancelled call must not reach any handler.
    Loop.cancelCall(Index);
    --Left;
  }
  Loop.run();
  CHECK(Wrong == 0);
  Server.reset();
  Slow.stop();
  SlowThread.join();
}

TEST_CASE("percent escapes of a request target are decoded once and invalid "
          "ones are kept") {
  std::string AllBytes;
  for (int Byte = 0; Byte < 256; ++Byte)
    AllBytes += static_cast<char>(Byte);
  CHECK(decodePercent(encodePercent(AllBytes)) == AllBytes);
  CHECK(encodePercent("aZ0-._~ +&") == "aZ0-._~%20%2B%26");
  CHECK(decodePercent("a%20b%2525+c") == "a b%25+c");
  CHECK(decodePercent("%zz%4") == "%zz%4");
  CHECK(decodePercent("%") == "%");
  std::map<std::string, std::string> Query =
      parseQuery("a=1&b=x+y%26z&&c&a=2&d=e=f");
  CHECK(Query == std::map<std::string, std::string>{
                     {"a", "2"}, {"b", "x y&z"}, {"c", ""}, {"d", "e=f"}});
}

TEST_CASE("an HTTP server enforces its limits and reports open requests") {
  Reason Why;
  HttpServerLimits Limits;
  Limits.Threads_ = 1;
  Limits.MaxConnections_ = 1;
  Limits.MaxBodyBytes_ = 10;
  std::mutex Mutex;
  std::vector<HttpRespond> Held;
  std::unique_ptr<HttpServer> Server = HttpServer::open(
      "127.0.0.1:0", Limits,
      [&](const HttpRequest &Request, const HttpRespond &Respond) {
        std::lock_guard Lock(Mutex);
        if (Request.Path_ == "/hold")
          return Held.push_back(Respond);
        Respond({Request.IsTooLarge_ ? 413 : 200, {}, Request.Body_});
      },
      Why);
  REQUIRE(Server);
  HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + Server->getAddress() + "/echo";
  Call.Body_ = "0123456789";
  CHECK(callAndWait(Call).Body_ == "0123456789");
  Call.Body_ += "x";
  HttpResult TooLarge = callAndWait(Call);
  CHECK(TooLarge.Status_ == 413);
  CHECK(TooLarge.Body_.empty());

  EventLoop Loop;
  HttpCall Hold;
  Hold.Url_ = "http://" + Server->getAddress() + "/hold";
  HttpResult Late;
  Loop.startCall(Hold, [&](HttpResult Result) {
    Late = std::move(Result);
    Loop.stop();
  });
  std::thread Runner([&] { Loop.run(); });
  while (!Server->hasOpenRequests())
    std::this_thread::yield();
  // The held request occupies the only allowed connection.
  CHECK(callAndWait(Call).Code_ != ResultCode::Ok);
  std::unique_lock Lock(Mutex);
  Held.at(0)({200, {}, "late"});
  Lock.unlock();
  Runner.join();
  CHECK(Late.Body_ == "late");
  CHECK_FALSE(Server->hasOpenRequests());
  Server.reset();
  // A response after the server's destruction is ignored.
  Held.at(0)({200, {}, "later"});
}

TEST_CASE("an HTTP server's port is shared by its threads but not with "
          "another server") {
  Reason Why;
  HttpServerLimits Limits;
  Limits.Threads_ = 3;
  HttpHandler Handler = [](const HttpRequest &, const HttpRespond &Respond) {
    Respond({});
  };
  std::unique_ptr<HttpServer> Server =
      HttpServer::open("127.0.0.1:0", Limits, Handler, Why);
  REQUIRE(Server);
  CHECK_FALSE(HttpServer::open(Server->getAddress(), Limits, Handler, Why));
  CHECK(Why.Code_ == ResultCode::PortUnavailable);
  HttpCall Call;
  Call.Url_ = "http://" + Server->getAddress() + "/";
  for (int I = 0; I < 20; ++I)
    CHECK(callAndWait(Call).Status_ == 200);
  Server->stopAccepting();
  CHECK(callAndWait(Call).Code_ == ResultCode::ServerConnectFailed);
}

TEST_CASE("a client that is destroyed as a call times out reports no result") {
  std::atomic<bool> Stop{false};
  ScriptedServer Server([&](int, int, const std::string &) {
    Stop.wait(false);
    return std::string();
  });
  for (int Round = 0; Round < 20; ++Round) {
    EventLoop Loop;
    auto Client = std::make_unique<HttpClient>(Loop.getContext());
    HttpCall Call;
    Call.Url_ = Server.Url_;
    Call.Timeout_ = milliseconds(20);
    int Results = 0;
    // The timeout starts in startCall(), so this is earlier on a machine of
    // any speed.
    Time DestroyAt = EventLoop::now() + Call.Timeout_ - milliseconds(1);
    Client->startCall(Call, [&](const HttpResult &) { ++Results; });
    Time BothDue = EventLoop::now() + Call.Timeout_ + milliseconds(1);
    Loop.addTimer(DestroyAt, [&] { Client.reset(); });
    // Blocks the loop until the destruction and the timeout are both due.
    Loop.addTimer(EventLoop::now(), [BothDue] {
      while (EventLoop::now() < BothDue)
        std::this_thread::yield();
    });
    Loop.addTimer(BothDue + milliseconds(1), [&] { Loop.stop(); });
    Loop.run();
    CHECK(Results == 0);
  }
  Stop = true;
  Stop.notify_all();
}
