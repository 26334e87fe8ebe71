/// \file faulty_server_test.cpp Servers that send bytes that are no response.
#include "test/support/raw_server_base.h"
#include "test/support/steering_fixture_base.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <thread>

using namespace cranberry;
using namespace cranberry::standin;
using namespace cranberry::test;
using nlohmann::json;

namespace {

/// Memory of the smallest VM of the platform.
constexpr size_t MaxMemoryKiB = 260 * 1024;

/// One entry VM, and the services "one" and "two".
class Fixture : public SteeringFixture {
public:
  Fixture() : SteeringFixture({{"north-a"}, {"one", "two"}, 2, 20}) {
    Fleet_.configure(
        json::array({makeRoute("r-read", "/read/", "one", true, seconds(3)),
                     makeRoute("r-two", "/two/", "two", true, seconds(3)),
                     makeRoute("r-once", "/once/", "two", false, seconds(3))}));
  }

  /// Makes \p Server serve the service "two".
  void replaceSecondService(const RawServer &Server) {
    for (FleetServer &Each : Fleet_.servers()) {
      if (Each.Service_ != "two")
        continue;
      constexpr unsigned Sequence = 100;
      json Entry =
          Each.Server_->getEntry(Each.Service_, Each.Zone_, false, Sequence);
      Entry["address"] = Server.getAddress();
      Fleet_.store().put("servers", Each.Server_->getId(), Entry);
    }
  }

  std::string getAddress() { return Fleet_.vm(0).FrontLink_->getAddress(); }
};

std::string makeHead(const std::string &AttemptId) {
  return "HTTP/1.1 200 OK\r\nX-Cranberrypost-Attempt-Id: " + AttemptId +
         "\r\nX-Cranberrypost-Server-Seal: i-two\r\n";
}

/// Sends requests from several clients until it is destroyed.
class Load {
public:
  Load(const std::string &Address, const std::string &Target, int Clients) {
    Threads_.reserve(static_cast<size_t>(Clients));
    for (int I = 0; I < Clients; ++I)
      Threads_.emplace_back([this, Address, Target, I] {
        RouteClient Client(Address);
        for (int Number = 0; !IsStopping_; ++Number) {
          std::string Id =
              Target + std::to_string(I) + "-" + std::to_string(Number);
          ClientReply Reply = Client.call(
              {"GET", Target, Id, std::to_string(I), seconds(3)}, seconds(10));
          ++(Reply.Status_ == 200 ? Served_ : Failed_);
        }
      });
  }

  ~Load() {
    IsStopping_ = true;
    for (std::thread &Each : Threads_)
      Each.join();
  }

  std::atomic<unsigned> Served_ = 0; ///< Requests that succeeded.
  std::atomic<unsigned> Failed_ = 0; ///< Requests that didn't.

private:
  std::atomic<bool> IsStopping_ = false; ///< Ends the clients.
  std::vector<std::thread> Threads_;     ///< One for each client.
};

/// Checks that no response of a faulty server reaches a client, of safe and of
/// unsafe requests. Whole responses come in between, as a server that fails
/// only gets few requests.
/// \param Call Request; the target and the attempt id are set here.
/// \param Count Number of faulty responses.
/// \param MakeFault Makes one, by the attempt id and its number.
void checkNeverDelivered(
    ClientCall Call, unsigned Count,
    const std::function<RawReply(const std::string &, unsigned)> &MakeFault) {
  Fixture F;
  std::atomic<unsigned> Replies = 0;
  RawServer Faulty([&](const std::string &AttemptId) {
    unsigned Number = Replies++;
    if (Number % 2 == 0)
      return MakeFault(AttemptId, Number / 2);
    return RawReply{makeHead(AttemptId) + "Content-Length: 5\r\n\r\nwhole", "",
                    RawEnd::Shutdown};
  });
  F.replaceSecondService(Faulty);
  F.startAll();
  RouteClient Client(F.getAddress());
  unsigned Number = 0;
  unsigned Served = 0;
  CHECK(F.waitUntil([&] {
    for (const char *Target : {"/two/x", "/once/x"}) {
      Call.Target_ = Target;
      Call.Id_ = "faulty" + std::to_string(++Number);
      CAPTURE(Target, Replies.load());
      ClientReply Reply = Client.call(Call, seconds(5));
      bool IsWhole = Reply.Status_ == 200 && Reply.Body_ == "whole";
      REQUIRE((IsWhole || Reply.Status_ == 502 || Reply.Status_ == 503));
      Served += IsWhole ? 1 : 0;
    }
    return Replies >= 2 * Count;
  }));
  CHECK(Served > 0);
}

} // namespace

