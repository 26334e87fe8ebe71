/// \file rate_limit_test.cpp Limits that servers name on their request rate.
#include "net/http_message_type.h"
#include "platform/decode_func.h"
#include "platform/wire_names.h"
#include "process/rate_ledger_base.h"
#include "request/service_balancer_base.h"
#include "steering/rate_report_codec_func.h"
#include "test/support/rate_check_base.h"
#include "test/support/virtual_time_base.h"

#include <catch2/catch.hpp>

#include <memory>
#include <numeric>
#include <random>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr unsigned Seed = 20261204;
constexpr Time Start{seconds(100)};

NamedRateLimit makeLimit(std::optional<double> PerSecond, Time At = Start) {
  return {PerSecond, At};
}

/// One VM that uses a limited server, with random arrivals.
struct SimulatedVm {
  SharedRateLimiter Limiter_; ///< Limiter under test.
  double Load_ = 0;           ///< Arrivals per second.
};

/// VMs that share a limited server; each reports twice per second over links
/// with delays, and VMs and the ledger restart at random.
class Simulation {
public:
  Simulation(unsigned Vms, double Limit) : Limit_(Limit), Random_(Seed + Vms) {
    for (unsigned I = 0; I < Vms; ++I) {
      Vms_.push_back(std::make_unique<SimulatedVm>());
      changeLoad(I);
      arrive(I);
      report(I);
    }
    changeSomething();
  }

  Time getTime() const { return Clock_.now(); }

  double getOffered() const { return Offered_; }

  /// \return Starts at the server within \p Length.
  std::vector<Time> run(Duration Length) {
    Clock_.runUntil(Clock_.now() + Length);
    return Starts_;
  }

private:
  double draw(double Limit) {
    return std::uniform_real_distribution<double>(0, Limit)(Random_);
  }

  Duration drawTime(Duration Limit) {
    return Duration(
        static_cast<int64_t>(draw(static_cast<double>(Limit.count()))));
  }

  void changeLoad(size_t Vm) { Vms_[Vm]->Load_ = 0.1 + draw(2 * Limit_); }

  void arrive(size_t Vm) {
    std::exponential_distribution<double> Pause(Vms_[Vm]->Load_);
    constexpr double Second = 1e6;
    Clock_.after(Duration(static_cast<int64_t>(Pause(Random_) * Second)),
                 [this, Vm] {
                   start(*Vms_[Vm]);
                   arrive(Vm);
                 });
  }

  void start(SimulatedVm &Vm) {
    Time Now = Clock_.now();
    ++Offered_;
    std::optional<Duration> Wait = Vm.Limiter_.getWait(0, Now);
    if (Wait && *Wait == Duration(0)) {
      Vm.Limiter_.recordStart(Now);
      Starts_.push_back(Now);
      // The response names the limit.
      Vm.Limiter_.setLimit({Limit_, Now});
    } else {
      Vm.Limiter_.recordShortage();
    }
  }

  void report(size_t Vm) {
    SimulatedVm &From = *Vms_[Vm];
    if (From.Limiter_.takeReportDue()) {
      double Demand = From.Limiter_.takeDemand(Clock_.now());
      Clock_.after(drawTime(milliseconds(55)), [this, Vm, Demand] {
        double Share = Ledger_->report("s", std::to_string(Vm), Demand,
                                       {Limit_, Clock_.now()}, 1, Clock_.now());
        Clock_.after(drawTime(milliseconds(55)), [this, Vm, Share] {
          Vms_[Vm]->Limiter_.setShare(Share, Clock_.now());
        });
      });
    }
    Clock_.after(milliseconds(500), [this, Vm] { report(Vm); });
  }

  void changeSomething() {
    size_t Vm = Random_() % Vms_.size();
    switch (Random_() % 8) {
    case 0:
      Vms_[Vm]->Limiter_.reset();
      Vms_[Vm]->Limiter_.setLimit({Limit_, Clock_.now()});
      break;
    case 1:
      Ledger_ = std::make_unique<RateLedger>();
      break;
    default:
      changeLoad(Vm);
    }
    Clock_.after(drawTime(seconds(4)), [this] { changeSomething(); });
  }

  double Offered_ = 0;     ///< Arrivals so far.
  double Limit_;           ///< Requests per second that the server accepts.
  VirtualTime Clock_;      ///< Virtual time.
  std::mt19937_64 Random_; ///< Draws loads, times and faults.
  std::unique_ptr<RateLedger> Ledger_ =
      std::make_unique<RateLedger>();             ///< Ledger of the server.
  std::vector<std::unique_ptr<SimulatedVm>> Vms_; ///< VMs by index.
  std::vector<Time> Starts_;                      ///< Starts at the server.
};

BackendServerConfig makeServer(const std::string &Id) {
  BackendServerConfig Server;
  Server.Id_ = Id;
  Server.Zone_ = "north-a";
  Server.Region_ = "north";
  Server.Slots_ = 8;
  return Server;
}

