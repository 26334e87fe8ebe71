/// \file config_exchange_test.cpp Ages of configurations that VMs tell each
/// other.
#include "platform/decode_func.h"
#include "standin/reserved_port_base.h"
#include "steering/config_exchange_base.h"
#include "test/support/scripted_server_base.h"

#include <catch2/catch.hpp>

using namespace cranberry;
using namespace cranberry::test;
using nlohmann::json;

namespace {

constexpr Duration Second = seconds(1);
/// What a test may take.
constexpr Duration Slack = seconds(60);

std::string makePage(unsigned Version) {
  json Body = {{"version", "0000000" + std::to_string(Version)},
               {"routes", json::array()},
               {"services", json::array()},
               {"limits",
                {{"headerBytes", 16384},
                 {"bodyBytes", 1000},
                 {"headerTimeout", "3000ms"},
                 {"idleTimeout", "15000ms"}}}};
  return platform::encodePage({{{"main", 7, Body}}, false, 7, {}, ""});
}

/// A VM that can't read the store.
class Vm {
public:
  explicit Vm(boost::asio::io_context &Loop)
      : Store_(Loop, "127.0.0.1:1", platform::DirectStoreTimeouts),
        Log_(-1, "vm"), View_(Loop, Store_, Settings_, Log_, makeHandlers()),
        Configs_(Loop, View_, Log_, 0),
        Server_(Loop, [this](const IngressExchangePtr &Exchange) {
          ++Requests_;
          Configs_.handleRequest(Exchange);
        }) {
    Reason Why;
    REQUIRE(Server_.open("127.0.0.1:0", Why));
  }

  void apply(unsigned Version, Duration Age) {
    Reason Why;
    REQUIRE(View_.applyRelayed(makePage(Version), getNow() - Age, Why));
  }

  /// \return Whether the age is as given, but for what the test takes.
  bool hasAge(Duration Age) const {
    Duration Known = Configs_.getConfirmationAge(getNow());
    return Known >= Age && Known < Age + Slack;
  }

  /// Tells what another VM has told.
  void hear(uint64_t Version, bool IsAnswer, std::optional<Duration> Age) {
    Configs_.onVersionReported(
        {"127.0.0.1:1", Version,
         IsAnswer ? std::optional<Time>(getNow()) : std::nullopt, Age});
  }

  /// Asks another VM, and waits for the response.
  void ask(boost::asio::io_context &Loop, Vm &Other) {
    unsigned Before = Other.Requests_;
    Configs_.poll({Other.Server_.getAddress()});
    REQUIRE(runUntil(Loop, [&] { return Other.Requests_ > Before; }));
    for (int I = 0; I < 20; ++I) {
      Loop.restart();
      Loop.run_for(milliseconds(10));
    }
  }

  StoreViewHandlers makeHandlers() {
    StoreViewHandlers Result;
    Result.OnConfig_ = [this](const RoutingConfigPtr &Next, Time AsOf) {
      Configs_.setInForce(Next->Version_, AsOf);
    };
    return Result;
  }

  platform::StoreClient Store_; ///< Not called.
  Settings Settings_;           ///< Defaults.
  EventLog Log_;                ///< Discards all lines.
  StoreView View_;              ///< Configuration in force.
  ConfigExchange Configs_;      ///< Under test.
  IngressServer Server_;        ///< Port for other VMs.
  unsigned Requests_ = 0;       ///< Requests of other VMs.
};

} // namespace

TEST_CASE("config exchange: a configuration of another VM is as old as there") {
  boost::asio::io_context Loop;
  Vm One(Loop);
  Vm Two(Loop);
  One.apply(1, 1000 * Second);
  CHECK(One.hasAge(1000 * Second));
  Two.ask(Loop, One);
  REQUIRE(Two.View_.getVersion() == 1);
  CHECK(Two.hasAge(1000 * Second));
  // Nothing new, and the response to the next call says how old that is.
  One.hear(1, true, 500 * Second);
  CHECK(One.hasAge(500 * Second));
  Two.ask(Loop, One);
  CHECK(Two.hasAge(500 * Second));
  CHECK(Two.Configs_.getVersions().getLastAnswer() > getNow() - Slack);
  // Who is older confirms nothing.
  Vm Three(Loop);
  Three.apply(1, 900 * Second);
  Two.ask(Loop, Three);
  CHECK(Two.hasAge(500 * Second));
}

