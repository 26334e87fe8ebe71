/// \file fair_share_test.cpp One workspace sends many times its usual.
#include "request/service_balancer_base.h"
#include "test/support/server_model_base.h"
#include "workspace/fair_share_base.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr Duration Work = milliseconds(310);
constexpr Duration Objective = milliseconds(800);

/// Requests of one workspace, and what became of them.
struct WorkspaceLoad {
  std::string Name_;     ///< Name of the workspace.
  double PerSecond_ = 0; ///< Requests per second.
  unsigned Rank_ = 1;    ///< Weight of a response in time.
  unsigned Offered_ = 0; ///< Requests that arrived.
  unsigned InTime_ = 0;  ///< Requests answered within the objective.

  double getShare() const {
    return static_cast<double>(InTime_) / std::max(1U, Offered_);
  }
};

/// One entry VM and its servers, which several workspaces share.
class SharedRoom {
public:
  SharedRoom(std::vector<WorkspaceLoad> Loads, bool IsFair)
      : Loads_(std::move(Loads)), IsFair_(IsFair) {
    std::vector<BackendServerConfig> Known;
    ServerModelPlan Plan;
    Plan.TailShare_ = 0;
    for (unsigned I = 0; I < Servers; ++I) {
      Servers_.push_back(std::make_unique<ServerModel>(Plan, Clock_, I));
      BackendServerConfig Each;
      Each.Id_ = absl::StrCat(I);
      Each.Slots_ = Plan.Slots_;
      Known.push_back(Each);
    }
    Balancer_.setServers(Known);
  }

  /// Plays \p Length and counts the requests behind the first two seconds.
  const std::vector<WorkspaceLoad> &run(Duration Length) {
    End_ = Clock_.now() + Length;
    Measured_ = Clock_.now() + seconds(2);
    for (size_t I = 0; I < Loads_.size(); ++I)
      scheduleArrival(I);
    Clock_.runUntil(End_ + seconds(3));
    return Loads_;
  }

private:
  static constexpr unsigned Servers = 8;

  struct Flow {
    size_t Load_;            ///< Index of the workspace.
    WaitingRequest Request_; ///< Request in the balancer's terms.
    Time Sent_;              ///< Time of the start.
  };

  void scheduleArrival(size_t Index) {
    std::exponential_distribution<double> Pause(Loads_[Index].PerSecond_);
    Clock_.after(std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(Pause(Random_))),
                 [this, Index] {
                   if (Clock_.now() >= End_)
                     return;
                   arrive(Index);
                   scheduleArrival(Index);
                 });
  }

  void arrive(size_t Index) {
    WorkspaceLoad &Load = Loads_[Index];
    Time Now = Clock_.now();
    WaitingRequest Request;
    Request.Flow_ = FlowIndex(++Count_);
    Request.Arrived_ = Now;
    Request.ObjectiveAt_ = Now + Objective;
    Request.Deadline_ = Now + seconds(3);
    Request.Weight_ = Load.Rank_;
    Fairness_.recordArrival(Load.Name_, 1, Work, Now);
    if (IsFair_)
      Request.FairFactor_ = Fairness_.getFactor(Load.Name_, Now);
    Load.Offered_ += Now >= Measured_ ? 1 : 0;
    Flows_[Count_] = {Index, Request, Now};
    Balancer_.submit(Request);
    step();
  }

  void step() {
    for (const BalancerAction &Action : Balancer_.step(Clock_.now()))
      if (const auto *Start = std::get_if<StartAttempt>(&Action))
        start(*Start);
    if (Balancer_.getWaiting() > 0 && !IsWakeScheduled_) {
      IsWakeScheduled_ = true;
      Clock_.after(milliseconds(10), [this] {
        IsWakeScheduled_ = false;
        step();
      });
    }
  }

  void start(const StartAttempt &Start) {
    Flow &Open = Flows_.at(Start.Flow_.get());
    Open.Sent_ = Clock_.now();
    Fairness_.recordStart(Loads_[Open.Load_].Name_, Work, Clock_.now());
    Servers_[std::stoul(Start.Server_)]->handleRequest(
        0, [this, Start](const ServerModel::Response &Response) {
          end(Start, Response);
        });
  }

  void end(const StartAttempt &Start, const ServerModel::Response &Response) {
    const Flow &Open = Flows_.at(Start.Flow_.get());
    EndedAttempt Ended;
    Ended.Flow_ = Start.Flow_;
    Ended.Objective_ = Objective;
    Ended.Server_ = Start.Server_;
    Ended.Outcome_ = Response.IsRun_ ? ServerAttemptOutcome::Served
                                     : ServerAttemptOutcome::Refused;
    Ended.Ran_ = Clock_.now() - Open.Sent_;
    Ended.Load_ = Response.Load_;
    Balancer_.endAttempt(Ended, Clock_.now());
    if (Response.IsRun_ && Open.Request_.Arrived_ >= Measured_ &&
        Clock_.now() <= Open.Request_.ObjectiveAt_)
      ++Loads_[Open.Load_].InTime_;
    step();
  }

  std::vector<WorkspaceLoad> Loads_;                  ///< Workspaces.
  bool IsFair_;                                       ///< Whether shares bind.
  VirtualTime Clock_;                                 ///< Virtual time.
  std::mt19937_64 Random_{20261206};                  ///< Draws arrivals.
  RegionShiftLimiter ShiftLimiter_{1};                ///< Never limits.
  ServiceBalancer Balancer_{ShiftLimiter_};           ///< Under test.
  FairShare Fairness_;                                ///< Under test.
  std::vector<std::unique_ptr<ServerModel>> Servers_; ///< By index.
  std::map<uint64_t, Flow> Flows_;                    ///< By number.
  uint64_t Count_ = 0;                                ///< Requests so far.
  Time Measured_;                                     ///< Start of counting.
  Time End_;                                          ///< End of the arrivals.
  bool IsWakeScheduled_ = false; ///< Whether a step is scheduled.
};

