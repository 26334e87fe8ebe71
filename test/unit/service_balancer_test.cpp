/// \file service_balancer_test.cpp Server choice for a service's requests.
#include "request/service_balancer_base.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace cranberry;

namespace {

constexpr unsigned Seed = 20261204;

BackendServerConfig makeServer(const std::string &Id,
                               Proximity Where = Proximity::SameZone,
                               unsigned Slots = 2) {
  BackendServerConfig Server;
  Server.Id_ = Id;
  Server.Proximity_ = Where;
  Server.Zone_ = Where == Proximity::SameZone     ? "north-a"
                 : Where == Proximity::SameRegion ? "north-b"
                                                  : "south-a";
  Server.Region_ = Where == Proximity::OtherRegion ? "south" : "north";
  Server.RoundTrip_ =
      Where == Proximity::OtherRegion ? milliseconds(110) : milliseconds(1);
  Server.Slots_ = Slots;
  return Server;
}

/// A balancer that may shift all requests to other regions, with a test clock.
struct Fixture {
  RegionShiftLimiter ShiftLimiter_{1};
  ServiceBalancer Balancer_{ShiftLimiter_};
  Time Now_{seconds(100)};
  uint64_t NextFlow_ = 1;

  WaitingRequest make(uint64_t Key = 0,
                      Duration Objective = milliseconds(400)) {
    WaitingRequest Request;
    Request.Flow_ = FlowIndex(NextFlow_++);
    Request.Route_ = 1;
    Request.Key_ = Key;
    Request.Arrived_ = Now_;
    Request.ObjectiveAt_ = Now_ + Objective;
    Request.Deadline_ = Now_ + 3 * Objective;
    return Request;
  }

  std::vector<BalancerAction> submit(const WaitingRequest &Request) {
    Balancer_.submit(Request);
    return Balancer_.step(Now_);
  }

  void end(FlowIndex Flow, const std::string &Server, Duration Ran,
           ServerAttemptOutcome ServerOutcome = ServerAttemptOutcome::Served) {
    EndedAttempt Ended;
    Ended.Flow_ = Flow;
    Ended.Route_ = 1;
    Ended.Objective_ = milliseconds(400);
    Ended.Server_ = Server;
    Ended.Outcome_ = ServerOutcome;
    Ended.Ran_ = Ran;
    Balancer_.endAttempt(Ended, Now_);
  }

  /// Submits \p Request, which must start at once, and ends it after \p Ran.
  /// \return Id of its server.
  std::string serve(const WaitingRequest &Request, Duration Ran) {
    std::vector<BalancerAction> Actions = submit(Request);
    REQUIRE(Actions.size() == 1);
    REQUIRE(std::holds_alternative<StartAttempt>(Actions[0]));
    std::string Server = std::get<StartAttempt>(Actions[0]).Server_;
    Now_ += Ran;
    end(Request.Flow_, Server, Ran);
    return Server;
  }
};

std::string getStarted(const std::vector<BalancerAction> &Actions) {
  for (const BalancerAction &Each : Actions)
    if (const auto *Start = std::get_if<StartAttempt>(&Each))
      return Start->Server_;
  return "";
}

bool hasRefusal(const std::vector<BalancerAction> &Actions) {
  return std::any_of(Actions.begin(), Actions.end(),
                     [](const BalancerAction &Each) {
                       return std::holds_alternative<RefuseRequest>(Each);
                     });
}

} // namespace

TEST_CASE("balancer: an object's requests go to the server that has it warm") {
  Fixture F;
  F.Balancer_.setServers({makeServer("a"), makeServer("b"), makeServer("c")});
  std::map<uint64_t, std::set<std::string>> Used;
  std::mt19937 Random(Seed);
  for (int I = 0; I < 300; ++I) {
    uint64_t Key = 1 + Random() % 12;
    Used[Key].insert(F.serve(F.make(Key), milliseconds(100)));
  }
  std::set<std::string> All;
  for (const auto &[Key, Servers] : Used) {
    CHECK(Servers.size() == 1);
    All.insert(*Servers.begin());
  }
  CHECK(All.size() == 3);
}

TEST_CASE("balancer: two VMs choose the same server for an object") {
  Fixture One;
  Fixture Two;
  One.Balancer_.setServers({makeServer("a"), makeServer("b"), makeServer("c")});
  Two.Balancer_.setServers({makeServer("c"), makeServer("a"), makeServer("b")});
  for (uint64_t Key = 1; Key <= 50; ++Key)
    CHECK(One.serve(One.make(Key), milliseconds(100)) ==
          Two.serve(Two.make(Key), milliseconds(100)));
}

