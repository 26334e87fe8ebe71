/// \file steering_connection_test.cpp Server connections and the ingress.
#include "net/connection_pool_base.h"
#include "net/http_message_func.h"
#include "net/ingress_server_base.h"
#include "test/support/scripted_server_base.h"

#include <catch2/catch.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <deque>

using namespace cranberry;
using namespace cranberry::test;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

std::string makeResponseBytes(const std::string &Id, const std::string &Body,
                              const std::string &More = "") {
  return "HTTP/1.1 200 OK\r\nX-Id: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n" + More +
         "\r\n" + Body;
}

AttemptSpec makeSpec(const std::string &Id) {
  AttemptSpec Spec;
  Spec.Bytes_ = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  Spec.ConnectTimeout_ = seconds(10);
  Spec.MaxIdleTime_ = seconds(10);
  Spec.Matcher_ = [Id](const ResponseMessage &Response, bool) {
    std::string ReceivedId(Response["X-Id"]);
    if (ReceivedId == Id)
      return ResponseMatch::Matching;
    return ReceivedId.empty() ? ResponseMatch::Invalid
                              : ResponseMatch::OtherRequest;
  };
  return Spec;
}

/// A client that writes raw bytes and collects those that it receives.
struct RawClient {
  RawClient(boost::asio::io_context &Loop, const std::string &Address)
      : Socket_(Loop) {
    Socket_.connect(*parseEndpoint(Address));
    read();
  }

  void write(const std::string &Bytes) {
    boost::asio::write(Socket_, boost::asio::buffer(Bytes));
  }

  void read() {
    Socket_.async_read_some(boost::asio::buffer(Chunk_),
                            [this](error_code Error, size_t Count) {
                              Received_.append(Chunk_.data(), Count);
                              IsEnded_ = bool(Error);
                              if (!Error)
                                read();
                            });
  }

  tcp::socket Socket_;             ///< Connection to the ingress.
  std::array<char, 4096> Chunk_{}; ///< Buffer for the next read.
  std::string Received_;           ///< All bytes received.
  bool IsEnded_ = false;           ///< Whether the server has closed.
};

/// An ingress server whose handler stores the requests.
struct IngressFixture {
  explicit IngressFixture(boost::asio::io_context &Loop)
      : Server_(Loop, [this](const IngressExchangePtr &Exchange) {
          Open_.push_back(Exchange);
        }) {
    Reason Why;
    REQUIRE(Server_.open("127.0.0.1:0", Why));
  }

  std::vector<IngressExchangePtr> Open_; ///< Requests in the order of arrival.
  IngressServer Server_;                 ///< Server under test.
};

std::string makeGet(const std::string &Path, const std::string &More = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: x\r\n" + More + "\r\n";
}

} // namespace

TEST_CASE("server connection: a complete response is delivered and its "
          "connection reused") {
  boost::asio::io_context Loop;
  ScriptedServer Server(
      Loop, {{makeResponseBytes("1", "one")}, {makeResponseBytes("2", "two")}});
  ConnectionPool Pool(Loop);
  AttemptResult First =
      sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("1"));
  CHECK(First.Status_ == AttemptStatus::Answered);
  CHECK(First.Response_.body() == "one");
  CHECK_FALSE(First.IsConnectionReused_);
  CHECK(First.ConnectTime_);
  AttemptResult Second =
      sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("2"));
  CHECK(Second.Response_.body() == "two");
  CHECK(Second.IsConnectionReused_);
  CHECK(Server.Connections_ == 1);
}

TEST_CASE(
    "server connection: an extra response to another request is skipped") {
  boost::asio::io_context Loop;
  ScriptedServer Server(
      Loop, {{makeResponseBytes("0", "old") + makeResponseBytes("1", "one")}});
  ConnectionPool Pool(Loop);
  AttemptResult End =
      sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("1"));
  CHECK(End.Status_ == AttemptStatus::Answered);
  CHECK(End.Response_.body() == "one");
}

