/// \file foreign_input_test.cpp Odd entries that other writers leave.
#include "platform/decode_func.h"

#include <catch2/catch.hpp>

#include <set>

using namespace cranberry;
using nlohmann::json;

namespace {

std::string nest(size_t Depth, char Open, char Close) {
  return std::string(Depth, Open) + std::string(Depth, Close);
}

std::string makeItem(const std::string &Name, const std::string &Body) {
  return R"({"metadata":{"name":")" + Name +
         R"(","revision":3},"specification":)" + Body + "}";
}

std::string makeServer(const std::string &More,
                       const std::string &Address = "10.0.0.1:80") {
  return R"({"service":"one","address":")" + Address +
         R"(","zone":"north-a","state":"ready","slots":4)" + More + "}";
}

/// Entries that name no usable server.
std::vector<std::string> makeOddBodies() {
  return {
      nest(200000, '[', ']'),
      R"({"a":)" + nest(200000, '[', ']') + "}",
      R"({"service":)" + nest(300, '[', ']') + "}",
      makeServer(R"(,"born":1e999)"),
      makeServer(R"(,"born":)" + std::string(400, '9')),
      makeServer(R"(,"sequence":-1e999)"),
      makeServer("", "10.0.0.1:65536"),
      makeServer("", "10.0.0.1:99999999999999999999"),
      makeServer("", "10.0.0.1:-1"),
      makeServer("", "10.0.0.1"),
      makeServer("", "host/path:80"),
      makeServer("", ""),
      R"({"service":"one","address":"10.0.0.1:80","zone":"a","state":"ready","slots":4294967297})",
      R"({"service":"one","address":"10.0.0.1:80","zone":"a","state":"ready","slots":70000})",
      R"({"service":"one","address":"10.0.0.1:80","zone":"a","state":"ready","slots":18446744073709551615})",
      makeServer(R"(,"coldRemaining":")" + std::string(300, '9') + "s\""),
      makeServer(R"(,"coldRemaining":7)"),
      R"("\ud800")",
      R"("\udc00\ud800x")",
      "\"\x01\n\t\xff\xfe\"",
      "1e999",
      "-1e400",
      "null"};
}

std::set<std::string>
getServers(const std::vector<platform::StoreObject> &All) {
  std::set<std::string> Result;
  for (const platform::StoreObject &Each : All) {
    Reason Why;
    if (platform::decodeServer(Each, Why))
      Result.insert(Each.Name_);
  }
  return Result;
}

} // namespace

TEST_CASE("report: an odd entry among the servers costs that entry only") {
  for (const std::string &Odd : makeOddBodies()) {
    INFO(Odd.substr(0, 120));
    Reason Why;
    std::optional<platform::StorePage> Page = platform::decodePage(
        R"({"items":[)" + makeItem("i-1", makeServer("")) + "," +
            makeItem("odd", Odd) + "," +
            makeItem("i-2", makeServer(R"(,"born":1733356800123)")) +
            R"(],"hasMore":false,"storeRevision":9})",
        Why);
    REQUIRE(Page);
    CHECK(getServers(Page->Objects_) == std::set<std::string>{"i-1", "i-2"});
    // A reader copies, compares and relays what it has read.
    platform::StorePage Copy = *Page;
    for (const platform::StoreObject &Each : Copy.Objects_)
      CHECK_NOTHROW(platform::isRenewal(Each.Body_, Each.Body_));
    std::optional<platform::StorePage> Relayed =
        platform::decodePage(platform::encodePage(Copy), Why);
    REQUIRE(Relayed);
    CHECK(getServers(Relayed->Objects_) == std::set<std::string>{"i-1", "i-2"});
    std::optional<platform::StoreChanges> Changes = platform::decodeChanges(
        R"({"events":[{"removed":false,"object":)" + makeItem("odd", Odd) +
            R"(},{"removed":false,"object":)" +
            makeItem("i-3", makeServer("")) + R"(}],"storeRevision":10})",
        Why);
    REQUIRE(Changes);
    REQUIRE_FALSE(Changes->Changes_.empty());
    CHECK(platform::decodeServer(Changes->Changes_.back().Object_, Why));
  }
}

