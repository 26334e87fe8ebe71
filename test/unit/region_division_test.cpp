/// \file region_division_test.cpp Standing division of requests among regions.
#include "process/membership_base.h"
#include "process/region_demand_base.h"
#include "request/demand_meter_base.h"
#include "request/region_divider_base.h"
#include "request/region_shift_limiter_base.h"
#include "request/service_balancer_base.h"
#include "steering/heartbeat_codec_func.h"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <numbers>
#include <random>

using namespace cranberry;

namespace {

constexpr unsigned Seed = 20261206;

/// Bound on shifts of the users' deployments.
constexpr double ShiftBound = 0.15;

constexpr Duration RoundTrip = milliseconds(110);

/// A tenth of the slots in "inner", a third of the demand.
const std::vector<RegionBalance> Uneven{
    {"coast", 52, 40}, {"inner", 12, 40}, {"west", 54, 40}};

double getShare(const RegionShares &Shares, const std::string &Region) {
  for (const RegionShare &Each : Shares)
    if (Each.Region_ == Region)
      return Each.Share_;
  return 0;
}

std::vector<BackendServerConfig>
makeServers(const std::string &Own,
            const std::map<std::string, unsigned> &Counts, unsigned Slots = 4) {
  std::vector<BackendServerConfig> Result;
  for (const auto &[Region, Count] : Counts)
    for (unsigned I = 0; I < Count; ++I) {
      BackendServerConfig Server;
      Server.Id_ = Region + std::to_string(I);
      Server.Region_ = Region;
      Server.Zone_ = Region + "-a";
      bool IsOwn = Region == Own;
      Server.Proximity_ = IsOwn ? Proximity::SameZone : Proximity::OtherRegion;
      Server.RoundTrip_ = IsOwn ? milliseconds(1) : RoundTrip;
      Server.Slots_ = Slots;
      Result.push_back(Server);
    }
  return Result;
}

const std::map<std::string, unsigned> UnevenCounts{
    {"coast", 24}, {"inner", 6}, {"west", 29}};
const RegionDivider::DemandByRegion EqualDemand{
    {"coast", 2}, {"inner", 2}, {"west", 2}};

RegionDivider makeDivider(const std::map<std::string, unsigned> &Counts,
                          const std::string &Own = "inner") {
  RegionDivider Result;
  Result.setRegions(Own, EqualDemand, ShiftBound);
  Result.setServers(makeServers(Own, Counts));
  return Result;
}

WaitingRequest makeRequest(uint64_t Key, Time Now,
                           Duration Objective = seconds(1)) {
  WaitingRequest Request;
  Request.Flow_ = FlowIndex(Key);
  Request.Route_ = 1;
  Request.Key_ = Key * 0x9e3779b97f4a7c15ULL;
  Request.Arrived_ = Now;
  Request.ObjectiveAt_ = Now + Objective;
  Request.Deadline_ = Now + 4 * Objective;
  return Request;
}

std::map<std::string, double> getShift(const RegionShares &From,
                                       const RegionShares &To) {
  std::map<std::string, double> Result;
  for (const RegionShare &Each : From)
    Result[Each.Region_] -= Each.Share_;
  for (const RegionShare &Each : To)
    Result[Each.Region_] += Each.Share_;
  return Result;
}

double getMoved(const RegionShares &From, const RegionShares &To) {
  double Moved = 0;
  for (const auto &[Region, Difference] : getShift(From, To))
    Moved += std::max(0.0, Difference);
  return Moved;
}

} // namespace

TEST_CASE("division: a region keeps what it has slots for") {
  RegionShares Inner = divideDemand(Uneven, "inner");
  double Use = 120.0 / 118;
  CHECK(getShare(Inner, "inner") == Approx(Use * 12 / 40));
  double ToCoast = getShare(Inner, "coast") * 40;
  double ToWest = getShare(Inner, "west") * 40;
  CHECK((40 + ToCoast) / 52 == Approx(Use));
  CHECK((40 + ToWest) / 54 == Approx(Use));
  CHECK(getShare(divideDemand(Uneven, "coast"), "coast") == 1);
}