TEST_CASE("balancer: a request waits for the warm server rather than go cold") {
  Fixture F;
  F.Balancer_.setServers({makeServer("a"), makeServer("b")});
  std::string Home;
  for (int I = 0; I < 40; ++I)
    Home = F.serve(F.make(7), milliseconds(50));
  // Occupy all slots of the server that has the object cached.
  std::vector<WaitingRequest> Running{F.make(7), F.make(7)};
  for (const WaitingRequest &Each : Running)
    REQUIRE(getStarted(F.submit(Each)) == Home);
  CHECK(F.submit(F.make(7)).empty());
  CHECK(F.Balancer_.getWaiting() == 1);
  F.Now_ += milliseconds(30);
  F.end(Running[0].Flow_, Home, milliseconds(30));
  CHECK(getStarted(F.Balancer_.step(F.Now_)) == Home);
}

TEST_CASE("balancer: no server is given more than its slots") {
  Fixture F;
  F.Balancer_.setServers({makeServer("a"), makeServer("b")});
  std::map<std::string, int> InFlight;
  std::vector<std::pair<FlowIndex, std::string>> Running;
  std::mt19937 Random(Seed);
  for (int I = 0; I < 3000; ++I) {
    F.Now_ += milliseconds(Random() % 20);
    for (const BalancerAction &Each : F.submit(F.make(Random() % 20)))
      if (const auto *Start = std::get_if<StartAttempt>(&Each)) {
        Running.emplace_back(Start->Flow_, Start->Server_);
        CHECK(++InFlight[Start->Server_] <= 2);
      }
    while (!Running.empty() && Random() % 3 != 0) {
      size_t Index = Random() % Running.size();
      auto [Flow, Server] = Running[Index];
      Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Index));
      --InFlight[Server];
      F.end(Flow, Server, milliseconds(60));
    }
  }
}

TEST_CASE(
    "balancer: a request that can't meet its objective is refused early") {
  Fixture F;
  F.Balancer_.setServers({makeServer("a", Proximity::SameZone, 1)});
  REQUIRE(getStarted(F.submit(F.make())) == "a");
  Time Refused{};
  F.submit(F.make());
  WaitingRequest Last = F.make();
  F.submit(Last);
  for (Time Start = F.Now_; F.Now_ < Start + milliseconds(400);
       F.Now_ += milliseconds(10))
    if (hasRefusal(F.Balancer_.step(F.Now_))) {
      Refused = F.Now_;
      break;
    }
  CHECK(Refused != Time());
  CHECK(Refused - Last.Arrived_ <= milliseconds(200));
}

TEST_CASE("balancer: a request is refused at once if there is no server") {
  Fixture F;
  std::vector<BalancerAction> Actions = F.submit(F.make());
  REQUIRE(hasRefusal(Actions));
  CHECK(std::get<RefuseRequest>(Actions[0]).Cause_ == RefusalCause::NoServer);
}

TEST_CASE("balancer: a request stays in its home regions") {
  Fixture F;
  F.Balancer_.setServers({makeServer("a", Proximity::SameZone),
                          makeServer("z", Proximity::OtherRegion)});
  for (uint64_t Key = 0; Key < 20; ++Key) {
    WaitingRequest Request = F.make(Key);
    Request.HomeRegions_ = {"south"};
    std::vector<BalancerAction> Actions = F.submit(Request);
    CHECK((getStarted(Actions) == "z" || getStarted(Actions).empty()));
  }
  WaitingRequest Nowhere = F.make();
  Nowhere.HomeRegions_ = {"west"};
  CHECK(hasRefusal(F.submit(Nowhere)));
}

TEST_CASE("balancer: a server that was tried is not tried again") {
  Fixture F;
  F.Balancer_.setServers({makeServer("a"), makeServer("b")});
  WaitingRequest Request = F.make(3);
  std::string First = getStarted(F.submit(Request));
  F.end(Request.Flow_, First, milliseconds(1), ServerAttemptOutcome::Refused);
  Request.ExcludedServers_ = {First};
  std::string Second = getStarted(F.submit(Request));
  CHECK_FALSE(Second.empty());
  CHECK(Second != First);
}

TEST_CASE("balancer: a cold server's rate of starts is not exceeded") {
  Fixture F;
  BackendServerConfig Cold = makeServer("a", Proximity::SameZone, 50);
  Cold.ColdUntil_ = F.Now_ + seconds(3);
  Cold.ColdStartRate_ = 8;
  F.Balancer_.setServers({Cold});
  int Started = 0;
  for (int I = 0; I < 100; ++I) {
    F.Now_ += milliseconds(10);
    for (const BalancerAction &Each : F.submit(F.make()))
      Started += std::holds_alternative<StartAttempt>(Each) ? 1 : 0;
  }
  CHECK(Started <= 8);
  CHECK(Started > 0);
}