TEST_CASE("server connection: bytes after a response close the connection") {
  boost::asio::io_context Loop;
  for (const std::string &Extra :
       {makeResponseBytes("1", "again"), std::string("garbage")}) {
    ScriptedServer Server(Loop, {{makeResponseBytes("1", "one") + Extra},
                                 {makeResponseBytes("2", "two")}});
    ConnectionPool Pool(Loop);
    CHECK(sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("1"))
              .Response_.body() == "one");
    AttemptResult Second =
        sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("2"));
    CHECK(Second.Response_.body() == "two");
    CHECK(Server.Connections_ == 2);
  }
}

TEST_CASE(
    "server connection: every kind of broken response has its own status") {
  struct Case {
    const char *Name_;
    ScriptedServer::Step Step_;
    AttemptStatus End_;
  };
  const Case Cases[] = {
      {"closed without a byte", {"", true, false}, AttemptStatus::Broken},
      {"reset without a byte", {"", false, true}, AttemptStatus::Broken},
      {"cut in its head",
       {"HTTP/1.1 200 O", true, false},
       AttemptStatus::Truncated},
      {"cut in its body",
       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf", true,
        false},
       AttemptStatus::Truncated},
      {"cut in a chunk",
       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n"
        "half",
        true, false},
       AttemptStatus::Truncated},
      {"no answer at all",
       {"nonsense\r\n\r\n", true, false},
       AttemptStatus::Garbled},
      {"without an id",
       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, false},
       AttemptStatus::Garbled},
      {"without a length, reset",
       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhalf", false, true},
       AttemptStatus::Truncated},
      {"without a length, closed",
       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole", true, false},
       AttemptStatus::Answered},
      {"chunked",
       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n"
        "whole\r\n0\r\n\r\n",
        false, false},
       AttemptStatus::Answered},
      {"after an interim answer",
       {"HTTP/1.1 103 Early\r\n\r\n" + makeResponseBytes("1", "whole"), false,
        false},
       AttemptStatus::Answered},
  };
  for (const Case &Each : Cases) {
    INFO(Each.Name_);
    boost::asio::io_context Loop;
    ScriptedServer Server(Loop, {Each.Step_});
    ConnectionPool Pool(Loop);
    AttemptResult End =
        sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("1"));
    CHECK(End.Status_ == Each.End_);
    if (Each.End_ == AttemptStatus::Answered)
      CHECK(End.Response_.body() == "whole");
  }
}

// Guards against a head without its end that counts as a whole response.
TEST_CASE("report: a response that ends in its head isn't complete, wherever "
          "it is cut") {
  const std::string Fields = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
  const std::string Interim = "HTTP/1.1 103 Early\r\nX: y\r\n\r\n";
  for (const std::string &Head :
       {Fields + "Content-Length: 0\r\n\r\n",
        Fields + "Content-Length: 12\r\n\r\n",
        Fields + "Transfer-Encoding: chunked\r\n\r\n",
        Fields + "Connection: close\r\n\r\n", Fields + "\r\n",
        Interim + Fields + "\r\n",
        std::string("HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n"),
        std::string("HTTP/1.1 204 None\r\nX-Id: 1\r\n\r\n")})
    for (size_t Size = 0; Size < Head.size(); ++Size) {
      CAPTURE(Head, Size);
      boost::asio::io_context Loop;
      ScriptedServer Server(Loop, {{Head.substr(0, Size), true, false}});
      ConnectionPool Pool(Loop);
      AttemptResult End =
          sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("1"));
      CHECK(End.Status_ != AttemptStatus::Answered);
    }
}

TEST_CASE("report: a response that ends in its body isn't complete if its "
          "length is known") {
  const std::string Fields = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
  for (const std::string &Response :
       {Fields + "Content-Length: 5\r\n\r\nwhole",
        Fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"})
    for (size_t Size = Response.find("\r\n\r\n") + 4; Size < Response.size();
         ++Size) {
      CAPTURE(Response, Size);
      boost::asio::io_context Loop;
      ScriptedServer Server(Loop, {{Response.substr(0, Size), true, false}});
      ConnectionPool Pool(Loop);
      AttemptResult End =
          sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("1"));
      CHECK(End.Status_ == AttemptStatus::Truncated);
    }
}

TEST_CASE(
    "server connection: a connection that the server closed is not reused") {
  boost::asio::io_context Loop;
  ScriptedServer Server(
      Loop, {{makeResponseBytes("1", "one"), true, false},
             {makeResponseBytes("2", "two", "Connection: close\r\n")},
             {makeResponseBytes("3", "three")}});
  ConnectionPool Pool(Loop);
  sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("1"));
  // Lets the idle connection notice the close.
  Loop.restart();
  Loop.run_for(milliseconds(50));
  CHECK(sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("2"))
            .Response_.body() == "two");
  CHECK(sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("3"))
            .Response_.body() == "three");
  CHECK(Server.Connections_ == 3);
}