TEST_CASE("division: nothing leaves a region with enough slots") {
  std::vector<RegionBalance> Idle = Uneven;
  for (RegionBalance &Each : Idle)
    Each.Demand_ = 10;
  for (const RegionBalance &Each : Idle)
    CHECK(getShare(divideDemand(Idle, Each.Region_), Each.Region_) == 1);
  // Regions that differ by less than random variation.
  std::vector<RegionBalance> Even{{"a", 10, 10.5}, {"b", 10, 9.5}};
  CHECK(getShare(divideDemand(Even, "a"), "a") == 1);
}

TEST_CASE("division: a region without servers sends everything away") {
  std::vector<RegionBalance> Regions = Uneven;
  Regions[1].Slots_ = 0;
  RegionShares Shares = divideDemand(Regions, "inner");
  CHECK(getShare(Shares, "inner") == 0);
  CHECK(getShare(Shares, "coast") + getShare(Shares, "west") == Approx(1));
  CHECK(divideDemand({}, "inner").empty());
}

TEST_CASE("division: regions with spare slots receive every excess once") {
  std::mt19937 Random(Seed);
  std::uniform_real_distribution<double> Size(1, 100);
  for (int Round = 0; Round < 500; ++Round) {
    std::vector<RegionBalance> Regions;
    double Slots = 0;
    double Demand = 0;
    for (int I = 0; I < 2 + Round % 5; ++I) {
      Regions.push_back(
          {std::string(1, char('a' + I)), Size(Random), Size(Random) / 2});
      Slots += Regions.back().Slots_;
      Demand += Regions.back().Demand_;
    }
    std::map<std::string, double> Runs;
    for (const RegionBalance &From : Regions) {
      RegionShares Shares = divideDemand(Regions, From.Region_);
      double Sum = 0;
      for (const RegionShare &To : Shares) {
        Sum += To.Share_;
        Runs[To.Region_] += To.Share_ * From.Demand_;
      }
      CHECK(Sum == Approx(1));
    }
    // A region below MinDividedShare keeps its excess.
    double MaxUse =
        std::max(TargetSlotUse, Demand / Slots) / (1 - MinDividedShare);
    for (const RegionBalance &To : Regions)
      CHECK(Runs[To.Region_] <= MaxUse * To.Slots_ + 1e-9);
  }
}

TEST_CASE("division: all VMs assign an object to the same region") {
  RegionDivider One = makeDivider(UnevenCounts);
  RegionDivider Two = makeDivider(UnevenCounts);
  Time Now{seconds(100)};
  One.update(Now);
  Two.update(Now + seconds(7)); // Has just started.
  for (uint64_t Key = 1; Key <= 200; ++Key) {
    const std::string *Region = One.getRegion(makeRequest(Key, Now));
    REQUIRE(Region);
    CHECK(*Region == *Two.getRegion(makeRequest(Key, Now + seconds(9))));
  }
}

TEST_CASE("division: the objects follow the shares, and few of them move") {
  RegionShares Before{{"a", 0.3}, {"b", 0.4}, {"c", 0.3}};
  RegionShares After{{"a", 0.4}, {"b", 0.3}, {"c", 0.3}};
  constexpr int Objects = 20000;
  std::mt19937_64 Random(Seed);
  std::map<std::string, double> Count;
  double Moved = 0;
  for (int I = 0; I < Objects; ++I) {
    uint64_t Hash = Random();
    std::string From = *pickRegion(Before, Hash, "a", 1);
    Count[From] += 1.0 / Objects;
    Moved += From == *pickRegion(After, Hash, "a", 1) ? 0 : 1.0 / Objects;
  }
  for (const RegionShare &Each : Before)
    CHECK(Count[Each.Region_] == Approx(Each.Share_).margin(0.02));
  CHECK(Moved < 0.15); // 0.1 is the least that the shares allow.
}

TEST_CASE("division: homes bind, and short objectives stay near") {
  RegionDivider Divider = makeDivider(UnevenCounts);
  Time Now{seconds(100)};
  Divider.update(Now);
  for (uint64_t Key = 1; Key <= 50; ++Key) {
    WaitingRequest AtHome = makeRequest(Key, Now);
    AtHome.HomeRegions_ = {"inner"};
    CHECK(!Divider.getRegion(AtHome));
    CHECK(!Divider.getRegion(makeRequest(Key, Now, milliseconds(400))));
  }
  // The others make up for them: half of the work is short.
  for (uint64_t Key = 1; Key <= 4000; ++Key)
    Divider.recordArrival(
        makeRequest(Key, Now, milliseconds(Key % 2 ? 400 : 1000)),
        milliseconds(100));
  unsigned Away = 0;
  for (uint64_t Key = 1; Key <= 1000; ++Key)
    Away += *Divider.getRegion(makeRequest(Key, Now)) != "inner" ? 1 : 0;
  CHECK(Away >= 990);
}

