/// \file endless_response_test.cpp Servers that send bytes without an end.
#include "net/connection_pool_base.h"
#include "net/ingress_server_base.h"

#include <catch2/catch.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace cranberry;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Duration LoopTimeout = seconds(60);
constexpr size_t MiB = 1U << 20;
constexpr size_t ChunkBytes = 65536; ///< Bytes that are sent at a time.

/// Bytes that one response may have, and all that are received at a time.
constexpr size_t MaxBuffered = 64 * MiB;

/// Bytes that the kernel holds on both sides of a connection.
constexpr size_t KernelBytes = 8 * MiB;

/// A server that responds to a request with a start, and then with the same
/// bytes again and again until the connection is closed.
class EndlessServer {
public:
  EndlessServer(boost::asio::io_context &Loop, std::string Begin,
                const std::string &Repeated)
      : Acceptor_(Loop,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        Begin_(std::move(Begin)) {
    while (Repeated_.size() < ChunkBytes)
      Repeated_ += Repeated;
    accept();
  }

  tcp::endpoint getEndpoint() const { return Acceptor_.local_endpoint(); }
  size_t getSentBytes() const { return SentBytes_; }
  unsigned getOpenConnections() const { return OpenConnections_; }

private:
  struct Session {
    explicit Session(tcp::socket Socket) : Socket_(std::move(Socket)) {}
    tcp::socket Socket_; ///< Connection to the client.
    std::string Input_;  ///< Bytes of the request.
  };

  void accept() {
    Acceptor_.async_accept([this](error_code Error, tcp::socket Socket) {
      if (Error)
        return;
      ++OpenConnections_;
      auto Current = std::make_shared<Session>(std::move(Socket));
      boost::asio::async_read_until(
          Current->Socket_, boost::asio::dynamic_buffer(Current->Input_),
          "\r\n\r\n", [this, Current](error_code Failed, size_t) {
            if (!Failed)
              write(Current, Begin_);
          });
      accept();
    });
  }

  void write(const std::shared_ptr<Session> &Current, const std::string &Text) {
    boost::asio::async_write(Current->Socket_, boost::asio::buffer(Text),
                             [this, Current](error_code Error, size_t Count) {
                               SentBytes_ += Count;
                               if (Error)
                                 --OpenConnections_;
                               else
                                 write(Current, Repeated_);
                             });
  }

  tcp::acceptor Acceptor_;       ///< Accepts connections.
  std::string Begin_;            ///< Start of the response.
  std::string Repeated_;         ///< Bytes without an end.
  size_t SentBytes_ = 0;         ///< Bytes sent, over all connections.
  unsigned OpenConnections_ = 0; ///< Connections that aren't closed.
};

AttemptSpec makeSpec() {
  AttemptSpec Spec;
  Spec.Bytes_ = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  Spec.ConnectTimeout_ = seconds(10);
  Spec.MaxIdleTime_ = seconds(10);
  Spec.Matcher_ = [](const ResponseMessage &Response, bool) {
    return Response["X-Id"] == "1" ? ResponseMatch::Matching
                                   : ResponseMatch::OtherRequest;
  };
  return Spec;
}

/// Sends \p Count requests at the same time.
/// \return Statuses of the attempts that ended before the time limit.
std::vector<AttemptStatus> sendAll(boost::asio::io_context &Loop,
                                   const EndlessServer &Server,
                                   unsigned Count) {
  ConnectionPool Pool(Loop);
  std::vector<AttemptStatus> Ends;
  std::vector<AttemptHandle> Handles;
  for (unsigned I = 0; I < Count; ++I)
    Handles.push_back(Pool.send(
        "server", Server.getEndpoint(), makeSpec(),
        [&](const AttemptResult &Result) { Ends.push_back(Result.Status_); }));
  Time End = getNow() + LoopTimeout;
  while ((Ends.size() < Count || Server.getOpenConnections() > 0) &&
         Server.getSentBytes() < Count * 2 * MaxBuffered && getNow() < End) {
    Loop.restart();
    Loop.run_one_for(milliseconds(5));
  }
  for (AttemptHandle &Each : Handles)
    Each.cancel();
  return Ends;
}

const std::string Head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string OtherResponse =
    "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 3\r\n\r\nold";

} // namespace