// Guards against a VM that runs out of memory because it keeps all bytes of a
// faulty server, which ends the requests of other clients.
TEST_CASE("report: servers that send bytes without an end cost other clients "
          "nothing") {
  struct Case {
    const char *Name_;     ///< Where the bytes go on.
    std::string Begin_;    ///< Follows the fields that name the attempt.
    std::string Repeated_; ///< Sent without an end.
    bool HasHead_ = true;  ///< Whether the response begins with such fields.
  };
  const Case Cases[] = {
      {"no response", "", "x", false},
      {"empty lines", "", "\r\n", false},
      {"status line", "HTTP/1.1 200 ", "x", false},
      {"field", "X: ", "x"},
      {"fields", "", "X: y\r\n"},
      {"body without a length", "\r\n", "x"},
      {"body of a huge length", "Content-Length: 99999999999\r\n\r\n", "x"},
      {"chunks", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
      {"chunk size", "Transfer-Encoding: chunked\r\n\r\n", "0"},
      {"trailer", "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
      {"interim responses", "", "HTTP/1.1 103 Early\r\n\r\n", false},
  };
  Fixture F;
  std::atomic<size_t> Current = 0;
  RawServer Faulty([&](const std::string &AttemptId) {
    const Case &Each = Cases[Current];
    std::string Head = Each.HasHead_ ? makeHead(AttemptId) : "";
    return RawReply{Head + Each.Begin_, Each.Repeated_};
  });
  F.replaceSecondService(Faulty);
  F.startAll();
  Load Sound(F.getAddress(), "/read/x", 4);
  REQUIRE(F.waitUntil([&] { return Sound.Served_ > 20; }));
  for (; Current < std::size(Cases); ++Current) {
    CAPTURE(Cases[Current].Name_);
    unsigned Before = Sound.Served_;
    unsigned Requests = Faulty.getRequests();
    Load Affected(F.getAddress(), "/two/x", 6);
    Load Once(F.getAddress(), "/once/x", 6);
    // Servers that failed get no requests for a while.
    CHECK(F.waitUntil([&] { return Faulty.getRequests() > Requests; }));
    RouteClient("").pause(milliseconds(1200));
    CHECK(Affected.Served_ + Once.Served_ == 0);
    CHECK(Sound.Served_ > Before);
    CHECK(Sound.Failed_ == 0);
    REQUIRE(F.Fleet_.vm(0).Process_->isRunning());
    CHECK(F.Fleet_.vm(0).Process_->getPeakMemory() < MaxMemoryKiB);
  }
}

// The same for the other sources of responses that a VM keeps.
TEST_CASE("report: a store and other VMs that send bytes without an end cost "
          "clients nothing") {
  SteeringFixture F({{"north-a", "north-a"}, {"one"}});
  F.startAll();
  Load Sound(F.Fleet_.vm(0).FrontLink_->getAddress(), "/read/x", 4);
  REQUIRE(F.waitUntil([&] { return Sound.Served_ > 20; }));
  for (size_t Vm : {0, 1}) {
    F.Fleet_.vm(Vm).StoreLink_->setMode(LinkMode::Flood);
    F.Fleet_.vm(Vm).PeerLink_->setMode(LinkMode::Flood);
  }
  unsigned Before = Sound.Served_;
  RouteClient("").pause(seconds(6));
  CHECK(Sound.Served_ > Before);
  CHECK(Sound.Failed_ == 0);
  for (size_t Vm : {0, 1}) {
    REQUIRE(F.Fleet_.vm(Vm).Process_->isRunning());
    CHECK(F.Fleet_.vm(Vm).Process_->getPeakMemory() < MaxMemoryKiB);
  }
}

// Guards against limits that each source of responses keeps but that together
// exceed the memory of a VM.
TEST_CASE("report: a store, other VMs and servers that all send bytes without "
          "an end leave a VM running") {
  SteeringFixture F({{"north-a", "north-a", "south-a"}, {"one"}});
  F.startAll();
  Load Calls(F.Fleet_.vm(0).FrontLink_->getAddress(), "/read/x", 8);
  REQUIRE(F.waitUntil([&] { return Calls.Served_ > 20; }));
  for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm) {
    F.Fleet_.vm(Vm).StoreLink_->setMode(LinkMode::Flood);
    F.Fleet_.vm(Vm).PeerLink_->setMode(LinkMode::Flood);
  }
  for (FleetServer &Each : F.Fleet_.servers())
    Each.Link_->setMode(LinkMode::Flood);
  RouteClient("").pause(seconds(8));
  for (size_t Vm = 0; Vm < F.Fleet_.getVmCount(); ++Vm) {
    REQUIRE(F.Fleet_.vm(Vm).Process_->isRunning());
    CHECK(F.Fleet_.vm(Vm).Process_->getPeakMemory() < MaxMemoryKiB);
  }
}

// Guards against a head without its end that is passed on as a whole response
// with an empty or short body.
TEST_CASE("report: a response that ends in its head never reaches a client as "
          "a success") {
  Fixture F;
  const std::string Endings[] = {
      "Content-Length: 16\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n",
      "\r\n",
  };
  std::atomic<size_t> Ending = 0;
  std::atomic<size_t> CutBytes = 0;
  RawServer Faulty([&](const std::string &AttemptId) {
    std::string Head = makeHead(AttemptId) + Endings[Ending];
    return RawReply{Head.substr(0, Head.size() - CutBytes), ""};
  });
  F.replaceSecondService(Faulty);
  F.startAll();
  RouteClient Client(F.getAddress());
  unsigned Number = 0;
  auto GetStatus = [&](const std::string &Target) {
    std::string Id = "cut" + std::to_string(++Number);
    return Client.call({"GET", Target, Id, "7", seconds(1)}, seconds(5))
        .Status_;
  };
  REQUIRE(F.waitUntil([&] { return GetStatus("/read/x") == 200; }));
  for (; Ending < std::size(Endings); ++Ending)
    for (size_t Cut : {1, 3, 30})
      for (const char *Target : {"/two/x", "/once/x"}) {
        CutBytes = Cut;
        CAPTURE(Ending.load(), Cut, Target);
        // Servers that failed get no requests for a while.
        unsigned Before = Faulty.getRequests();
        CHECK(F.waitUntil([&] {
          unsigned Status = GetStatus(Target);
          CHECK(Status != 0);
          CHECK(Status != 200);
          return Faulty.getRequests() > Before;
        }));
      }
}

// Guards against a status that no client knows being passed on as a response.
TEST_CASE("report: a response with an invalid status never reaches a client") {
  Fixture F;
  const std::string Lines[] = {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 OK\r\n",
                               "HTTP/1.1 099 OK\r\n"};
  std::atomic<size_t> Line = 0;
  RawServer Faulty([&](const std::string &AttemptId) {
    return RawReply{Lines[Line] + "X-Cranberrypost-Attempt-Id: " + AttemptId +
                        "\r\nX-Cranberrypost-Server-Seal: i-two\r\n"
                        "Content-Length: 0\r\n\r\n",
                    ""};
  });
  F.replaceSecondService(Faulty);
  F.startAll();
  RouteClient Client(F.getAddress());
  unsigned Number = 0;
  for (; Line < std::size(Lines); ++Line)
    for (const char *Target : {"/two/x", "/once/x"}) {
      CAPTURE(Lines[Line], Target);
      unsigned Before = Faulty.getRequests();
      // Servers that failed get no requests for a while.
      CHECK(F.waitUntil([&] {
        std::string Id = "status" + std::to_string(++Number);
        unsigned Status =
            Client.call({"GET", Target, Id, "7", seconds(1)}, seconds(5))
                .Status_;
        CHECK((Status == 502 || Status == 503));
        return Faulty.getRequests() > Before;
      }));
    }
}

// Guards against the part of a body that arrived before a reset being passed on
// as the whole.
TEST_CASE("report: a response that is reset during its upload never reaches a "
          "client as a success") {
  constexpr size_t UploadBytes = 1000000;
  constexpr unsigned Resets = 100;
  checkNeverDelivered(
      {"POST", "", "", "7", seconds(1), {}, std::string(UploadBytes, 'u')},
      Resets, [](const std::string &AttemptId, unsigned Number) {
        constexpr unsigned StepUs = 37;
        constexpr unsigned MaxPauseUs = 2000;
        return RawReply{
            makeHead(AttemptId) + "\r\npart", "", RawEnd::Reset,
            std::chrono::microseconds(Number * StepUs % MaxPauseUs)};
      });
}

// Guards against a field that others read differently, and against a body whose
// length such a field states.
TEST_CASE("report: a response with an invalid field name never reaches a "
          "client") {
  const std::string Length = "Content-Length: 4\r\n";
  const std::string Heads[] = {
      "X Y: 1\r\n" + Length,
      "X\tY: 1\r\n" + Length,
      "X : 1\r\n" + Length,
      " X: 1\r\n" + Length,
      Length + "\tX: 1\r\n",
      "X\x01Y: 1\r\n" + Length,
      "X\x7f: 1\r\n" + Length,
      "X\x0b: 1\r\n" + Length,
      "X\ry: 1\r\n" + Length,
      std::string("X\0: 1\r\n", 7) + Length,
      ": 1\r\n" + Length,
      "X\r\n" + Length,
      "Content-Length : 2\r\n" + Length,
      "Content-Length\x01: 2\r\n" + Length,
      "Content Length: 2\r\n" + Length,
      "Content-Length : 4\r\n",
      "Transfer-Encoding : chunked\r\n" + Length,
      "Transfer-Encoding\x0c: chunked\r\n" + Length,
      "Transfer-Encoding: chunked\r\nX Y: 1\r\n",
  };
  constexpr unsigned Rounds = 4;
  checkNeverDelivered(
      {"GET", "", "", "7", seconds(1), {}, ""}, Rounds * std::size(Heads),
      [&](const std::string &AttemptId, unsigned Number) {
        return RawReply{makeHead(AttemptId) + Heads[Number % std::size(Heads)] +
                            "\r\npart",
                        ""};
      });
}

// Guards against a name in a trailer or in an interim response.
TEST_CASE("report: a response with an invalid field name beside its head never "
          "reaches a client") {
  const std::string Chunks =
      "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n";
  auto MakeFault = [&](const std::string &AttemptId, unsigned Number) {
    const std::string Head = makeHead(AttemptId);
    const std::string Replies[] = {
        Head + Chunks + "X Y: 1\r\n\r\n",
        Head + Chunks + "X\x01: 1\r\n\r\n",
        "HTTP/1.1 103 Early\r\nX Y: 1\r\n\r\n" + Head +
            "Content-Length: 4\r\n\r\npart",
    };
    return RawReply{Replies[Number % std::size(Replies)], ""};
  };
  constexpr unsigned Faults = 12;
  checkNeverDelivered({"GET", "", "", "7", seconds(1), {}, ""}, Faults,
                      MakeFault);
}