TEST_CASE("division: noise of the demand moves nothing") {
  RegionDivider Divider = makeDivider(UnevenCounts);
  std::mt19937 Random(Seed);
  std::normal_distribution<double> Noise(1, 0.02);
  Time Now{seconds(100)};
  Divider.setDemand(RegionDivider::DemandByRegion{
      {"coast", 60}, {"inner", 60}, {"west", 60}});
  Divider.update(Now);
  RegionShares First = Divider.getShares();
  for (int I = 0; I < 600; ++I) {
    Now += milliseconds(200);
    Divider.setDemand(
        RegionDivider::DemandByRegion{{"coast", 60 * Noise(Random)},
                                      {"inner", 60 * Noise(Random)},
                                      {"west", 60 * Noise(Random)}});
    Divider.update(Now);
    CHECK(getMoved(First, Divider.getShares()) == 0);
  }
}

TEST_CASE("division: a wave of the demand shifts no more than the bound") {
  RegionDivider Divider = makeDivider(UnevenCounts);
  constexpr double Swing = 0.55;
  constexpr double Period = 36;
  std::vector<RegionShares> History;
  double Lowest = 1;
  double Highest = 0;
  for (int Step = 0; Step < 5 * 72; ++Step) {
    double Turn = Step * 0.2 / Period;
    RegionDivider::DemandByRegion Demand;
    double Phase = 0;
    for (const char *Region : {"coast", "inner", "west"}) {
      Demand[Region] =
          60 * (1 + Swing * std::sin(2 * std::numbers::pi * (Turn + Phase)));
      Phase += 1.0 / 3;
    }
    Divider.setDemand(Demand);
    Divider.update(Time(seconds(100)) + milliseconds(200) * Step);
    History.push_back(Divider.getShares());
    Lowest = std::min(Lowest, getShare(History.back(), "inner"));
    Highest = std::max(Highest, getShare(History.back(), "inner"));
    constexpr size_t StepsOfPeriod = 10;
    if (History.size() > StepsOfPeriod)
      CHECK(getMoved(*(History.rbegin() + StepsOfPeriod), History.back()) <=
            ShiftBound + 1e-9);
  }
  // The division follows the wave.
  CHECK(Lowest < 0.32);
  CHECK(Highest > 0.6);
}

TEST_CASE("division: a lost region's work is divided at once and returns "
          "step by step") {
  RegionDivider Divider = makeDivider(UnevenCounts);
  Time Now{seconds(100)};
  Divider.update(Now);
  RegionShares First = Divider.getShares();
  REQUIRE(getShare(First, "coast") > 0.2);
  std::map<std::string, unsigned> Without = UnevenCounts;
  Without.erase("coast");
  Divider.setServers(makeServers("inner", Without));
  Now += milliseconds(200);
  Divider.update(Now);
  CHECK(getShare(Divider.getShares(), "coast") == 0);
  CHECK(getShare(Divider.getShares(), "west") > getShare(First, "west"));
  RegionShares Lost = Divider.getShares();
  Divider.setServers(makeServers("inner", UnevenCounts));
  for (int I = 0; I < 10; ++I)
    Divider.update(Now += milliseconds(200));
  CHECK(getMoved(Lost, Divider.getShares()) <= ShiftBound + 1e-9);
  for (int I = 0; I < 50; ++I)
    Divider.update(Now += milliseconds(200));
  CHECK(getMoved(First, Divider.getShares()) < 0.01);
}

TEST_CASE("division: cold servers count less") {
  RegionDivider Divider;
  Divider.setRegions("inner", EqualDemand, ShiftBound);
  std::vector<BackendServerConfig> Servers =
      makeServers("inner", {{"coast", 20}, {"inner", 20}, {"west", 20}});
  Time Now{seconds(100)};
  for (BackendServerConfig &Server : Servers)
    if (Server.Region_ == "inner")
      Server.ColdUntil_ = Now + seconds(3);
  Divider.setServers(Servers);
  Divider.update(Now);
  CHECK(getShare(Divider.getShares(), "inner") < 0.7);
}

