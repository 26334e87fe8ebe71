/// \file bad_input_test.cpp Malformed input on every port causes an error and
/// no crash.
#include "cluster_base.h"

#include "net/blocking_call_func.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

using namespace cranberry;
using namespace cranberry::test;

namespace {

/// Sends bytes to a port and reads the response until the connection closes or
/// 300 ms pass.
std::string sendRaw(const std::string &Address, const std::string &Bytes) {
  size_t Colon = Address.rfind(':');
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port =
      htons(static_cast<uint16_t>(std::stoi(Address.substr(Colon + 1))));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Target.sin_addr);
  int Socket = socket(AF_INET, SOCK_STREAM, 0);
  std::string Answer;
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Target), sizeof Target) ==
      0) {
    send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    shutdown(Socket, SHUT_WR);
    pollfd Polled{Socket, POLLIN, 0};
    char Buffer[4096];
    constexpr int WaitMs = 300;
    while (poll(&Polled, 1, WaitMs) == 1) {
      ssize_t Size = read(Socket, Buffer, sizeof Buffer);
      if (Size <= 0)
        break;
      Answer.append(Buffer, static_cast<size_t>(Size));
    }
  }
  close(Socket);
  return Answer;
}

} // namespace

TEST_CASE("malformed requests get the result code of their error") {
  Cluster World({"r-a"}, 1, {});
  struct Case {
    const char *Method_; ///< HTTP method.
    const char *Path_;   ///< Path and query.
    const char *Header_; ///< Value of X-Deadline-Ms, or null.
    size_t BodyBytes_;   ///< Size of the request body.
    const char *Result_; ///< Expected result code.
  };
  const Case Cases[] = {
      {"GET", "/", nullptr, 0, "325"},
      {"GET", "/v1/call/none/x", nullptr, 0, "303"},
      {"GET", "/v1/call//x", nullptr, 0, "303"},
      {"GET", "/v1/call/pay/x", "0", 0, "311"},
      {"GET", "/v1/call/pay/x", "-5", 0, "311"},
      {"GET", "/v1/call/pay/x", "soon", 0, "311"},
      {"GET", "/v1/call/pay/x", "99999999999", 0, "311"},
      {"POST", "/v1/call/pay/x", nullptr, 2000000, "302"},
      {"POST", "/v1/call/pay/x", nullptr, 10, "304"},
      {"POST", "/v1/lookup", nullptr, 0, "326"},
      {"GET", "/v1/lookup", nullptr, 0, "303"},
      {"GET", "/v1/lookup?service=pay", nullptr, 0, "324"},
      {"GET", "/v1/lookup?service=pay&client=1.2.3", nullptr, 0, "324"},
      {"GET", "/v1/lookup?service=pay&client=%00%ff", nullptr, 0, "324"},
      {"GET", "/v1/objects/none", nullptr, 0, "202"},
      {"GET", "/v1/objects/region/none", nullptr, 0, "208"},
      {"DELETE", "/v1/objects/region/none", nullptr, 0, "208"},
      {"DELETE", "/v1/objects/region/r", nullptr, 0, "212"},
      {"PATCH", "/v1/objects/region/r", nullptr, 0, "326"},
      {"PUT", "/v1/objects/region/r", nullptr, 2000000, "210"},
      {"PUT", "/v1/objects/region/r/x", nullptr, 2, "325"},
      {"GET", "/v1/changes?since=x", nullptr, 0, "301"},
      {"GET", "/v1/changes?since=0&waitMs=-1", nullptr, 0, "301"},
      {"POST", "/metrics", nullptr, 0, "326"},
      {"GET", "/v1/explain?service=none&client=1.2.3.4", nullptr, 0, "303"},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Method_, C.Path_);
    HttpCall Call;
    Call.Method_ = C.Method_;
    Call.Url_ = "http://" + World.vm(0).getHttp() + C.Path_;
    Call.Body_ = std::string(C.BodyBytes_, 'x');
    if (C.Header_)
      Call.Headers_.emplace_back("X-Deadline-Ms", C.Header_);
    HttpResult Result = callAndWait(std::move(Call));
    CHECK(Result.getHeader("x-result") == C.Result_);
    CHECK(Result.getHeader("x-outcome") == "not-run");
    CHECK(Result.Body_.find("\"code\":" + std::string(C.Result_)) !=
          std::string::npos);
  }
}

