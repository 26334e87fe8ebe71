/// \file server_departure_test.cpp Servers that leave or want no requests.
#include "request/service_balancer_base.h"
#include "version/server_registry_base.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace cranberry;

namespace {

using Names = std::set<std::string>;

constexpr Time Start{seconds(100)};
constexpr unsigned Seed = 20261205;

ServerRecord makeRecord(const std::string &Id, int64_t Born = 1,
                        int64_t Sequence = 1) {
  ServerRecord Record;
  Record.InstanceId_ = Id;
  Record.Service_ = "one";
  Record.Zone_ = "north-a";
  Record.StartTimeMs_ = Born;
  Record.Sequence_ = Sequence;
  return Record;
}

Names getIds(const ServerRegistry &Registry) {
  Names Result;
  for (const UsableServer &Server : Registry.getUsableServers())
    Result.insert(Server.Record_.InstanceId_);
  return Result;
}

std::vector<BackendServerConfig> makeServers(unsigned Count,
                                             int64_t BornMs = 1) {
  std::vector<BackendServerConfig> Result;
  for (unsigned I = 0; I < Count; ++I) {
    BackendServerConfig Server;
    Server.Id_ = "s" + std::to_string(I);
    Server.Zone_ = "north-a";
    Server.Region_ = "north";
    Server.Slots_ = 3;
    Server.BornMs_ = BornMs;
    Result.push_back(Server);
  }
  return Result;
}

/// A balancer whose servers refuse or serve at once.
struct Fixture {
  /// Submits a request and ends its attempt.
  /// \return The server of the attempt, or "" if none was started.
  std::string send(uint64_t Key, std::optional<Duration> RetryAfter) {
    WaitingRequest Request;
    Request.Flow_ = FlowIndex(Next_++);
    Request.Route_ = 1;
    Request.Key_ = Key;
    Request.Arrived_ = Now_;
    Request.ObjectiveAt_ = Now_ + milliseconds(400);
    Request.Deadline_ = Now_ + seconds(2);
    Balancer_.submit(Request);
    for (const BalancerAction &Each : Balancer_.step(Now_)) {
      if (const auto *Refusal = std::get_if<RefuseRequest>(&Each))
        LastRefusal_ = *Refusal;
      const auto *Attempt = std::get_if<StartAttempt>(&Each);
      if (!Attempt || Attempt->Flow_.get() != Request.Flow_.get())
        continue;
      EndedAttempt Ended;
      Ended.Flow_ = Request.Flow_;
      Ended.Route_ = 1;
      Ended.Server_ = Attempt->Server_;
      Ended.Outcome_ = RetryAfter ? ServerAttemptOutcome::Refused
                                  : ServerAttemptOutcome::Served;
      Ended.Ran_ = milliseconds(20);
      Ended.RetryAfter_ = RetryAfter;
      Balancer_.endAttempt(Ended, Now_);
      return Attempt->Server_;
    }
    Balancer_.cancelWaiting(Request.Flow_);
    return "";
  }

  RegionShiftLimiter ShiftLimiter_{1};
  ServiceBalancer Balancer_{ShiftLimiter_};
  Time Now_ = Start;
  uint64_t Next_ = 1;
  std::optional<RefuseRequest> LastRefusal_;
};

} // namespace

TEST_CASE("registry: a server that said it leaves stays away until its next "
          "start") {
  ServerRegistry Registry;
  Time Now = Start;
  std::vector<ServerRecord> Both{makeRecord("a"), makeRecord("b")};
  Registry.applySnapshot(Both, Now);
  REQUIRE(Registry.recordLeaving("a", 1, Now));
  REQUIRE(getIds(Registry) == Names{"b"});
  SECTION("a new list and renewals") {
    Registry.applySnapshot(Both, Now);
    Registry.applyChange({makeRecord("a", 1, 7), false}, Now);
  }
  SECTION("a list without it, and then with it") {
    Registry.applySnapshot({makeRecord("b")}, Now);
    Registry.applySnapshot(Both, Now);
  }
  SECTION("a removal and an older entry") {
    Registry.applyChange({makeRecord("a", 1, 7), true}, Now);
    Registry.applyChange({makeRecord("a", 0, 1), false}, Now);
  }
  SECTION("an outage in which it expired") {
    Registry.onStoreLost();
    Registry.applyChange({makeRecord("a"), true}, Now);
    Registry.onStoreRestored(Now);
    Registry.applySnapshot(Both, Now);
  }
  SECTION("a restored store") {
    Registry.onStoreRolledBack(Now);
    Registry.applySnapshot(Both, Now);
  }
  SECTION("minutes") {
    Now += std::chrono::minutes(30);
    Registry.removeExpired(Now);
  }
  CHECK(getIds(Registry) == Names{"b"});
  Registry.applyChange({makeRecord("a", 2), false}, Now);
  CHECK(getIds(Registry) == Names{"a", "b"});
  // An answer of the earlier start that arrives late doesn't count for it.
  CHECK_FALSE(Registry.recordLeaving("a", 1, Now));
  CHECK(getIds(Registry) == Names{"a", "b"});
}