// Guards against a request that reaches a server after it was given up.
TEST_CASE("server connection: a request that is given up is reset, others end "
          "in order") {
  enum class End { Cancelled, Garbled, Answered };
  for (End Kind : {End::Cancelled, End::Garbled, End::Answered}) {
    INFO(static_cast<int>(Kind));
    boost::asio::io_context Loop;
    tcp::acceptor Acceptor(
        Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    ConnectionPool Pool(Loop);
    AttemptSpec Spec = makeSpec("1");
    // More than the kernel takes, unless the response is waited for.
    constexpr size_t Huge = size_t(64) << 20;
    if (Kind == End::Cancelled)
      Spec.Bytes_.append(Huge, 'x');
    std::optional<AttemptResult> Result;
    AttemptHandle Handle =
        Pool.send("server", Acceptor.local_endpoint(), std::move(Spec),
                  [&](AttemptResult Got) { Result = std::move(Got); });
    std::optional<tcp::socket> Server;
    Acceptor.async_accept([&](error_code Error, tcp::socket Socket) {
      REQUIRE_FALSE(Error);
      Server.emplace(std::move(Socket));
    });
    REQUIRE(runUntil(Loop, [&] { return Server.has_value(); }));
    REQUIRE(runUntil(Loop, [&] { return Server->available() > 0; }));
    std::string Received(4096, ' ');
    REQUIRE(Server->read_some(boost::asio::buffer(Received)) > 0);
    if (Kind == End::Cancelled)
      Handle.cancel();
    else if (Kind == End::Garbled)
      boost::asio::write(*Server,
                         boost::asio::buffer(std::string("nonsense\r\n\r\n")));
    else if (Kind == End::Answered)
      boost::asio::write(*Server, boost::asio::buffer(makeResponseBytes(
                                      "1", "one", "Connection: close\r\n")));
    if (Kind != End::Cancelled)
      REQUIRE(runUntil(Loop, [&] { return Result.has_value(); }));
    Loop.restart();
    Loop.poll();
    size_t Count = 0;
    error_code Error;
    while (!Error && Count < Huge)
      Count += Server->read_some(boost::asio::buffer(Received), Error);
    CHECK(Count < Huge);
    CHECK(Error == (Kind == End::Answered
                        ? error_code(boost::asio::error::eof)
                        : error_code(boost::asio::error::connection_reset)));
  }
}

// Guards against a request that races with the server's close.
TEST_CASE("server connection: an idle timeout that the server names is kept") {
  for (const auto &[Field, IsReused] :
       {std::pair<std::string, bool>{"Keep-Alive: timeout=0\r\n", false},
        {"Keep-Alive: max=1000000000000, timeout=0\r\n", false},
        {"Keep-Alive: timeout=0, max=1000000000000\r\n", false},
        {"Keep-Alive: max=1000000000000; Timeout = 0\r\n", false},
        {"Keep-Alive: max=1000000000000\r\nKeep-Alive: timeout=0\r\n", false},
        {"Keep-Alive: timeout=60, max=1000000000000\r\n", true},
        {"Keep-Alive: timeout=soon, x-timeout=0\r\n", true}}) {
    INFO(Field);
    boost::asio::io_context Loop;
    ScriptedServer Server(Loop, {{makeResponseBytes("1", "one", Field)},
                                 {makeResponseBytes("2", "two")}});
    ConnectionPool Pool(Loop);
    sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("1"));
    CHECK(sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("2"))
              .IsConnectionReused_ == IsReused);
  }
}

