/// \file server_state_test.cpp What a server's answers tell of its room and its
/// speed.
#include "request/server_state_base.h"

#include <catch2/catch.hpp>

using namespace cranberry;

namespace {

constexpr Duration Work = milliseconds(200);

/// A server with a test clock.
struct Fixture {
  ServerState Server_{makeConfig()};
  Time Now_{seconds(100)};
  uint64_t NextFlow_ = 1;

  static BackendServerConfig makeConfig() {
    BackendServerConfig Config;
    Config.Id_ = "s1";
    Config.Slots_ = 6;
    return Config;
  }

  /// Sends a request that ends after \p Ran.
  void serve(ServerAttemptOutcome Outcome, Duration Ran,
             std::optional<LoadReport> Load = std::nullopt) {
    EndedAttempt Ended;
    Ended.Flow_ = FlowIndex(NextFlow_++);
    Ended.Outcome_ = Outcome;
    Ended.Ran_ = Ran;
    Ended.Load_ = Load;
    Server_.recordStart(Ended.Flow_, 0, 0,
                        scaleDuration(Work, Server_.getSlowness(Now_)), Now_);
    Now_ += Ran;
    Server_.recordEnd(Ended, {Work, Work}, Now_);
  }
};

} // namespace

TEST_CASE("server state: a refusal corrects the estimated load at once") {
  // Other VMs have filled the server since its last response to this VM.
  Fixture F;
  F.serve(ServerAttemptOutcome::Served, Work, LoadReport{1, 0});
  REQUIRE(F.Server_.getExpectedWait(0, F.Now_) == Duration(0));
  F.serve(ServerAttemptOutcome::Refused, milliseconds(1), LoadReport{6, 18});
  CHECK(F.Server_.getEstimatedLoad(F.Now_) == Approx(24));
  // Nothing was heard for a second; the queue may have shrunk meanwhile.
  CHECK(F.Server_.getEstimatedLoad(F.Now_ + seconds(1)) == Approx(12));
  CHECK(F.Server_.getExpectedWait(0, F.Now_ + seconds(1)) > Duration(0));
}

TEST_CASE("server state: refusals don't delay the predicted response") {
  // A faulty server refuses each second request although it has free slots.
  Fixture F;
  for (int I = 0; I < 100; ++I) {
    F.serve(ServerAttemptOutcome::Refused, milliseconds(1), LoadReport{0, 0});
    F.serve(ServerAttemptOutcome::Served, Work, LoadReport{0, 0});
  }
  CHECK(F.Server_.getSlowness(F.Now_) == Approx(1));
  CHECK(F.Server_.getRefusalFactor() > 1.5);
  for (int I = 0; I < 30; ++I)
    F.serve(ServerAttemptOutcome::Served, Work, LoadReport{0, 0});
  CHECK(F.Server_.getRefusalFactor() == Approx(1).margin(0.05));
}

TEST_CASE("server state: failures raise the predicted time") {
  Fixture F;
  for (int I = 0; I < 100; ++I)
    F.serve(I % 2 == 0 ? ServerAttemptOutcome::Failed
                       : ServerAttemptOutcome::Served,
            scaleDuration(Work, F.Server_.getSlowness(F.Now_)));
  CHECK(F.Server_.getSlowness(F.Now_) > 1.5);
  CHECK(F.Server_.getRefusalFactor() == Approx(1));
}

TEST_CASE("server state: a server that starts again has refused nothing") {
  Fixture F;
  for (int I = 0; I < 20; ++I)
    F.serve(ServerAttemptOutcome::Refused, milliseconds(1), LoadReport{6, 18});
  BackendServerConfig Restarted = Fixture::makeConfig();
  Restarted.BornMs_ = 1;
  F.Server_.setConfig(Restarted);
  CHECK(F.Server_.getRefusalFactor() == Approx(1));
  CHECK(F.Server_.getEstimatedLoad(F.Now_) == Approx(0));
}
