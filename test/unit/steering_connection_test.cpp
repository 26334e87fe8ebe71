/// \file steering_connection_test.cpp Connections to clients and to servers.
#include "net/connection_pool_base.h"
#include "net/http_message_func.h"
#include "net/ingress_server_base.h"

#include <catch2/catch.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <deque>

using namespace cranberry;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Longest that any test runs a loop; conditions end it far sooner.
constexpr Duration Patience = seconds(20);

/// Runs a loop until a condition holds.
template <typename F>
bool runUntil(boost::asio::io_context &Loop, F Condition) {
  Time End = getNow() + Patience;
  while (!Condition() && getNow() < End) {
    Loop.restart();
    Loop.run_one_for(milliseconds(5));
  }
  return Condition();
}

/// A server that answers each request head with the next of its scripts.
class ScriptedPeer {
public:
  /// What is sent for one request, and whether the connection then ends.
  struct Step {
    std::string Bytes_;   ///< Bytes.
    bool Closes_ = false; ///< Orderly close afterwards.
    bool Resets_ = false; ///< Reset afterwards.
  };

  ScriptedPeer(boost::asio::io_context &Loop, std::deque<Step> Steps)
      : Acceptor_(Loop,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        Steps_(std::move(Steps)) {
    accept();
  }

  tcp::endpoint getEndpoint() const { return Acceptor_.local_endpoint(); }

  int Connections_ = 0; ///< Accepted so far.
  int Requests_ = 0;    ///< Heads read so far.

private:
  struct Session {
    explicit Session(tcp::socket Socket) : Socket_(std::move(Socket)) {}
    tcp::socket Socket_; ///< Socket.
    std::string Input_;  ///< Read.
    std::string Output_; ///< Being written.
  };

  void accept() {
    Acceptor_.async_accept([this](error_code Error, tcp::socket Socket) {
      if (Error)
        return;
      ++Connections_;
      serve(std::make_shared<Session>(std::move(Socket)));
      accept();
    });
  }

  void serve(const std::shared_ptr<Session> &Open) {
    boost::asio::async_read_until(
        Open->Socket_, boost::asio::dynamic_buffer(Open->Input_), "\r\n\r\n",
        [this, Open](error_code Error, size_t Count) {
          if (Error || Steps_.empty())
            return;
          Open->Input_.erase(0, Count);
          ++Requests_;
          Step Next = Steps_.front();
          Steps_.pop_front();
          Open->Output_ = Next.Bytes_;
          boost::asio::async_write(
              Open->Socket_, boost::asio::buffer(Open->Output_),
              [this, Open, Next](error_code Failed, size_t) {
                if (Next.Resets_)
                  Open->Socket_.set_option(
                      boost::asio::socket_base::linger(true, 0));
                if (Failed || Next.Closes_ || Next.Resets_)
                  Open->Socket_.close();
                else
                  serve(Open);
              });
        });
  }

  tcp::acceptor Acceptor_; ///< Listens.
  std::deque<Step> Steps_; ///< What is still to be sent.
};

std::string makeAnswer(const std::string &Id, const std::string &Body,
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
  Spec.Matcher_ = [Id](const ResponseMessage &Response) {
    std::string Told(Response["X-Id"]);
    if (Told == Id)
      return ResponseMatch::Matching;
    return Told.empty() ? ResponseMatch::Invalid : ResponseMatch::OtherRequest;
  };
  return Spec;
}

/// Sends a request and waits for its end.
AttemptResult send(boost::asio::io_context &Loop, ConnectionPool &Pool,
                   const tcp::endpoint &Server, AttemptSpec Spec) {
  std::optional<AttemptResult> End;
  Pool.send("server", Server, std::move(Spec),
            [&End](AttemptResult Result) { End = std::move(Result); });
  REQUIRE(runUntil(Loop, [&End] { return End.has_value(); }));
  return std::move(*End);
}

/// A client that writes bytes and collects what comes.
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