TEST_CASE("random bytes on every port do not end the process or its service") {
  Cluster World({"r-a"}, 1, {});
  std::mt19937_64 Random(20261204);
  std::string Peer = World.vm(0).Process_->getField("peer");
  const std::string Starts[] = {"",
                                "GET /v1/lookup?",
                                "POST /v1/call/pay/",
                                "PUT /v1/objects/pool/x HTTP/1.1\r\n",
                                "GET / HTTP/1.1\r\nContent-Length: 99\r\n\r\n",
                                "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"};
  for (int I = 0; I < 60; ++I) {
    std::string Bytes = Starts[Random() % std::size(Starts)];
    for (size_t N = Random() % 400; N > 0; --N)
      Bytes += static_cast<char>(Random());
    sendRaw(I % 2 == 0 ? World.vm(0).getHttp() : Peer, Bytes);
    REQUIRE(World.vm(0).Process_->isRunning());
  }
  CHECK(World.call(0, "GET", "").getHeader("x-outcome") == "answered");
  CHECK(World.get(0, "/healthz").Status_ == 200);
}

TEST_CASE("percent-encoded paths reach the server unchanged") {
  Cluster World({"r-a"}, 1, {});
  HttpCall Call;
  Call.Url_ = "http://" + World.vm(0).getHttp() +
              "/v1/call/pay/a%20b%0d%0aX:1?echo=%41";
  HttpResult Result = callAndWait(std::move(Call));
  CHECK(Result.getHeader("x-outcome") == "answered");
  CHECK(Result.Body_.find("\"echo\":\"A\"") != std::string::npos);
}

// Guards against one entry of another writer that ends the process or keeps it
// from reading the others.
TEST_CASE("report: odd entries of the platform cost those entries only") {
  Cluster World({"r-a"}, 1, {});
  constexpr Duration Limit = seconds(20);
  auto GetCalls = [&](const char *Operation) {
    return World.platform().getCallCounts()[Operation];
  };
  auto IsServing = [&] {
    return World.vm(0).Process_->isRunning() &&
           World.call(0, "GET", "").getHeader("x-outcome") == "answered";
  };
  for (const char *Vms :
       {R"([7,null,"x",[],{"vm":7,"address":"10.0.0.1:1","role":"entry"},)"
        R"({"vm":"x","address":7},{"role":[]},{"state":{}}])",
        "7", R"({"a":1})"}) {
    CAPTURE(Vms);
    World.platform().setVms(R"({"vms":)" + std::string(Vms) + "}");
    // The list of the second call comes after the first has been read.
    uint64_t Before = GetCalls("vms");
    CHECK(waitUntil(
        [&] {
          return !World.vm(0).Process_->isRunning() ||
                 GetCalls("vms") >= Before + 2;
        },
        Limit));
    REQUIRE(IsServing());
  }
  unsigned Number = 0;
  for (const char *Body : {"7", "[1]", R"({"spec":7})",
                           R"({"spec":"x","operation":7})", R"({"spec":[]})"}) {
    CAPTURE(Body);
    uint64_t Before = GetCalls("watch");
    HttpCall Call;
    Call.Method_ = "PUT";
    Call.Url_ = "http://" + World.platform().getAddress() +
                "/v1/objects/region/odd%20" + std::to_string(++Number);
    Call.Body_ = Body;
    HttpResult Result = callAndWait(std::move(Call));
    REQUIRE(Result.Status_ == 200);
    CHECK(waitUntil(
        [&] {
          return !World.vm(0).Process_->isRunning() ||
                 GetCalls("watch") > Before;
        },
        Limit));
    REQUIRE(IsServing());
  }
}