TEST_CASE(
    "server connection: a refused connect is reported as a connect reset") {
  boost::asio::io_context Loop;
  tcp::acceptor Closed(
      Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  tcp::endpoint Endpoint = Closed.local_endpoint();
  Closed.close();
  ConnectionPool Pool(Loop);
  CHECK(sendAttempt(Loop, Pool, Endpoint, makeSpec("1")).Status_ ==
        AttemptStatus::ConnectReset);
}

TEST_CASE("server connection: a sent request is never reported as not sent") {
  // The loop does not run until both the connect and its timeout are due.
  boost::asio::io_context Loop;
  ScriptedServer Server(Loop, {{makeResponseBytes("1", "one")}});
  ConnectionPool Pool(Loop);
  AttemptSpec Spec = makeSpec("1");
  Spec.ConnectTimeout_ = milliseconds(5);
  std::optional<AttemptResult> End;
  Pool.send("server", Server.getEndpoint(), std::move(Spec),
            [&End](AttemptResult Result) { End = std::move(Result); });
  Time Due = getNow() + milliseconds(20);
  while (getNow() < Due) {
  }
  REQUIRE(runUntil(Loop, [&End] { return End.has_value(); }));
  Loop.restart();
  Loop.run_for(milliseconds(50));
  if (End->Status_ == AttemptStatus::ConnectFailed)
    CHECK(Server.Requests_ == 0);
  else
    CHECK(End->Status_ == AttemptStatus::Answered);
}

TEST_CASE("ingress: pipelined requests are read ahead and answered in order") {
  boost::asio::io_context Loop;
  IngressFixture Ingress(Loop);
  RawClient Client(Loop, Ingress.Server_.getAddress());
  Client.write(makeGet("/1") + makeGet("/2") + makeGet("/3"));
  REQUIRE(runUntil(Loop, [&] { return Ingress.Open_.size() == 3; }));
  Ingress.Open_[2]->respond(makeResponse(200, "third"));
  Ingress.Open_[1]->respond(makeResponse(200, "second"));
  Loop.restart();
  Loop.run_for(milliseconds(20));
  CHECK(Client.Received_.empty());
  Ingress.Open_[0]->respond(makeResponse(200, "first"));
  REQUIRE(runUntil(Loop, [&] {
    return Client.Received_.find("third") != std::string::npos;
  }));
  CHECK(Client.Received_.find("first") < Client.Received_.find("second"));
  CHECK(Client.Received_.find("second") < Client.Received_.find("third"));
  CHECK_FALSE(Client.IsEnded_);
}

TEST_CASE("ingress: bodies with a length and chunked bodies are read") {
  boost::asio::io_context Loop;
  IngressFixture Ingress(Loop);
  RawClient Client(Loop, Ingress.Server_.getAddress());
  Client.write("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
               "PUT /2 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
               "\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
  REQUIRE(runUntil(Loop, [&] { return Ingress.Open_.size() == 2; }));
  for (const IngressExchangePtr &Each : Ingress.Open_) {
    CHECK(Each->getMessage().body() == "hello");
    eraseHopByHopFields(Each->getMessage());
    std::string Bytes = serializeRequest(Each->getMessage());
    CHECK(Bytes.find("Content-Length: 5\r\n") != std::string::npos);
    CHECK(Bytes.find("chunked") == std::string::npos);
  }
}

TEST_CASE(
    "ingress: a client's disconnect is reported while its requests wait") {
  boost::asio::io_context Loop;
  IngressFixture Ingress(Loop);
  auto Client = std::make_unique<RawClient>(Loop, Ingress.Server_.getAddress());
  Client->write(makeGet("/1") + makeGet("/2"));
  REQUIRE(runUntil(Loop, [&] { return Ingress.Open_.size() == 2; }));
  int Disconnects = 0;
  for (const IngressExchangePtr &Each : Ingress.Open_)
    Each->setDisconnectHandler([&Disconnects] { ++Disconnects; });
  Client->Socket_.close();
  CHECK(runUntil(Loop, [&] { return Disconnects == 2; }));
  CHECK(Ingress.Server_.getConnectionCount() == 0);
  Ingress.Open_[0]->respond(makeResponse(200, "late"));
}

TEST_CASE("ingress: limits on a request are enforced") {
  boost::asio::io_context Loop;
  struct Case {
    std::string Bytes_;
    const char *Status_;
  };
  const Case Cases[] = {
      {makeGet("/", "X-Long: " + std::string(3000, 'a') + "\r\n"), "431"},
      {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n", "413"},
      {"nonsense\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
       "Content-Length: 4\r\n\r\nabc",
       "400"},
  };
  for (const Case &Each : Cases) {
    INFO(Each.Bytes_.substr(0, 80));
    IngressFixture Ingress(Loop);
    IngressLimits Limits;
    Limits.MaxHeaderBytes_ = 1000;
    Limits.MaxBodyBytes_ = 1000;
    Ingress.Server_.setLimits(Limits);
    RawClient Client(Loop, Ingress.Server_.getAddress());
    Client.write(Each.Bytes_);
    REQUIRE(runUntil(Loop, [&] { return Client.IsEnded_; }));
    CHECK(Client.Received_.find(std::string("HTTP/1.1 ") + Each.Status_) == 0);
    CHECK(Ingress.Open_.empty());
  }
}

TEST_CASE("ingress: slow request heads and idle connections time out") {
  boost::asio::io_context Loop;
  IngressFixture Ingress(Loop);
  IngressLimits Limits;
  Limits.HeaderTimeout_ = milliseconds(50);
  Limits.IdleTimeout_ = milliseconds(50);
  Ingress.Server_.setLimits(Limits);
  RawClient Slow(Loop, Ingress.Server_.getAddress());
  RawClient Idle(Loop, Ingress.Server_.getAddress());
  Slow.write("GET / HT");
  REQUIRE(runUntil(Loop, [&] { return Slow.IsEnded_ && Idle.IsEnded_; }));
  CHECK(Slow.Received_.find("HTTP/1.1 408") == 0);
  CHECK(Idle.Received_.empty());
}

TEST_CASE("ingress: a drain closes a connection after its last response only") {
  boost::asio::io_context Loop;
  IngressFixture Ingress(Loop);
  RawClient Client(Loop, Ingress.Server_.getAddress());
  Client.write(makeGet("/1") + makeGet("/2"));
  REQUIRE(runUntil(Loop, [&] { return Ingress.Open_.size() == 2; }));
  Ingress.Server_.startDrain();
  Ingress.Open_[0]->respond(makeResponse(200, "first"));
  REQUIRE(runUntil(Loop, [&] {
    return Client.Received_.find("first") != std::string::npos;
  }));
  CHECK(Client.Received_.find("Connection: close") == std::string::npos);
  Ingress.Open_[1]->respond(makeResponse(200, "second"));
  REQUIRE(runUntil(Loop, [&] { return Client.IsEnded_; }));
  CHECK(Client.Received_.find("second") != std::string::npos);
  CHECK(Client.Received_.find("Connection: close") != std::string::npos);
}

TEST_CASE(
    "ingress: the connection is closed after a request that asks for it") {
  boost::asio::io_context Loop;
  IngressFixture Ingress(Loop);
  RawClient Client(Loop, Ingress.Server_.getAddress());
  Client.write(makeGet("/1", "Connection: close\r\n"));
  REQUIRE(runUntil(Loop, [&] { return Ingress.Open_.size() == 1; }));
  Ingress.Open_[0]->respond(makeResponse(200, "only"));
  REQUIRE(runUntil(Loop, [&] { return Client.IsEnded_; }));
  CHECK(Client.Received_.find("only") != std::string::npos);
}

TEST_CASE("hop-by-hop header fields are not forwarded") {
  RequestMessage Message;
  Message.set("Connection", "close, X-Private");
  Message.set("X-Private", "1");
  Message.set("Keep-Alive", "timeout=5");
  Message.set("TE", "trailers");
  Message.set("X-Kept", "1");
  eraseHopByHopFields(Message);
  CHECK(std::distance(Message.begin(), Message.end()) == 1);
  CHECK(Message["X-Kept"] == "1");
}

TEST_CASE("ingress: a request that states a huge length is answered 413") {
  for (const char *Length :
       {"67108865", "999999999999", "9223372036854775807"}) {
    CAPTURE(Length);
    boost::asio::io_context Loop;
    IngressFixture Ingress(Loop);
    RawClient Client(Loop, Ingress.Server_.getAddress());
    Client.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                 std::string(Length) + "\r\n\r\nbody");
    CHECK(runUntil(
        Loop, [&] { return Client.Received_.starts_with("HTTP/1.1 413"); }));
  }
}