TEST_CASE("server connection: a head without an end is given up") {
  for (const auto &[Begin, Repeated] :
       {std::pair<std::string, std::string>{"", "x"},
        {"HTTP/1.1 200 ", "x"},
        {Head + "X: ", "x"},
        {Head, "X: y\r\n"},
        {Head + "X: y\r\n", " z\r\n"},
        {Chunked + "1;", "x"},
        {Chunked + "0\r\n", "X: y\r\n"}}) {
    CAPTURE(Begin, Repeated);
    boost::asio::io_context Loop;
    EndlessServer Server(Loop, Begin, Repeated);
    std::vector<AttemptStatus> Ends = sendAll(Loop, Server, 1);
    CHECK(Ends == std::vector<AttemptStatus>{AttemptStatus::Garbled});
    CHECK(Server.getSentBytes() < KernelBytes);
  }
}

TEST_CASE("server connection: a response that states a huge length doesn't end "
          "the process") {
  for (const char *Length :
       {"67108865", "999999999999", "9223372036854775807"}) {
    CAPTURE(Length);
    boost::asio::io_context Loop;
    EndlessServer Server(Loop, Head + "Content-Length: " + Length + "\r\n\r\n",
                         "x");
    std::vector<AttemptStatus> Ends = sendAll(Loop, Server, 1);
    CHECK(Ends == std::vector<AttemptStatus>{AttemptStatus::Garbled});
  }
}

TEST_CASE("server connection: responses to other requests without an end are "
          "given up") {
  for (const std::string &Repeated :
       {OtherResponse, std::string("HTTP/1.1 100 Continue\r\n\r\n")}) {
    CAPTURE(Repeated);
    boost::asio::io_context Loop;
    EndlessServer Server(Loop, Repeated, Repeated);
    std::vector<AttemptStatus> Ends = sendAll(Loop, Server, 1);
    CHECK(Ends == std::vector<AttemptStatus>{AttemptStatus::Garbled});
    CHECK(Server.getSentBytes() < KernelBytes);
  }
}

TEST_CASE("server connection: bodies without an end together take no more "
          "memory than one large body") {
  constexpr unsigned Attempts = 6;
  for (const auto &[Begin, Repeated] :
       {std::pair<std::string, std::string>{Head + "\r\n", "x"},
        {Chunked, "4\r\nbody\r\n"},
        {Head + "Content-Length: 999999999999\r\n\r\n", "x"}}) {
    CAPTURE(Begin);
    boost::asio::io_context Loop;
    EndlessServer Server(Loop, Begin, Repeated);
    std::vector<AttemptStatus> Ends = sendAll(Loop, Server, Attempts);
    CHECK(Ends == std::vector<AttemptStatus>(Attempts, AttemptStatus::Garbled));
    // Each chunk of four bytes takes nine on the wire.
    constexpr size_t ChunkOverhead = 9 / 4 + 1;
    CHECK(Server.getSentBytes() <
          ChunkOverhead * (2 * MaxBuffered + Attempts * KernelBytes));
  }
}

TEST_CASE("ingress: a chunk size or trailer without an end is refused") {
  const std::string Begin =
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const auto &[Start, Repeated] :
       {std::pair<std::string, std::string>{"1;", "x"},
        {"0\r\n", "X: y\r\n"}}) {
    CAPTURE(Start);
    boost::asio::io_context Loop;
    IngressServer Ingress(Loop, [](const IngressExchangePtr &) {});
    Reason Why;
    REQUIRE(Ingress.open("127.0.0.1:0", Why));
    tcp::socket Client(Loop);
    Client.connect(*parseEndpoint(Ingress.getAddress()));
    Client.non_blocking(true);
    boost::asio::write(Client, boost::asio::buffer(Begin + Start));
    std::string Chunk;
    while (Chunk.size() < MiB)
      Chunk += Repeated;
    size_t SentBytes = 0;
    std::string Answer(ChunkBytes, ' ');
    size_t AnswerBytes = 0;
    Time End = getNow() + LoopTimeout;
    while (AnswerBytes == 0 && SentBytes < MaxBuffered && getNow() < End) {
      error_code Error;
      SentBytes += Client.write_some(boost::asio::buffer(Chunk), Error);
      Loop.restart();
      Loop.run_one_for(milliseconds(1));
      AnswerBytes = Client.read_some(boost::asio::buffer(Answer), Error);
    }
    CHECK(Answer.starts_with("HTTP/1.1 431"));
    CHECK(SentBytes < KernelBytes);
  }
}