TEST_CASE("division: without regions, requests are not divided") {
  RegionDivider Divider;
  Divider.setServers(makeServers("inner", UnevenCounts));
  Divider.update(Time(seconds(100)));
  CHECK(!Divider.getRegion(makeRequest(1, Time(seconds(100)))));
}

TEST_CASE("balancer: the division is in force with the first request") {
  RegionShiftLimiter Limiter(0.85 * ShiftBound);
  ServiceBalancer Balancer(Limiter);
  Balancer.getDivider().setRegions("inner", EqualDemand, ShiftBound);
  Balancer.setServers(makeServers("inner", UnevenCounts));
  Time Now{seconds(100)};
  unsigned Away = 0;
  constexpr unsigned Requests = 40;
  for (uint64_t Key = 1; Key <= Requests; ++Key) {
    Now += milliseconds(5);
    Balancer.submit(makeRequest(Key, Now));
    for (const BalancerAction &Action : Balancer.step(Now))
      if (const auto *Start = std::get_if<StartAttempt>(&Action))
        Away += Start->Proximity_ == Proximity::OtherRegion ? 1 : 0;
  }
  // 0.3 of the slots needed are here.
  CHECK(Away > 0.5 * Requests);
  CHECK(Away < 0.9 * Requests);
}

TEST_CASE("balancer: requests that start later follow the limit on shifts") {
  RegionShiftLimiter Limiter(0.85 * ShiftBound);
  Time Now{seconds(100)};
  // This VM has served others here for a while.
  for (int I = 0; I < 400; ++I)
    Limiter.recordStart("", Now += milliseconds(10));
  unsigned Away = 0;
  for (int I = 0; I < 100; ++I) {
    Now += milliseconds(10);
    bool CanLeave = Limiter.canSendTo("west", Now, true);
    Limiter.recordStart(CanLeave ? "west" : "", Now);
    Away += CanLeave ? 1 : 0;
  }
  CHECK(Away <= 100 * ShiftBound);
}

// Guards against a VM that followed the division with its first request or not
// at all: a request with a short objective, which isn't divided, came first.
TEST_CASE("balancer: the first requests follow the division, whichever comes "
          "first") {
  RegionShiftLimiter Limiter(0.85 * ShiftBound);
  ServiceBalancer Balancer(Limiter);
  Balancer.getDivider().setRegions("inner", EqualDemand, ShiftBound);
  Balancer.setServers(makeServers("inner", UnevenCounts));
  Time Now{seconds(100)};
  constexpr Duration Work = milliseconds(300);
  struct Run {
    StartAttempt Start_;
    Time End_;
  };
  std::deque<Run> Running;
  std::array<unsigned, 2> Away{};
  constexpr unsigned Requests = 100;
  Balancer.submit(makeRequest(1000, Now, milliseconds(300)));
  CHECK(Balancer.step(Now).size() == 1);
  for (uint64_t Key = 1; Key <= 2 * Requests; ++Key) {
    Now += milliseconds(20);
    for (; !Running.empty() && Running.front().End_ <= Now;
         Running.pop_front()) {
      EndedAttempt Ended;
      Ended.Flow_ = Running.front().Start_.Flow_;
      Ended.Route_ = 1;
      Ended.Objective_ = seconds(1);
      Ended.Server_ = Running.front().Start_.Server_;
      Ended.Outcome_ = ServerAttemptOutcome::Served;
      Ended.Ran_ = Work;
      Balancer.endAttempt(Ended, Now);
    }
    Balancer.submit(makeRequest(Key, Now));
    for (const BalancerAction &Action : Balancer.step(Now))
      if (const auto *Start = std::get_if<StartAttempt>(&Action)) {
        Running.push_back({*Start, Now + Work});
        Away[Key <= Requests ? 0 : 1] +=
            Start->Proximity_ == Proximity::OtherRegion ? 1 : 0;
      }
  }
  // 0.3 of the slots needed are here.
  CHECK(Away[0] > 0.5 * Requests);
  CHECK(Away[0] < 0.9 * Requests);
  CHECK(Away[1] <= Away[0] + ShiftBound * Requests);
}