WaitingRequest makeRequest(uint64_t Flow, Time Now) {
  WaitingRequest Request;
  Request.Flow_ = FlowIndex(Flow);
  Request.Route_ = 1;
  Request.Arrived_ = Now;
  Request.ObjectiveAt_ = Now + milliseconds(400);
  Request.Deadline_ = Now + milliseconds(1200);
  return Request;
}

template <typename Action>
size_t countActions(const std::vector<BalancerAction> &Actions) {
  return static_cast<size_t>(std::count_if(
      Actions.begin(), Actions.end(), [](const BalancerAction &Each) {
        return std::holds_alternative<Action>(Each);
      }));
}

std::optional<double> decodeLimit(const char *Text) {
  ResponseMessage Response;
  Response.set(platform::header::RateLimit, Text);
  return platform::decodeServerResponse(Response).RateLimit_;
}

} // namespace

TEST_CASE("rate limit: VMs together stay within a server's limit while loads "
          "change and VMs restart") {
  for (unsigned Vms : {1U, 4U, 7U, 24U})
    for (double Limit : {1.0, 4.8, 12.7, 60.0}) {
      CAPTURE(Vms, Limit);
      Simulation Model(Vms, Limit);
      Time From = Model.getTime() + RateSettleTime;
      constexpr double Length = 120;
      std::vector<Time> Starts = Model.run(seconds(120));
      double Possible = std::min(Model.getOffered(), Length * Limit);
      CHECK(getPeakRuns(Starts, From) <= getAllowedRuns(Limit));
      // The limit is used, not avoided.
      CHECK(static_cast<double>(Starts.size()) >= Possible / 2);
    }
}

TEST_CASE(
    "rate ledger: the shares of all VMs add up to no more than the limit, and "
    "meet what they need") {
  std::mt19937 Random(Seed);
  for (unsigned Round = 0; Round < 200; ++Round) {
    RateLedger Ledger;
    constexpr double Limit = 10;
    unsigned Vms = 1 + Random() % 24;
    std::vector<double> Demands;
    for (unsigned I = 0; I < Vms; ++I)
      Demands.push_back(Random() % 100 * 0.05);
    double Sum = 0;
    for (unsigned Pass = 0; Pass < 2; ++Pass) {
      Sum = 0;
      for (unsigned I = 0; I < Vms; ++I)
        Sum += Ledger.report("s", std::to_string(I), Demands[I],
                             makeLimit(Limit), 1, Start);
    }
    double Needed = std::accumulate(Demands.begin(), Demands.end(), 0.0);
    CHECK(Sum <= Limit + 1e-9);
    CHECK(Sum >= std::min(Limit, Needed) - 1e-9);
  }
}

TEST_CASE("rate ledger: a VM that needs little leaves the rest to others") {
  RateLedger Ledger;
  auto Report = [&](const char *Vm, double Demand) {
    return Ledger.report("s", Vm, Demand, makeLimit(10), 1, Start);
  };
  Report("a", 1);
  Report("b", 50);
  CHECK(Report("c", 50) == Approx(4.5));
  CHECK(Report("b", 50) == Approx(4.5));
  CHECK(Report("a", 1) == Approx(1));
}

TEST_CASE("rate ledger: a VM that no longer reports loses its share") {
  RateLedger Ledger;
  Ledger.report("s", "a", 50, makeLimit(10), 1, Start);
  CHECK(Ledger.report("s", "b", 50, makeLimit(10), 1, Start) == Approx(5));
  Time Later = Start + RateLedger::ReportLifetime;
  CHECK(Ledger.report("s", "b", 50, makeLimit(10), 1, Later) == Approx(10));
}

TEST_CASE("rate ledger: the newest statement of a server counts, whichever VM "
          "heard it") {
  RateLedger Ledger;
  Ledger.report("s", "a", 5, makeLimit(10, Start), 1, Start);
  Ledger.report("s", "b", 5, makeLimit(std::nullopt, Start + seconds(1)), 1,
                Start + seconds(1));
  Ledger.report("s", "a", 5, makeLimit(10, Start), 1, Start + seconds(1));
  CHECK_FALSE(Ledger.getLimit("s").PerSecond_);
  SharedRateLimiter Limiter;
  Limiter.setLimit(makeLimit(10, Start));
  Limiter.setLimit(Ledger.getLimit("s"));
  CHECK_FALSE(Limiter.isLimited());
}

TEST_CASE("rate limiter: nothing starts at a server with a new limit before a "
          "share is set") {
  SharedRateLimiter Limiter;
  CHECK(Limiter.getWait(0, Start) == Duration(0));
  Limiter.setLimit(makeLimit(10));
  CHECK_FALSE(Limiter.getWait(0, Start + seconds(5)));
  Limiter.setShare(4, Start);
  CHECK(Limiter.getWait(0, Start) == milliseconds(250));
  CHECK(Limiter.getWait(2, Start) == milliseconds(750));
  CHECK(Limiter.getWait(0, Start + milliseconds(250)) == Duration(0));
}