TEST_CASE("report: an odd name or revision costs that entry only") {
  const std::string Heads[] = {R"({"name":"odd","revision":1e999})",
                               R"({"name":"odd","revision":-5})",
                               R"({"name":"odd","revision":1e300})",
                               R"({"name":"a/b?c=d%00","revision":4})",
                               R"({"name":7,"revision":4})",
                               R"({"name":"odd"})",
                               nest(100000, '[', ']')};
  for (const std::string &Head : Heads) {
    INFO(Head.substr(0, 80));
    Reason Why;
    std::optional<platform::StorePage> Page = platform::decodePage(
        R"({"items":[{"metadata":)" + Head + R"(,"specification":{}},)" +
            makeItem("i-1", makeServer("")) + R"(],"storeRevision":9})",
        Why);
    REQUIRE(Page);
    CHECK(getServers(Page->Objects_) == std::set<std::string>{"i-1"});
  }
}

// Guards against an identifier that servers read as more than one field.
TEST_CASE("report: an identifier that no header field can hold names no "
          "server") {
  Reason Why;
  platform::StoreObject Entry{"i-1", 3, json::parse(makeServer(""))};
  constexpr size_t MaxLength = 256;
  for (const std::string &Good :
       {std::string("i-1"), std::string("i 1"), std::string("i-\u00e9"),
        std::string("#&+%?/:\""), std::string(MaxLength, 'i')}) {
    CAPTURE(Good);
    Entry.Name_ = Good;
    CHECK(platform::decodeServer(Entry, Why));
  }
  for (const std::string &Bad :
       {std::string(), std::string("i\r\nX: 1"), std::string("i\n1"),
        std::string("i\r1"), std::string("i\0", 2), std::string("i\x7f"),
        std::string(" i"), std::string("i\t"),
        std::string(MaxLength + 1, 'i')}) {
    CAPTURE(Bad);
    Entry.Name_ = Bad;
    CHECK_FALSE(platform::decodeServer(Entry, Why));
  }
}

TEST_CASE("values at the limit of nesting and range are kept") {
  Reason Why;
  for (const char *Number : {"0", "-0", "123456789012", "1.5e300", "1e-999"}) {
    std::string Body = std::string(R"({"deep":)") + nest(40, '[', ']') +
                       R"(,"text":"[[{\"\u00e9\ud83d\ude00 1e999","n":)" +
                       Number + "}";
    std::optional<platform::StoreObject> Object =
        platform::decodeObjectBody(makeItem("a", Body), Why);
    REQUIRE(Object);
    CHECK(Object->Body_ == json::parse(Body));
  }
}

TEST_CASE("a server's Retry-After is decoded, bounded or ignored") {
  auto Decode = [](const std::string &Text, unsigned Status = 503) {
    ResponseMessage Response;
    Response.result(Status);
    Response.set(boost::beast::http::field::retry_after, Text);
    return platform::decodeServerResponse(Response).RetryAfter_;
  };
  CHECK(Decode("2") == Duration(seconds(2)));
  CHECK(Decode("0.25") == Duration(milliseconds(250)));
  CHECK(Decode("0") == Duration(0));
  for (const char *Huge : {"3600", "1e300", "99999999999999999999", "inf"})
    CHECK(Decode(Huge) == platform::MaxServerRetryAfter);
  for (const char *Bad :
       {"", "-1", "nan", "soon", "1 s", "1,5", "Wed, 21 Oct 2026 07:28:00 GMT"})
    CHECK_FALSE(Decode(Bad));
  CHECK_FALSE(Decode("2", 500));
}

TEST_CASE("a server's announcement that it leaves is decoded") {
  ResponseMessage Response;
  CHECK_FALSE(platform::decodeServerResponse(Response).IsLeaving_);
  Response.set("server-leaving", "1");
  CHECK(platform::decodeServerResponse(Response).IsLeaving_);
  Response.set("Server-Leaving", "0");
  CHECK_FALSE(platform::decodeServerResponse(Response).IsLeaving_);
}

TEST_CASE("absurd times and loads of clients and servers are bounded") {
  RequestMessage Request;
  for (const char *Text : {"1e300", "99999999999999999999", "inf"}) {
    Request.set("X-Cranberrypost-Deadline-Milliseconds", Text);
    std::optional<Duration> Wait =
        platform::decodeClientRequest(Request).Timeout_;
    REQUIRE(Wait);
    CHECK(*Wait > seconds(3600));
    CHECK(*Wait <= std::chrono::hours(24));
  }
  ResponseMessage Response;
  Response.set("X-Cranberrypost-Cold-Milliseconds", "9223372036854775807");
  Response.set("X-Cranberrypost-Server-Load", "4294967295,4294967295,1,inf");
  platform::ServerResponseInfo Info = platform::decodeServerResponse(Response);
  CHECK(Info.ColdRemaining_ <= Duration(std::chrono::hours(1)));
  REQUIRE(Info.Load_);
  CHECK(Info.Load_->Running_ <= 100000);
  CHECK(Info.Load_->Interference_ == 1);
}