TEST_CASE("config exchange: only responses that tell an age confirm") {
  boost::asio::io_context Loop;
  Vm One(Loop);
  CHECK_FALSE(One.Configs_.getReportedAge());
  One.apply(1, 1000 * Second);
  CHECK(One.Configs_.getReportedAge());
  One.hear(1, false, Duration(0)); // It may have been on the way for long.
  One.hear(1, true, std::nullopt); // Of an earlier release.
  One.hear(2, true, Duration(0));
  CHECK(One.hasAge(1000 * Second));
  // Since then this VM doesn't vouch for its own, nor others for it.
  CHECK_FALSE(One.Configs_.getReportedAge());
  One.hear(1, true, Duration(0));
  CHECK(One.hasAge(1000 * Second));
}

TEST_CASE("config exchange: an age beyond what is told counts as unknown") {
  boost::asio::io_context Loop;
  Vm One(Loop);
  Vm Two(Loop);
  One.apply(1, std::chrono::hours(2));
  Two.ask(Loop, One);
  REQUIRE(Two.View_.getVersion() == 1);
  CHECK(Two.Configs_.getConfirmationAge(getNow()) > std::chrono::hours(3));
}

TEST_CASE("config exchange: a source that was never read confirms nothing") {
  boost::asio::io_context Loop;
  Vm One(Loop);
  // Before the clock began, which is where the age of the servers starts.
  Duration Age = getNow() - Time() + std::chrono::hours(1);
  One.apply(1, Age);
  CHECK(One.Configs_.getConfirmationAge(getNow()) >= Age);
}

TEST_CASE("heartbeats: only a response tells when it was asked for") {
  boost::asio::io_context Loop;
  EventLog Log(-1, "vm");
  standin::ReservedPort Ports[2];
  std::vector<std::unique_ptr<PeerExchange>> Vms;
  std::optional<VersionReport> Heard[2];
  for (unsigned I = 0; I < 2; ++I) {
    Member Self;
    Self.Vm_ = "vm" + std::to_string(I);
    Self.PeerAddress_ = Ports[I].getAddress();
    Self.Revision_ = I + 1;
    // Only the first one sends heartbeats.
    Vms.push_back(std::make_unique<PeerExchange>(
        Loop, Self, I == 0 ? milliseconds(50) : std::chrono::hours(1), Log,
        [] {}));
    Vms[I]->setVersionHandler(
        [&Heard, I](const VersionReport &Report) { Heard[I] = Report; });
    Vms[I]->setConfigAgeQuery([I] { return seconds(I + 1); });
  }
  Reason Why;
  REQUIRE(Vms[1]->open(Ports[1].getAddress(), Why));
  Vms[0]->addSeed(Ports[1].getAddress());
  Time Begin = getNow();
  REQUIRE(Vms[0]->open(Ports[0].getAddress(), Why));
  REQUIRE(runUntil(Loop, [&Heard] { return Heard[0] && Heard[1]; }));
  CHECK(Heard[0]->Version_ == 2);
  REQUIRE(Heard[0]->Asked_);
  CHECK(*Heard[0]->Asked_ >= Begin);
  CHECK(*Heard[0]->Asked_ < getNow());
  CHECK(toMilliseconds(*Heard[0]->Age_) == 2001);
  CHECK(Heard[1]->Version_ == 1);
  CHECK_FALSE(Heard[1]->Asked_);
  CHECK(toMilliseconds(*Heard[1]->Age_) == 1001);
}