  tcp::socket Socket_;             ///< Socket.
  std::array<char, 4096> Chunk_{}; ///< Being read.
  std::string Received_;           ///< All that came.
  bool IsEnded_ = false;           ///< The server has closed.
};

/// An ingress whose handler keeps the requests.
struct Ingress {
  explicit Ingress(boost::asio::io_context &Loop)
      : Server_(Loop, [this](const IngressExchangePtr &Exchange) {
          Open_.push_back(Exchange);
        }) {
    Reason Why;
    REQUIRE(Server_.open("127.0.0.1:0", Why));
  }

  std::vector<IngressExchangePtr> Open_; ///< In the order of arrival.
  IngressServer Server_;                 ///< Under test.
};

std::string makeGet(const std::string &Path, const std::string &More = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: x\r\n" + More + "\r\n";
}

} // namespace

TEST_CASE("server connection: a whole answer is delivered and reused") {
  boost::asio::io_context Loop;
  ScriptedPeer Peer(Loop, {{makeAnswer("1", "one")}, {makeAnswer("2", "two")}});
  ConnectionPool Pool(Loop);
  AttemptResult First = send(Loop, Pool, Peer.getEndpoint(), makeSpec("1"));
  CHECK(First.Status_ == AttemptStatus::Answered);
  CHECK(First.Response_.body() == "one");
  CHECK_FALSE(First.IsConnectionReused_);
  CHECK(First.ConnectTime_);
  AttemptResult Second = send(Loop, Pool, Peer.getEndpoint(), makeSpec("2"));
  CHECK(Second.Response_.body() == "two");
  CHECK(Second.IsConnectionReused_);
  CHECK(Peer.Connections_ == 1);
}

TEST_CASE("server connection: an extra answer to another request is skipped") {
  boost::asio::io_context Loop;
  ScriptedPeer Peer(Loop, {{makeAnswer("0", "old") + makeAnswer("1", "one")}});
  ConnectionPool Pool(Loop);
  AttemptResult End = send(Loop, Pool, Peer.getEndpoint(), makeSpec("1"));
  CHECK(End.Status_ == AttemptStatus::Answered);
  CHECK(End.Response_.body() == "one");
}

TEST_CASE("server connection: bytes behind an answer end the connection") {
  boost::asio::io_context Loop;
  for (const std::string &Extra :
       {makeAnswer("1", "again"), std::string("garbage")}) {
    ScriptedPeer Peer(
        Loop, {{makeAnswer("1", "one") + Extra}, {makeAnswer("2", "two")}});
    ConnectionPool Pool(Loop);
    CHECK(
        send(Loop, Pool, Peer.getEndpoint(), makeSpec("1")).Response_.body() ==
        "one");
    AttemptResult Second = send(Loop, Pool, Peer.getEndpoint(), makeSpec("2"));
    CHECK(Second.Response_.body() == "two");
    CHECK(Peer.Connections_ == 2);
  }
}

TEST_CASE("server connection: every broken answer is told apart") {
  struct Row {
    const char *Name_;
    ScriptedPeer::Step Step_;
    AttemptStatus End_;
  };
  const Row Rows[] = {
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
       {"HTTP/1.1 103 Early\r\n\r\n" + makeAnswer("1", "whole"), false, false},
       AttemptStatus::Answered},
  };
  for (const Row &Each : Rows) {
    INFO(Each.Name_);
    boost::asio::io_context Loop;
    ScriptedPeer Peer(Loop, {Each.Step_});
    ConnectionPool Pool(Loop);
    AttemptResult End = send(Loop, Pool, Peer.getEndpoint(), makeSpec("1"));
    CHECK(End.Status_ == Each.End_);
    if (Each.End_ == AttemptStatus::Answered)
      CHECK(End.Response_.body() == "whole");
  }
}

