/// \file early_response_test.cpp Servers that respond before they have read the
/// request.
#include "test/support/raw_server_base.h"
#include "test/support/scripted_server_base.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <map>
#include <random>

using namespace cranberry;
using namespace cranberry::test;

namespace {

const std::string Head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";

AttemptSpec makeUpload(size_t Bytes) {
  AttemptSpec Spec;
  Spec.Bytes_ =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(Bytes) +
      "\r\n\r\n" + std::string(Bytes, 'x');
  Spec.ConnectTimeout_ = seconds(10);
  Spec.MaxIdleTime_ = seconds(10);
  Spec.Matcher_ = [](const ResponseMessage &, bool) {
    return ResponseMatch::Matching;
  };
  return Spec;
}

/// Plays uploads that a server answers early, each with another size and
/// timing.
/// \param End How the server ends the connection.
/// \param HasLength Whether its response states the length of its body, which
/// it sends as a whole.
/// \return Number of plays by the status of their attempt.
std::map<AttemptStatus, unsigned> playEarlyResponses(RawEnd End, bool HasLength,
                                                     unsigned Count) {
  constexpr unsigned Seed = 20261207;
  std::mt19937_64 Random(Seed);
  RawReply Reply;
  RawServer Server([&Reply](const std::string &) { return Reply; });
  boost::asio::io_context Loop;
  std::map<AttemptStatus, unsigned> Result;
  for (unsigned I = 0; I < Count; ++I) {
    constexpr size_t MaxBody = 20000;
    constexpr size_t MaxUpload = 8U << 20;
    constexpr unsigned MaxPauseUs = 2000;
    std::string Body(Random() % MaxBody, 'b');
    Reply = {Head, "", End, std::chrono::microseconds(0)};
    if (HasLength)
      Reply.Begin_ += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    Reply.Begin_ += "\r\n" + Body;
    if (Random() % 3 != 0)
      Reply.Pause_ = std::chrono::microseconds(Random() % MaxPauseUs);
    ConnectionPool Pool(Loop);
    AttemptResult Got =
        sendAttempt(Loop, Pool, *parseEndpoint(Server.getAddress()),
                    makeUpload(Random() % MaxUpload));
    ++Result[Got.Status_];
    if (Got.Status_ == AttemptStatus::Answered)
      REQUIRE(Got.Response_.body() == Body);
  }
  return Result;
}

} // namespace

// Guards against a write that takes note of the reset, so that the read sees
// the end of the connection only.
TEST_CASE("server connection: a response without a length that is reset while "
          "its request is written is truncated") {
  constexpr unsigned Count = 400;
  std::map<AttemptStatus, unsigned> Ends =
      playEarlyResponses(RawEnd::Reset, false, Count);
  CHECK(Ends[AttemptStatus::Truncated] == Count);
}

TEST_CASE("server connection: a response without a length that ends in order "
          "while its request is written is complete") {
  constexpr unsigned Count = 100;
  for (RawEnd End : {RawEnd::Shutdown, RawEnd::ShutdownReset}) {
    CAPTURE(static_cast<int>(End));
    std::map<AttemptStatus, unsigned> Ends =
        playEarlyResponses(End, false, Count);
    CHECK(Ends[AttemptStatus::Answered] == Count);
  }
}

// Run with "[plays]".
TEST_CASE("measure: early responses over many timings", "[.][plays]") {
  for (RawEnd End :
       {RawEnd::Close, RawEnd::Reset, RawEnd::Shutdown, RawEnd::ShutdownReset})
    for (bool HasLength : {false, true}) {
      std::cout << "end " << static_cast<int>(End) << ", "
                << (HasLength ? "with" : "without") << " a length:";
      for (auto [Status, Count] : playEarlyResponses(End, HasLength, 5000))
        std::cout << " " << AttemptStatusNames[static_cast<size_t>(Status)]
                  << " " << Count;
      std::cout << "\n";
    }
}