TEST_CASE("registry: leaving servers are forgotten minutes after their entry "
          "is gone") {
  ServerRegistry Registry;
  Time Now = Start;
  Registry.applySnapshot({makeRecord("a")}, Now);
  Registry.recordLeaving("a", 1, Now);
  Registry.applyChange({makeRecord("a"), true}, Now);
  Now += std::chrono::minutes(11);
  Registry.removeExpired(Now);
  Registry.applyChange({makeRecord("a"), false}, Now);
  CHECK(getIds(Registry) == Names{"a"});
}

TEST_CASE("balancer: a server that names a time to wait gets nothing until "
          "then, listed anew or not") {
  Fixture F;
  F.Balancer_.setServers(makeServers(2));
  std::string Refusing = F.send(7, seconds(3));
  REQUIRE_FALSE(Refusing.empty());
  Time Until = F.Now_ + seconds(3);
  bool IsListed = true;
  std::mt19937 Random(Seed);
  while (F.Now_ < Until - milliseconds(10)) {
    F.Now_ += milliseconds(10);
    if (Random() % 20 == 0) {
      std::vector<BackendServerConfig> Servers = makeServers(2);
      if (IsListed)
        std::erase_if(Servers,
                      [&](const auto &S) { return S.Id_ == Refusing; });
      IsListed = !IsListed;
      F.Balancer_.setServers(Servers);
    }
    std::string Used = F.send(7, std::nullopt);
    CHECK(Used != Refusing);
    CHECK_FALSE(Used.empty());
  }
  F.Balancer_.setServers(makeServers(2));
  F.Now_ += milliseconds(50);
  Names Used;
  for (uint64_t Key = 1; Key <= 40; ++Key)
    Used.insert(F.send(Key, std::nullopt));
  CHECK(Used == Names{"s0", "s1"});
}

TEST_CASE("balancer: a new start of a server ends the time that it named") {
  Fixture F;
  F.Balancer_.setServers(makeServers(1));
  REQUIRE(F.send(7, seconds(30)) == "s0");
  F.Now_ += seconds(1);
  CHECK(F.send(7, std::nullopt).empty());
  F.Balancer_.setServers(makeServers(1, 2));
  CHECK(F.send(7, std::nullopt) == "s0");
}

TEST_CASE("balancer: a request whose preferred servers want none goes to "
          "another") {
  Fixture F;
  F.Balancer_.setServers(makeServers(12));
  Names Refused;
  for (int I = 0; I < 11; ++I)
    Refused.insert(F.send(7, seconds(5)));
  CHECK(Refused.size() == 11);
  CHECK_FALSE(Refused.contains(""));
  F.Now_ += milliseconds(20);
  std::string Last = F.send(7, std::nullopt);
  CHECK_FALSE(Last.empty());
  CHECK_FALSE(Refused.contains(Last));
}

TEST_CASE("balancer: if no server wants requests they are refused at once, "
          "with the time until one does") {
  Fixture F;
  F.Balancer_.setServers(makeServers(3));
  for (Duration Wait : {seconds(8), seconds(6), seconds(9)})
    REQUIRE_FALSE(F.send(7, Wait).empty());
  F.Now_ += milliseconds(500);
  CHECK(F.send(7, std::nullopt).empty());
  REQUIRE(F.LastRefusal_);
  CHECK(F.LastRefusal_->RetryAfter_ >= milliseconds(5400));
  CHECK(F.LastRefusal_->RetryAfter_ <= milliseconds(5600));
}