TEST_CASE("server connection: one that the server closed is not reused") {
  boost::asio::io_context Loop;
  ScriptedPeer Peer(Loop, {{makeAnswer("1", "one"), true, false},
                           {makeAnswer("2", "two", "Connection: close\r\n")},
                           {makeAnswer("3", "three")}});
  ConnectionPool Pool(Loop);
  send(Loop, Pool, Peer.getEndpoint(), makeSpec("1"));
  // The close reaches the idle connection within a turn of the loop.
  Loop.restart();
  Loop.run_for(milliseconds(50));
  CHECK(send(Loop, Pool, Peer.getEndpoint(), makeSpec("2")).Response_.body() ==
        "two");
  CHECK(send(Loop, Pool, Peer.getEndpoint(), makeSpec("3")).Response_.body() ==
        "three");
  CHECK(Peer.Connections_ == 3);
}

TEST_CASE("server connection: no byte is sent where none can connect") {
  boost::asio::io_context Loop;
  tcp::acceptor Closed(
      Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  tcp::endpoint Endpoint = Closed.local_endpoint();
  Closed.close();
  ConnectionPool Pool(Loop);
  CHECK(send(Loop, Pool, Endpoint, makeSpec("1")).Status_ ==
        AttemptStatus::ConnectReset);
}

TEST_CASE("server connection: a sent request is never told as not sent") {
  // The loop stands still until both the connection and its timer are due.
  boost::asio::io_context Loop;
  ScriptedPeer Peer(Loop, {{makeAnswer("1", "one")}});
  ConnectionPool Pool(Loop);
  AttemptSpec Spec = makeSpec("1");
  Spec.ConnectTimeout_ = milliseconds(5);
  std::optional<AttemptResult> End;
  Pool.send("server", Peer.getEndpoint(), std::move(Spec),
            [&End](AttemptResult Result) { End = std::move(Result); });
  Time Due = getNow() + milliseconds(20);
  while (getNow() < Due) {
  }
  REQUIRE(runUntil(Loop, [&End] { return End.has_value(); }));
  Loop.restart();
  Loop.run_for(milliseconds(50));
  if (End->Status_ == AttemptStatus::ConnectFailed)
    CHECK(Peer.Requests_ == 0);
  else
    CHECK(End->Status_ == AttemptStatus::Answered);
}

TEST_CASE("ingress: requests are read ahead and answered in order") {
  boost::asio::io_context Loop;
  Ingress Ports(Loop);
  RawClient Client(Loop, Ports.Server_.getAddress());
  Client.write(makeGet("/1") + makeGet("/2") + makeGet("/3"));
  REQUIRE(runUntil(Loop, [&] { return Ports.Open_.size() == 3; }));
  Ports.Open_[2]->respond(makeResponse(200, "third"));
  Ports.Open_[1]->respond(makeResponse(200, "second"));
  Loop.restart();
  Loop.run_for(milliseconds(20));
  CHECK(Client.Received_.empty());
  Ports.Open_[0]->respond(makeResponse(200, "first"));
  REQUIRE(runUntil(Loop, [&] {
    return Client.Received_.find("third") != std::string::npos;
  }));
  CHECK(Client.Received_.find("first") < Client.Received_.find("second"));
  CHECK(Client.Received_.find("second") < Client.Received_.find("third"));
  CHECK_FALSE(Client.IsEnded_);
}

TEST_CASE("ingress: bodies come with a length or in chunks") {
  boost::asio::io_context Loop;
  Ingress Ports(Loop);
  RawClient Client(Loop, Ports.Server_.getAddress());
  Client.write("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
               "PUT /2 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
               "\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
  REQUIRE(runUntil(Loop, [&] { return Ports.Open_.size() == 2; }));
  for (const IngressExchangePtr &Each : Ports.Open_) {
    CHECK(Each->getMessage().body() == "hello");
    eraseHopByHopFields(Each->getMessage());
    std::string Bytes = serializeRequest(Each->getMessage());
    CHECK(Bytes.find("Content-Length: 5\r\n") != std::string::npos);
    CHECK(Bytes.find("chunked") == std::string::npos);
  }
}

TEST_CASE("ingress: a client's leaving is told while its requests wait") {
  boost::asio::io_context Loop;
  Ingress Ports(Loop);
  auto Client = std::make_unique<RawClient>(Loop, Ports.Server_.getAddress());
  Client->write(makeGet("/1") + makeGet("/2"));
  REQUIRE(runUntil(Loop, [&] { return Ports.Open_.size() == 2; }));
  int Gone = 0;
  for (const IngressExchangePtr &Each : Ports.Open_)
    Each->setDisconnectHandler([&Gone] { ++Gone; });
  Client->Socket_.close();
  CHECK(runUntil(Loop, [&] { return Gone == 2; }));
  CHECK(Ports.Server_.getConnectionCount() == 0);
  Ports.Open_[0]->respond(makeResponse(200, "late"));
}

TEST_CASE("ingress: limits on a request are enforced") {
  boost::asio::io_context Loop;
  struct Row {
    std::string Bytes_;
    const char *Status_;
  };
  const Row Rows[] = {
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
  for (const Row &Each : Rows) {
    INFO(Each.Bytes_.substr(0, 80));
    Ingress Ports(Loop);
    IngressLimits Limits;
    Limits.MaxHeaderBytes_ = 1000;
    Limits.MaxBodyBytes_ = 1000;
    Ports.Server_.setLimits(Limits);
    RawClient Client(Loop, Ports.Server_.getAddress());
    Client.write(Each.Bytes_);
    REQUIRE(runUntil(Loop, [&] { return Client.IsEnded_; }));
    CHECK(Client.Received_.find(std::string("HTTP/1.1 ") + Each.Status_) == 0);
    CHECK(Ports.Open_.empty());
  }
}

TEST_CASE("ingress: slow heads and idle connections are ended") {
  boost::asio::io_context Loop;
  Ingress Ports(Loop);
  IngressLimits Limits;
  Limits.HeaderTimeout_ = milliseconds(50);
  Limits.IdleTimeout_ = milliseconds(50);
  Ports.Server_.setLimits(Limits);
  RawClient Slow(Loop, Ports.Server_.getAddress());
  RawClient Idle(Loop, Ports.Server_.getAddress());
  Slow.write("GET / HT");
  REQUIRE(runUntil(Loop, [&] { return Slow.IsEnded_ && Idle.IsEnded_; }));
  CHECK(Slow.Received_.find("HTTP/1.1 408") == 0);
  CHECK(Idle.Received_.empty());
}

TEST_CASE("ingress: a drain closes behind the last answer only") {
  boost::asio::io_context Loop;
  Ingress Ports(Loop);
  RawClient Client(Loop, Ports.Server_.getAddress());
  Client.write(makeGet("/1") + makeGet("/2"));
  REQUIRE(runUntil(Loop, [&] { return Ports.Open_.size() == 2; }));
  Ports.Server_.startDrain();
  Ports.Open_[0]->respond(makeResponse(200, "first"));
  REQUIRE(runUntil(Loop, [&] {
    return Client.Received_.find("first") != std::string::npos;
  }));
  CHECK(Client.Received_.find("Connection: close") == std::string::npos);
  Ports.Open_[1]->respond(makeResponse(200, "second"));
  REQUIRE(runUntil(Loop, [&] { return Client.IsEnded_; }));
  CHECK(Client.Received_.find("second") != std::string::npos);
  CHECK(Client.Received_.find("Connection: close") != std::string::npos);
}

TEST_CASE("ingress: a request that asks for a close gets it") {
  boost::asio::io_context Loop;
  Ingress Ports(Loop);
  RawClient Client(Loop, Ports.Server_.getAddress());
  Client.write(makeGet("/1", "Connection: close\r\n"));
  REQUIRE(runUntil(Loop, [&] { return Ports.Open_.size() == 1; }));
  Ports.Open_[0]->respond(makeResponse(200, "only"));
  REQUIRE(runUntil(Loop, [&] { return Client.IsEnded_; }));
  CHECK(Client.Received_.find("only") != std::string::npos);
}

TEST_CASE("hop-by-hop fields are not passed on") {
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