TEST_CASE("rate limiter: a lower limit reduces the share at once") {
  SharedRateLimiter Limiter;
  Limiter.setLimit(makeLimit(10));
  Limiter.setShare(4, Start);
  Limiter.setLimit(makeLimit(5, Start + seconds(1)));
  CHECK(Limiter.getShare() == Approx(2));
}

TEST_CASE("rate limiter: an unused share is not saved up") {
  SharedRateLimiter Limiter;
  Limiter.setLimit(makeLimit(10));
  Limiter.setShare(2, Start);
  Time Later = Start + seconds(60);
  Limiter.recordStart(Later);
  CHECK(Limiter.getWait(0, Later) > Duration(0));
}

TEST_CASE("rate limiter: a VM whose share was too small asks for more") {
  SharedRateLimiter Limiter;
  Limiter.setLimit(makeLimit(10));
  Limiter.setShare(4, Start);
  double Idle = Limiter.takeDemand(Start);
  CHECK(Idle < 4);
  Limiter.recordShortage();
  CHECK(Limiter.takeDemand(Start) > 4);
  CHECK(Limiter.takeDemand(Start) == Idle);
}

TEST_CASE("balancer: a limited server gets its share, and others get the "
          "rest") {
  RegionShiftLimiter Gate{1};
  ServiceBalancer Balancer{Gate};
  BackendServerConfig Farther = makeServer("b");
  Farther.RoundTrip_ = milliseconds(20);
  Balancer.setServers({makeServer("a"), Farther});
  CHECK(Balancer.setRateLimit("a", makeLimit(10)));
  CHECK_FALSE(Balancer.setRateLimit("a", makeLimit(10)));
  Balancer.setRateShare("a", makeLimit(10), 4, Start);
  std::map<std::string, unsigned> Starts;
  uint64_t Flow = 0;
  for (Time Now = Start; Now < Start + seconds(10); Now += milliseconds(50)) {
    Balancer.submit(makeRequest(++Flow, Now));
    for (const BalancerAction &Each : Balancer.step(Now)) {
      const auto *Sent = std::get_if<StartAttempt>(&Each);
      REQUIRE(Sent);
      ++Starts[Sent->Server_];
      Balancer.endAttempt({Sent->Flow_,
                           1,
                           milliseconds(400),
                           Sent->Server_,
                           ServerAttemptOutcome::Served,
                           milliseconds(100),
                           {}},
                          Now);
    }
  }
  CHECK(Starts["a"] <= 42);
  CHECK(Starts["a"] >= 30);
  CHECK(Starts["a"] + Starts["b"] == Flow);
}

TEST_CASE("balancer: a request that no rate limit lets start in time is "
          "refused at once") {
  RegionShiftLimiter Gate{1};
  ServiceBalancer Balancer{Gate};
  Balancer.setServers({makeServer("a")});
  Balancer.setRateLimit("a", makeLimit(0.5));
  Balancer.setRateShare("a", makeLimit(0.5), 0.5, Start);
  Balancer.submit(makeRequest(1, Start));
  std::vector<BalancerAction> Actions = Balancer.step(Start);
  REQUIRE(countActions<RefuseRequest>(Actions) == 1);
  CHECK(std::get<RefuseRequest>(Actions[0]).Cause_ == RefusalCause::NoRoom);
}

TEST_CASE("balancer: a restarted server has no limit until it names one") {
  RegionShiftLimiter Gate{1};
  ServiceBalancer Balancer{Gate};
  Balancer.setServers({makeServer("a")});
  Balancer.setRateLimit("a", makeLimit(1));
  BackendServerConfig Restarted = makeServer("a");
  Restarted.BornMs_ = 7;
  Balancer.setServers({Restarted});
  CHECK(Balancer.getRateUse(Start).empty());
}

TEST_CASE("a limit that is not a number of requests is ignored") {
  CHECK(decodeLimit("12.5") == 12.5);
  CHECK(decodeLimit("0") == 0);
  for (const char *Text : {"", "nan", "inf", "-1", "many", "5 per second"})
    CHECK_FALSE(decodeLimit(Text));
}

TEST_CASE("rate reports keep their content, and ages instead of times") {
  RateReport Report{"vm-1", {{"s", makeLimit(4.5, Start), 3.25}}};
  Time Now = Start + milliseconds(250);
  Time There = Time(seconds(7));
  std::optional<RateReport> Read =
      decodeRateReport(encodeRateReport(Report, Now), There);
  REQUIRE(Read);
  REQUIRE(Read->Demands_.size() == 1);
  CHECK(Read->Vm_ == "vm-1");
  CHECK(Read->Demands_[0].PerSecond_ == 3.25);
  CHECK(Read->Demands_[0].Limit_.PerSecond_ == 4.5);
  CHECK(Read->Demands_[0].Limit_.NamedAt_ == There - milliseconds(250));
  CHECK_FALSE(decodeRateReport("{\"vm\":1}", Now));
  CHECK_FALSE(decodeRateReply("{", Now));
}