TEST_CASE(
    "shift: a peak among the first requests allows no growth of the mean") {
  RegionShiftLimiter Limiter(0.85 * ShiftBound);
  Time Now{seconds(100)};
  std::array<unsigned, 2> Away{};
  constexpr unsigned Requests = 400; // In each of two windows of two seconds.
  for (unsigned I = 0; I < 2 * Requests; ++I) {
    Now += milliseconds(5);
    bool IsPeak = I >= 20 && I < 100;
    bool IsLate = I >= Requests;
    bool Leaves = (IsPeak || IsLate || I % 10 == 0) &&
                  Limiter.canSendTo("west", Now, true);
    Limiter.recordStart(Leaves ? "west" : "", Now);
    Away[IsLate ? 1 : 0] += Leaves ? 1 : 0;
  }
  CHECK(Away[0] > 0.25 * Requests);
  CHECK(Away[1] <= Away[0] + ShiftBound * Requests);
}

TEST_CASE("demand: it is known after a round of heartbeats") {
  RegionDemand Demand;
  Time Now{seconds(100)};
  MemberList Vms(3);
  Vms[0].Region_ = "inner";
  Vms[1].Region_ = Vms[2].Region_ = "west";
  Demand.update(Vms, seconds(5), Now);
  CHECK(!Demand.get("ledger"));
  Vms[1].Demand_ = {{"ledger", 7}};
  Demand.update(Vms, seconds(5), Now);
  // The other VMs have not been heard from since.
  CHECK(!Demand.get("ledger"));
  Vms[0].Demand_ = {{"ledger", 20}, {"archive", 1}};
  Vms[2].Demand_ = {{"ledger", 3}};
  Demand.update(Vms, seconds(5), Now + seconds(5));
  std::optional<RegionDemand::ByRegion> Known = Demand.get("ledger");
  REQUIRE(Known);
  CHECK(*Known == RegionDemand::ByRegion{{"inner", 20}, {"west", 10}});
  CHECK(!Demand.get("archive"));
}

TEST_CASE("demand: refused requests count, and an early one is no trend") {
  DemandMeter Meter;
  Time Now{seconds(100)};
  CHECK(!Meter.getDemand(Now));
  Meter.recordArrival(milliseconds(200), Now);
  CHECK(!Meter.getDemand(Now + seconds(1)));
  for (int I = 0; I < 1000; ++I)
    Meter.recordArrival(milliseconds(200), Now += milliseconds(10));
  // 100 requests a second of 0.2 s each.
  CHECK(*Meter.getDemand(Now) == Approx(20).epsilon(0.05));
  CHECK(*Meter.getDemand(Now + seconds(4)) < 10);
  // The demand before a pause doesn't count after it.
  CHECK(!Meter.getDemand(Now + seconds(30)));
  Meter.recordArrival(milliseconds(200), Now + seconds(30));
  CHECK(!Meter.getDemand(Now + seconds(31)));
}

TEST_CASE("demand: heartbeats carry it") {
  HeartbeatBody Sent;
  Sent.Sender_.Vm_ = "one";
  Sent.Sender_.Demand_ = {{"archive", 12.34}, {"ledger", 0}};
  std::optional<HeartbeatBody> Got = decodeHeartbeat(encodeHeartbeat(Sent));
  REQUIRE(Got);
  REQUIRE(Got->Sender_.Demand_.size() == 2);
  CHECK(Got->Sender_.Demand_[0].Service_ == "archive");
  CHECK(Got->Sender_.Demand_[0].Slots_ == Approx(12.3));
  Member Self;
  Self.Vm_ = "self";
  Membership Members(Self, {}, Seed);
  Members.handleHeartbeat(*Got, Time(seconds(1)));
  Got->Sender_.Demand_[0].Slots_ = 3;
  Members.handleHeartbeat(*Got, Time(seconds(2)));
  CHECK(Members.getMembers()[0].Demand_[0].Slots_ == 3);
  // What others tell of that VM leaves its demand alone.
  HeartbeatBody Gossip;
  Gossip.Sender_.Vm_ = "two";
  Gossip.Updates_ = {Got->Sender_};
  Gossip.Updates_[0].Demand_.clear();
  Gossip.Updates_[0].Sequence_ = 9;
  Members.handleHeartbeat(Gossip, Time(seconds(3)));
  CHECK(Members.getMembers()[0].Demand_.size() == 2);
}
