/// \file operator_reports_test.cpp Failures that other operators reported.
#include "net/http_message_func.h"
#include "steering/attempt_outcome_func.h"
#include "test/support/scripted_server_base.h"

#include <catch2/catch.hpp>

using namespace cranberry;
using namespace cranberry::test;

namespace {

std::string makeAnswer(unsigned Status, const std::string &Id,
                       const std::string &More, const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " X\r\n";
  if (!Id.empty())
    Text += "X-Cranberrypost-Attempt-Id: " + Id + "\r\n";
  return Text + More + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

std::string makeSuccess(const std::string &Id) {
  return makeAnswer(200, Id, "X-Cranberrypost-Server-Seal: s\r\n",
                    "answer " + Id);
}

std::string makeRefusal(const std::string &Id) {
  return makeAnswer(503, Id, "X-Cranberrypost-Not-Executed: 1\r\n", "");
}

AttemptSpec makeSpec(const std::string &Id) {
  AttemptSpec Spec;
  Spec.Bytes_ = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  Spec.ConnectTimeout_ = Spec.MaxIdleTime_ = seconds(10);
  Spec.Matcher_ = [Id](const ResponseMessage &Response, bool IsFirstRequest) {
    return matchResponse(Response, Id, IsFirstRequest);
  };
  return Spec;
}

AttemptOutcome getOutcome(const AttemptResult &Result) {
  return classifyAttempt(Result,
                         platform::decodeServerResponse(Result.Response_));
}

} // namespace

TEST_CASE("report: a late second copy of an answer reaches no other caller") {
  for (const std::string &Copy : {makeSuccess("1"), makeSuccess("")}) {
    boost::asio::io_context Loop;
    ScriptedServer Server(
        Loop,
        {{makeSuccess("1")}, {Copy + makeSuccess("2")}, {makeSuccess("3")}});
    ConnectionPool Pool(Loop);
    sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("1"));
    AttemptResult Second =
        sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("2"));
    CHECK(Second.IsConnectionReused_);
    // Without an id it can't be told apart; the request may have run.
    if (Copy == makeSuccess(""))
      CHECK(getOutcome(Second) == AttemptOutcome::Unknown);
    else
      CHECK(Second.Response_.body() == "answer 2");
    AttemptResult Third =
        sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("3"));
    CHECK(Third.Response_.body() == "answer 3");
  }
}

TEST_CASE("report: a repeated refusal doesn't refuse the next request") {
  for (const std::string &Copy : {makeRefusal("1"), makeRefusal("")}) {
    boost::asio::io_context Loop;
    ScriptedServer Server(Loop,
                          {{makeRefusal("1")}, {Copy + makeSuccess("2")}});
    ConnectionPool Pool(Loop);
    AttemptResult First =
        sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("1"));
    CHECK(getOutcome(First) == AttemptOutcome::NotRun);
    AttemptResult Second =
        sendAttempt(Loop, Pool, Server.getEndpoint(), makeSpec("2"));
    REQUIRE(Second.IsConnectionReused_);
    CHECK(getOutcome(Second) != AttemptOutcome::NotRun);
    CHECK(getOutcome(Second) == (Copy == makeRefusal("1")
                                     ? AttemptOutcome::Deliver
                                     : AttemptOutcome::Unknown));
  }
}

TEST_CASE("report: a refusal without an id counts on a new connection") {
  boost::asio::io_context Loop;
  ScriptedServer Server(Loop, {{makeRefusal("")}});
  ConnectionPool Pool(Loop);
  CHECK(getOutcome(sendAttempt(Loop, Pool, Server.getEndpoint(),
                               makeSpec("1"))) == AttemptOutcome::NotRun);
}

TEST_CASE("report: an answer that broke off halfway is no success") {
  const std::string Half =
      makeSuccess("1").substr(0, makeSuccess("1").size() - 3);
  for (bool Resets : {false, true}) {
    boost::asio::io_context Loop;
    ScriptedServer Server(Loop, {{Half, !Resets, Resets}});
    ConnectionPool Pool(Loop);
    CHECK(getOutcome(sendAttempt(Loop, Pool, Server.getEndpoint(),
                                 makeSpec("1"))) == AttemptOutcome::Unknown);
  }
}