/// Workspaces that use about 0.6 of the room together.
std::vector<WorkspaceLoad> makeLoads(double HotFactor) {
  constexpr double Usual = 7;
  constexpr int Modest = 9;
  std::vector<WorkspaceLoad> Result;
  Result.reserve(Modest + 2);
  for (int I = 0; I < Modest; ++I)
    Result.push_back({absl::StrCat("w", I), Usual});
  Result.push_back({"hot", Usual * HotFactor});
  Result.push_back({"small", 1});
  return Result;
}

double getOthersShare(const std::vector<WorkspaceLoad> &Loads) {
  unsigned Offered = 0;
  unsigned InTime = 0;
  for (const WorkspaceLoad &Each : Loads)
    if (Each.Name_ != "hot") {
      Offered += Each.Offered_;
      InTime += Each.InTime_;
    }
  return static_cast<double>(InTime) / Offered;
}

} // namespace

TEST_CASE("fair share: a workspace at eight times its usual costs the others "
          "five in a hundred at most") {
  double Usual =
      getOthersShare(SharedRoom(makeLoads(1), true).run(seconds(20)));
  std::vector<WorkspaceLoad> Fair =
      SharedRoom(makeLoads(8), true).run(seconds(20));
  double Unfair =
      getOthersShare(SharedRoom(makeLoads(8), false).run(seconds(20)));
  CAPTURE(Usual, Unfair, getOthersShare(Fair));
  CHECK(getOthersShare(Fair) >= 0.95 * Usual);
  CHECK(Unfair < 0.95 * Usual);
  // One request a second isn't starved, nor is the one that sends too much.
  CHECK(Fair.back().getShare() >= 0.9 * Usual);
  CHECK(Fair[9].InTime_ > Fair[0].InTime_);
}

TEST_CASE("fair share: ranks hold between workspaces") {
  std::vector<WorkspaceLoad> Loads = makeLoads(8);
  Loads[9].Rank_ = 2;
  std::vector<WorkspaceLoad> Played = SharedRoom(Loads, true).run(seconds(20));
  CHECK(Played[9].getShare() > Played[0].getShare());
}

TEST_CASE("fair share: factors are 1 while there is room for all") {
  FairShare Share;
  Time Now{seconds(100)};
  for (int I = 0; I < 1000; ++I) {
    Now += milliseconds(10);
    Share.recordArrival("a", 1, Work, Now);
    Share.recordStart("a", Work, Now);
    if (I % 10 == 0) {
      Share.recordArrival("b", 1, Work, Now);
      Share.recordStart("b", Work, Now);
    }
    REQUIRE(Share.getFactor("a", Now) == 1);
    REQUIRE(Share.getFactor("b", Now) == 1);
    REQUIRE(Share.getFactor("unknown", Now) == 1);
  }
}

TEST_CASE("fair share: room is divided by weight, and what one doesn't need is "
          "the others'") {
  FairShare Share;
  Time Now{seconds(100)};
  // Nine of 20 requests a step are started: one of the modest workspace, which
  // needs no more, and eight of the two that want nine each.
  for (int I = 0; I < 1000; ++I) {
    Now += milliseconds(10);
    Share.recordArrival("modest", 1, Work, Now);
    Share.recordStart("modest", Work, Now);
    for (int J = 0; J < 9; ++J) {
      Share.recordArrival("heavy", 3, Work, Now);
      Share.recordArrival("light", 1, Work, Now);
    }
    for (int J = 0; J < 4; ++J) {
      Share.recordStart("heavy", Work, Now);
      Share.recordStart("light", Work, Now);
    }
  }
  CHECK(Share.getFactor("modest", Now) == 1);
  CHECK(Share.getFactor("heavy", Now) == 1); // Its share is 6 of 8.
  CHECK(Share.getFactor("light", Now) == Approx(0.5).margin(0.05));
}
