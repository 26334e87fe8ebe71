/// \file message_framing_test.cpp Each message has one reading (RFC 9112).
#include "net/http_message_func.h"
#include "net/ingress_server_base.h"
#include "net/message_reader_base.h"
#include "platform/decode_func.h"
#include "test/support/scripted_server_base.h"

#include <catch2/catch.hpp>

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

#include <random>

using namespace cranberry;
using namespace cranberry::test;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

const std::string Inner = "PUT /inner HTTP/1.1\r\nHost: x\r\n"
                          "Content-Length: 0\r\n\r\n";
constexpr MessageLimits Limits{2000, 1000};

/// A message and how it is read. Cases are named as in docs/PROMISES.md.
struct Case {
  std::string Name_;
  std::string Bytes_;
  unsigned Status_ = 0; ///< Status of the error, or 0.
  std::string Body_;    ///< Body, if there is no error.
};

std::string makePut(const std::string &Fields, const std::string &Body = "") {
  return "PUT /a HTTP/1.1\r\nHost: x\r\n" + Fields + "\r\n" + Body;
}

std::string makeChunked(const std::string &Body) {
  return makePut("Transfer-Encoding: chunked\r\n", Body);
}

std::vector<Case> makeRequestCases() {
  std::vector<Case> Result = {
      {"no body", makePut(""), 0, ""},
      {"length", makePut("Content-Length: 3\r\n", "abc"), 0, "abc"},
      {"zeros in front", makePut("Content-Length: 003\r\n", "abc"), 0, "abc"},
      {"same length twice",
       makePut("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), 400},
      {"other length twice",
       makePut("Content-Length: 3\r\ncontent-length: 0\r\n", "abc"), 400},
      {"huge length", makePut("Content-Length: 1001\r\n"), 413},
      {"chunks", makeChunked("3\r\nabc\r\n1;x=\"y\"\r\nd\r\n0\r\n\r\n"), 0,
       "abcd"},
      {"whitespace before an extension",
       makeChunked("3 \t;x\r\nabc\r\n0\r\n\r\n"), 0, "abc"},
      {"zeros in front of a chunk size",
       makeChunked("0003\r\nabc\r\n000\r\n\r\n"), 0, "abc"},
      {"trailer dropped",
       makeChunked("0\r\nContent-Length: 9\r\nAuthorization: Bearer k\r\n"
                   "Transfer-Encoding: gzip\r\nHost: y\r\n\r\n"),
       0, ""},
      {"obs-fold in a trailer", makeChunked("0\r\nA: b\r\n c\r\n\r\n"), 400},
      {"space before a trailer's colon", makeChunked("0\r\nA : b\r\n\r\n"),
       400},
      {"bare line feed in a trailer", makeChunked("0\r\nA: b\n\r\n"), 400},
      {"huge trailer",
       makeChunked("0\r\nA: " + std::string(3000, 'b') + "\r\n\r\n"), 431},
      {"huge extension", makeChunked("1;" + std::string(3000, 'b') + "\r\n"),
       431},
      {"huge chunk", makeChunked("fffffff\r\n"), 413},
      {"chunk size beyond 64 bits", makeChunked("10000000000000003\r\nabc"),
       413},
      {"chunk size of zeros only",
       makeChunked(std::string(17, '0') + "\r\n\r\n"), 400},
      {"empty chunk size", makeChunked("\r\n"), 400},
      {"chunk longer than its size", makeChunked("3\r\nabcd\r\n0\r\n\r\n"),
       400},
      {"carriage return only after a chunk",
       makeChunked("3\r\nabc\rx0\r\n\r\n"), 400},
      {"bare line feed after a chunk", makeChunked("3\r\nabc\n0\r\n\r\n"), 400},
      {"bare line feed after a chunk size", makeChunked("3\nabc\r\n0\r\n\r\n"),
       400},
      {"bare line feed in an extension", makeChunked("3;x\nabc\r\n0\r\n\r\n"),
       400},
      {"carriage return in an extension",
       makeChunked("3;x\ry\r\nabc\r\n0\r\n\r\n"), 400},
      {"whitespace after a chunk size", makeChunked("3 \r\nabc\r\n0\r\n\r\n"),
       400},
      {"whitespace before a chunk size", makeChunked(" 3\r\nabc\r\n0\r\n\r\n"),
       400},
      {"chunked in other case",
       makePut("Transfer-Encoding: \tChunKed \r\n", "1\r\na\r\n0\r\n\r\n"), 0,
       "a"},
      {"transfer coding and length",
       makePut("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), 400},
      {"length and transfer coding",
       makePut("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"), 400},
      {"transfer coding and length, whole body",
       makePut("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
               "0\r\n\r\n"),
       400},
      {"other byte for the carriage return after a chunk",
       makeChunked("3\r\nabcx\n0\r\n\r\n"), 400},
      {"transfer coding in HTTP/1.0",
       "PUT /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {"two transfer codings in two fields",
       makePut("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"),
       400},
      {"chunked in two fields",
       makePut("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
       400},
      {"one Host with a port", makePut("X: y\r\n"), 0, ""},
      {"two Host fields", makePut("Host: x\r\n"), 400},
      {"no Host", "GET / HTTP/1.1\r\n\r\n", 400},
      {"no Host in HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", 0, ""},
      {"list in Host", "GET / HTTP/1.1\r\nHost: a, b\r\n\r\n", 400},
      {"path in Host", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 400},
      {"user in Host", "GET / HTTP/1.1\r\nHost: a@b\r\n\r\n", 400},
      {"empty line in front", "\r\n" + makePut(""), 0, ""},
      {"two empty lines in front", "\r\n\r\n" + makePut(""), 400},
      {"bare line feeds", "GET / HTTP/1.1\nHost: x\n\n", 400},
      {"one bare line feed", makePut("A: b\n"), 400},
      {"carriage return in a value", makePut("A: b\rC: d\r\n"), 400},
      {"two carriage returns", makePut("A: b\r\r\n"), 400},
      {"obs-fold", makePut("A: b\r\n c\r\n"), 400},
      {"obs-fold with a tab", makePut("A: b\r\n\tc\r\n"), 400},
      {"whitespace before the first field",
       "GET / HTTP/1.1\r\n Host: x\r\nHost: x\r\n\r\n", 400},
      {"space before the colon", makePut("Content-Length : 3\r\n", "abc"), 400},
      {"tab before the colon", makePut("Transfer-Encoding\t: chunked\r\n"),
       400},
      {"no colon", makePut("Content-Length\r\n"), 400},
      {"empty name", makePut(": x\r\n"), 400},
      {"NUL in a value", makePut(std::string("A: b\0c\r\n", 8)), 400},
      {"NUL in a name", makePut(std::string("A\0: c\r\n", 7)), 400},
      {"control byte in a value", makePut("A: \x01\r\n"), 400},
      {"delete byte in a value", makePut("A: \x7f\r\n"), 400},
      {"high bytes in a value", makePut("A: \xc3\xa9\r\n"), 0, ""},
      {"high bytes in a name", makePut("\xc3\xa9: b\r\n"), 400},
      {"huge head", makePut("A: " + std::string(3000, 'b') + "\r\n"), 431},
      {"absolute form", "GET http://y:80/b?c HTTP/1.1\r\nHost: x\r\n\r\n", 0,
       ""},
      {"absolute form with a user",
       "GET http://u@y/b HTTP/1.1\r\nHost: x\r\n\r\n", 400},
      {"absolute form of another scheme",
       "GET ftp://y/b HTTP/1.1\r\nHost: x\r\n\r\n", 400},
      {"absolute form without a host",
       "GET http:///b HTTP/1.1\r\nHost: x\r\n\r\n", 400},
      {"asterisk form", "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", 0, ""},
      {"asterisk form of GET", "GET * HTTP/1.1\r\nHost: x\r\n\r\n", 400},
      {"authority form", "GET x:80 HTTP/1.1\r\nHost: x\r\n\r\n", 400},
      {"CONNECT", "CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n", 501},
      {"space in the target", "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n", 400},
      {"two spaces", "GET  /a HTTP/1.1\r\nHost: x\r\n\r\n", 400},
      {"tab in the request line", "GET\t/a HTTP/1.1\r\nHost: x\r\n\r\n", 400},
      {"high bytes in the target", "GET /\xc3\xa9 HTTP/1.1\r\nHost: x\r\n\r\n",
       400},
      {"fragment in the target", "GET /a#b HTTP/1.1\r\nHost: x\r\n\r\n", 400},
      {"method that is no token", "G(T /a HTTP/1.1\r\nHost: x\r\n\r\n", 400},
      {"HTTP/0.9", "GET /a\r\nHost: x\r\n\r\n", 400},
      {"HTTP/1.2", "GET /a HTTP/1.2\r\nHost: x\r\n\r\n", 505},
      {"HTTP/2.0", "PRI * HTTP/2.0\r\n\r\n", 505},
      {"version in lower case", "GET /a http/1.1\r\nHost: x\r\n\r\n", 400},
      {"TRACE with a body",
       "TRACE /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na", 400},
      {"GET with a body",
       "GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na", 0, "a"},
  };
  for (const char *Length : {"+3", "-3", "3 3", "3,3", "3, 3", "0x3", "3.0", "",
                             " ", "3;", "\v3", "\"3\""})
    Result.push_back(
        {std::string("Content-Length ") + Length,
         makePut(std::string("Content-Length: ") + Length + "\r\n", "abc"),
         400});
  for (const char *Coding :
       {"gzip", "identity", "chunked, identity", "chunked, chunked",
        "chunked, gzip", "", ",", "chunked,", ",chunked", "chunked;q=1",
        "xchunked", "\"chunked\"", "chun ked", "\vchunked",
        "gzip, chunked, chunked"})
    Result.push_back(
        {std::string("Transfer-Encoding ") + Coding,
         makePut(std::string("Transfer-Encoding: ") + Coding + "\r\n", Inner),
         400});
  for (const char *Coding :
       {"gzip, chunked", "identity,chunked", "a;b=c, chunked"})
    Result.push_back(
        {std::string("Transfer-Encoding ") + Coding,
         makePut(std::string("Transfer-Encoding: ") + Coding + "\r\n", Inner),
         501});
  return Result;
}

/// Gives \p Bytes to \p Reader in pieces of random sizes.
/// \return The number of bytes used.
template <typename Reader>
size_t feed(Reader &Into, std::string_view Bytes, std::mt19937_64 &Random) {
  size_t Used = 0;
  while (Used < Bytes.size() && !Into.isComplete() && !Into.getError()) {
    size_t Most = Random() % 4 == 0 ? Bytes.size() : 5;
    size_t Size = 1 + Random() % Most;
    Used += Into.consume(Bytes.substr(Used, Size));
  }
  return Used;
}

struct RefusingIngress {
  explicit RefusingIngress(boost::asio::io_context &Loop)
      : Server_(Loop, [this](const IngressExchangePtr &Each) {
          Open_.push_back(Each);
          Each->respond(makeResponse(200, "ran"));
        }) {
    Reason Why;
    REQUIRE(Server_.open("127.0.0.1:0", Why));
    IngressLimits Small;
    Small.MaxHeaderBytes_ = Limits.HeadBytes_;
    Small.MaxBodyBytes_ = Limits.BodyBytes_;
    Server_.setLimits(Small);
  }

  std::vector<IngressExchangePtr> Open_; ///< Requests that were dispatched.
  IngressServer Server_;                 ///< Server under test.
};

AttemptSpec makeSpec() {
  AttemptSpec Spec;
  Spec.Bytes_ = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  Spec.ConnectTimeout_ = seconds(10);
  Spec.MaxIdleTime_ = seconds(10);
  Spec.Matcher_ = [](const ResponseMessage &, bool) {
    return ResponseMatch::Matching;
  };
  return Spec;
}

} // namespace

// Guards against a body that is run as further requests.
TEST_CASE("framing: each request has one reading, however it is split") {
  std::mt19937_64 Random(20261206);
  for (const Case &Each : makeRequestCases())
    for (int Round = 0; Round < 20; ++Round) {
      INFO(Each.Name_);
      RequestReader Reader(Limits);
      std::string Bytes = Each.Bytes_ + Inner;
      size_t Used = feed(Reader, Bytes, Random);
      REQUIRE(bool(Reader.getError()) == (Each.Status_ != 0));
      if (Each.Status_ != 0) {
        CHECK(Reader.getError()->Status_ == Each.Status_);
        continue;
      }
      CHECK(Reader.isComplete());
      CHECK(Used == Each.Bytes_.size());
      CHECK(Reader.getMessage().body() == Each.Body_);
      CHECK(Reader.getMessage().count("Authorization") == 0);
    }
}

// Guards against a request that starts inside another's body.
TEST_CASE("ingress: nothing after a request that can't be read is run") {
  std::mt19937_64 Random(20261206);
  for (const Case &Each : makeRequestCases()) {
    INFO(Each.Name_);
    boost::asio::io_context Loop;
    RefusingIngress Ingress(Loop);
    tcp::socket Client(Loop);
    Client.connect(*parseEndpoint(Ingress.Server_.getAddress()));
    Client.set_option(tcp::no_delay(true));
    std::string Bytes = Each.Bytes_ + Inner;
    for (size_t Used = 0; Used < Bytes.size();) {
      size_t Size = std::min<size_t>(1 + Random() % 400, Bytes.size() - Used);
      error_code Closed; // A refused client may not send the rest.
      boost::asio::write(Client, boost::asio::buffer(Bytes.data() + Used, Size),
                         Closed);
      Used += Size;
      Loop.restart();
      Loop.poll();
    }
    // Without keep-alive the request behind the first isn't read either.
    bool IsKept = Each.Bytes_.find("HTTP/1.0") == std::string::npos;
    size_t Expected = Each.Status_ == 0 ? (IsKept ? 2 : 1) : 0;
    std::string Answer;
    CHECK(runUntil(Loop, [&] {
      error_code Error;
      Client.non_blocking(true);
      std::array<char, 4096> Part{};
      Answer.append(Part.data(),
                    Client.read_some(boost::asio::buffer(Part), Error));
      return Expected > 0 ? Ingress.Open_.size() >= Expected
                          : Error == boost::asio::error::eof;
    }));
    CHECK(Ingress.Open_.size() == Expected);
    if (Expected == 0) {
      CHECK(Answer.starts_with("HTTP/1.1 " + std::to_string(Each.Status_)));
      CHECK(Answer.find("Connection: close\r\n") != std::string::npos);
    }
  }
}

TEST_CASE("framing: an absolute target takes the place of Host") {
  for (const auto &[Target, Host, Path] :
       {std::tuple{"http://y:80/b?c", "y:80", "/b?c"},
        {"HTTP://y", "y", "/"},
        {"http://y?c", "y", "/?c"}}) {
    RequestReader Reader(Limits);
    Reader.consume("GET " + std::string(Target) +
                   " HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(Reader.isComplete());
    CHECK(Reader.getMessage()[boost::beast::http::field::host] == Host);
    CHECK(Reader.getMessage().count("Host") == 1);
    CHECK(Reader.getMessage().target() == Path);
  }
}

// The parser behind the check refuses it as well.
TEST_CASE(
    "framing: a length beside a transfer coding is refused by the check") {
  for (const char *Fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"})
    CHECK(std::holds_alternative<FramingError>(
        readRequestFraming(makePut(Fields))));
}

TEST_CASE("framing: a connection is kept as its version and options say") {
  for (const auto &[Head, IsKept] :
       {std::pair<std::string, bool>{"GET / HTTP/1.1\r\nHost: x\r\n", true},
        {"GET / HTTP/1.0\r\nHost: x\r\n", false},
        {"GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n", true},
        {"GET / HTTP/1.1\r\nHost: x\r\nConnection: a,  CLOSE\r\n", false},
        {"GET / HTTP/1.1\r\nHost: x\r\nConnection: a\r\nConnection: close\r\n",
         false}}) {
    INFO(Head);
    FramingResult Result = readRequestFraming(Head + "\r\n");
    REQUIRE(std::holds_alternative<MessageFraming>(Result));
    CHECK(std::get<MessageFraming>(Result).IsKeepAlive_ == IsKept);
  }
}

// Guards against answers that the client or the next request could take for
// others.
TEST_CASE("framing: each response has one reading, however it is split") {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const Case Cases[] = {
      {"length", Ok + "Content-Length: 2\r\n\r\nab", 0, "ab"},
      {"chunks", Ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
       0, "ab"},
      {"trailer dropped",
       Ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n", 0, ""},
      {"204 with a length", "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\n", 0,
       ""},
      {"304 with chunks",
       "HTTP/1.1 304 No\r\nTransfer-Encoding: chunked\r\n\r\n", 0, ""},
      {"103 with a length", "HTTP/1.1 103 No\r\nContent-Length: 2\r\n\r\n", 0,
       ""},
      {"no reason", "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", 0, ""},
      {"101", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", 502},
      {"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", 502},
      {"status below 100", "HTTP/1.1 099 OK\r\n\r\n", 502},
      {"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", 502},
      {"status 600", "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n", 502},
      {"status 999", "HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n", 502},
      {"status 599", "HTTP/1.1 599 No\r\nContent-Length: 0\r\n\r\n", 0, ""},
      {"HTTP/2", "HTTP/2 200\r\n\r\n", 502},
      {"control byte in the reason", "HTTP/1.1 200 O\x01\r\n\r\n", 502},
      {"two lengths", Ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
       502},
      {"list of lengths", Ok + "Content-Length: 2, 2\r\n\r\nab", 502},
      {"signed length", Ok + "Content-Length: +2\r\n\r\nab", 502},
      {"length and coding",
       Ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 502},
      {"gzip", Ok + "Transfer-Encoding: gzip\r\n\r\n", 502},
      {"gzip, chunked", Ok + "Transfer-Encoding: gzip, chunked\r\n\r\n", 502},
      {"chunked, gzip", Ok + "Transfer-Encoding: chunked, gzip\r\n\r\n", 502},
      {"chunks in HTTP/1.0",
       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 502},
      {"obs-fold", Ok + "A: b\r\n c\r\nContent-Length: 0\r\n\r\n", 502},
      {"space before the colon", Ok + "Content-Length : 0\r\n\r\n", 502},
      {"bare line feed", "HTTP/1.1 200 OK\nContent-Length: 0\n\n", 400},
      {"carriage return in a value", Ok + "A: b\rc\r\n\r\n", 502},
      {"NUL in a value", Ok + std::string("A: \0\r\n\r\n", 8), 502},
      {"empty line in front", "\r\n" + Ok + "Content-Length: 0\r\n\r\n", 502},
  };
  std::mt19937_64 Random(20261206);
  for (const Case &Each : Cases) {
    INFO(Each.Name_);
    for (int Round = 0; Round < 20; ++Round) {
      ResponseReader Reader(Limits);
      size_t Used = feed(Reader, Each.Bytes_ + Ok, Random);
      REQUIRE(bool(Reader.getError()) == (Each.Status_ != 0));
      if (Each.Status_ != 0) {
        CHECK(Reader.getError()->Status_ == Each.Status_);
        continue;
      }
      CHECK(Reader.isComplete());
      CHECK(Used == Each.Bytes_.size());
      CHECK(Reader.getMessage().body() == Each.Body_);
    }
    if (Each.Status_ == 0)
      continue;
    // A server that sends it isn't believed and its connection isn't reused.
    boost::asio::io_context Loop;
    ScriptedServer Server(Loop, {{Each.Bytes_},
                                 {Ok + "Content-Length: 0\r\n"
                                       "\r\n"}});
    ConnectionPool Pool(Loop);
    CHECK(sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec()).Status_ ==
          AttemptStatus::Garbled);
    CHECK(sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec()).Status_ ==
          AttemptStatus::Answered);
    CHECK(Server.Connections_ == 2);
  }
  ResponseReader ToHead(Limits, true);
  ToHead.consume(Ok + "Content-Length: 5\r\n\r\n");
  CHECK(ToHead.isComplete());
}

// Guards against two readings of what is sent to a server.
TEST_CASE("framing: what goes out is read alike by others") {
  for (const Case &Each : makeRequestCases()) {
    if (Each.Status_ != 0)
      continue;
    INFO(Each.Name_);
    RequestReader Reader(Limits);
    Reader.consume(Each.Bytes_);
    RequestMessage Sent = Reader.getMessage();
    eraseHopByHopFields(Sent);
    std::string Bytes = serializeRequest(Sent);
    namespace http = boost::beast::http;
    http::request_parser<http::string_body> Other;
    Other.eager(true);
    error_code Error;
    CHECK(Other.put(boost::asio::buffer(Bytes), Error) == Bytes.size());
    CHECK_FALSE(Error);
    CHECK(Other.is_done());
    CHECK(Other.get().body() == Each.Body_);
    CHECK(Other.get().target() == Sent.target());
    CHECK_FALSE(Other.chunked());
  }
}

// Guards against fields of the platform that a Connection option takes away.
TEST_CASE("framing: Connection options remove no field that others rely on") {
  RequestMessage Message;
  Message.insert("Connection", "X-Cranberrypost-Attempt-Id, host");
  Message.insert("Connection", "x-cranberrypost-deadline-milliseconds,X-Mine,"
                               "Content-Type , Server-Limit, bad token");
  for (const char *Name :
       {"X-Cranberrypost-Attempt-Id", "X-Cranberrypost-Deadline-Milliseconds",
        "Host", "Content-Type", "Server-Limit", "X-Mine", "X-Other"})
    Message.insert(Name, "1");
  eraseHopByHopFields(Message, platform::isPlatformField);
  CHECK(Message.count("X-Mine") == 0);
  CHECK(std::distance(Message.begin(), Message.end()) == 6);
}

// Guards against a client that names a workspace, or a key that is passed on.
TEST_CASE("framing: no workspace name or key of a client goes out") {
  const char *Names[] = {
      "X-Cranberrypost-Tenant-Name", "x-cranberrypost-tenant-name",
      "X_Cranberrypost_Tenant_Name", "X-Cranberrypost_TENANT-name"};
  std::string Fields = "Authorization: Bearer k\r\nAUTHORIZATION: Bearer k\r\n"
                       "Connection: X-Cranberrypost-Tenant-Name\r\n"
                       "Connection: authorization\r\n"
                       "Transfer-Encoding: chunked\r\n";
  std::string Trailer;
  for (const char *Name : Names) {
    Fields += std::string(Name) + ": forged\r\n";
    Trailer += std::string(Name) + ": forged\r\n";
  }
  for (const char *Workspace : {"", "mine"}) {
    RequestReader Reader(Limits);
    Reader.consume(
        makePut(Fields, "0\r\nAuthorization: Bearer k\r\n" + Trailer + "\r\n"));
    REQUIRE(Reader.isComplete());
    RequestMessage &Message = Reader.getMessage();
    platform::takeClientKey(Message);
    eraseHopByHopFields(Message, platform::isPlatformField);
    platform::setWorkspaceName(Message, Workspace);
    std::string Bytes = serializeRequest(Message);
    CHECK(Bytes.find("forged") == std::string::npos);
    CHECK(Bytes.find("Bearer") == std::string::npos);
    CHECK((Bytes.find("Tenant-Name: mine\r\n") != std::string::npos) ==
          (std::string(Workspace) == "mine"));
  }
}

TEST_CASE("framing: a request with several attempt ids has none") {
  RequestMessage Message;
  Message.insert("X-Cranberrypost-Attempt-Id", "1");
  CHECK(platform::decodeClientRequest(Message).AttemptId_ == "1");
  Message.insert("x-cranberrypost-attempt-id", "2");
  CHECK(platform::decodeClientRequest(Message).AttemptId_.empty());
}