TEST_CASE("balancer: nothing starts at a cold server before its first allowed "
          "start") {
  Fixture F;
  BackendServerConfig Cold = makeServer("a", Proximity::SameZone, 50);
  Cold.ColdUntil_ = F.Now_ + seconds(3);
  Cold.ColdStartRate_ = 8;
  Cold.ColdStartsFrom_ = F.Now_ + seconds(1);
  F.Balancer_.setServers({Cold});
  CHECK(getStarted(F.submit(F.make())).empty());
  F.Now_ += milliseconds(1001);
  CHECK_FALSE(getStarted(F.submit(F.make())).empty());
}

TEST_CASE("balancer: an unreachable server is retried with a growing backoff") {
  Fixture F;
  F.Balancer_.setServers({makeServer("a"), makeServer("b")});
  int UnreachableAttempts = 0;
  for (int I = 0; I < 400; ++I) {
    WaitingRequest Request = F.make(static_cast<uint64_t>(I));
    std::string Server = getStarted(F.submit(Request));
    F.Now_ += milliseconds(5);
    if (Server.empty())
      continue;
    bool IsUnreachable = Server == "a";
    UnreachableAttempts += IsUnreachable ? 1 : 0;
    F.end(Request.Flow_, Server, milliseconds(5),
          IsUnreachable ? ServerAttemptOutcome::Unreachable
                        : ServerAttemptOutcome::Served);
  }
  // The loop covers 2 s; the backoff doubles from 0.1 s, so that attempts come
  // after 0, 0.1, 0.3, 0.7 and 1.5 s.
  CHECK(UnreachableAttempts <= 6);
}

TEST_CASE("balancer: each attempt at a silent server is reported once") {
  Fixture F;
  F.Balancer_.setServers({makeServer("a"), makeServer("b")});
  for (int I = 0; I < 60; ++I)
    F.serve(F.make(static_cast<uint64_t>(I)), milliseconds(40));
  int Sent = 0;
  for (uint64_t Key = 0; Key < 4; ++Key)
    Sent += getStarted(F.submit(F.make(Key))).empty() ? 0 : 1;
  REQUIRE(Sent >= 2);
  int Reports = 0;
  for (int I = 0; I < 200; ++I) {
    F.Now_ += milliseconds(10);
    for (const BalancerAction &Each : F.Balancer_.step(F.Now_))
      Reports += std::holds_alternative<SuspectAttempt>(Each) ? 1 : 0;
  }
  CHECK(Reports == Sent);
  // No more requests are sent to silent servers.
  CHECK(getStarted(F.submit(F.make(1))).empty());
}

TEST_CASE("balancer: a cancelled request is never sent") {
  Fixture F;
  F.Balancer_.setServers({makeServer("a", Proximity::SameZone, 1)});
  WaitingRequest First = F.make();
  REQUIRE(getStarted(F.submit(First)) == "a");
  WaitingRequest Second = F.make();
  REQUIRE(F.submit(Second).empty());
  CHECK(F.Balancer_.cancelWaiting(Second.Flow_));
  CHECK_FALSE(F.Balancer_.cancelWaiting(Second.Flow_));
  F.end(First.Flow_, "a", milliseconds(50));
  CHECK(F.Balancer_.step(F.Now_).empty());
}

TEST_CASE(
    "balancer: requests leave the region only when its servers are full") {
  Fixture F;
  F.Balancer_.setServers({makeServer("a", Proximity::SameZone, 2),
                          makeServer("z", Proximity::OtherRegion, 10)});
  for (int I = 0; I < 60; ++I)
    CHECK(F.serve(F.make(5), milliseconds(100)) == "a");
  int FarStarts = 0;
  for (int I = 0; I < 12; ++I)
    for (const BalancerAction &Each : F.submit(F.make(5)))
      if (const auto *Start = std::get_if<StartAttempt>(&Each))
        FarStarts += Start->Server_ == "z" ? 1 : 0;
  CHECK(FarStarts > 0);
}

TEST_CASE("balancer: an attempt that its deadline would cut isn't started") {
  Fixture F;
  F.Balancer_.setServers({makeServer("a")});
  for (int I = 0; I < 60; ++I)
    F.serve(F.make(), milliseconds(300));
  WaitingRequest Late = F.make();
  Late.Arrived_ = F.Now_ - milliseconds(900);
  Late.ObjectiveAt_ = F.Now_ + milliseconds(500);
  Late.Deadline_ = F.Now_ + milliseconds(200);
  CHECK(hasRefusal(F.submit(Late)));
  // A request that has all of its time is started even if the estimate exceeds
  // it: only an attempt can correct the estimate.
  WaitingRequest Short = F.make();
  Short.Deadline_ = F.Now_ + milliseconds(200);
  CHECK(getStarted(F.submit(Short)) == "a");
}
