/// \file steering_fixture_base.h A fleet whose requests show their service.
#ifndef CRANBERRY_TEST_SUPPORT_STEERING_FIXTURE_BASE_H
#define CRANBERRY_TEST_SUPPORT_STEERING_FIXTURE_BASE_H

#include "standin/route_client_base.h"
#include "standin/routed_fleet_base.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace cranberry::test {

/// Fleet that serves "/read/", in a directory that is removed at the end.
class SteeringFixture {
public:
  explicit SteeringFixture(const standin::FleetPlan &Plan)
      : Directory_(makeDirectory()),
        Fleet_(Plan, std::string(PROGRAM_DIR) + "/cranberryd",
               Directory_.string()) {
    Fleet_.configure(nlohmann::json::array(
        {standin::makeRoute("r-read", "/read/", "one", true, seconds(3))}));
  }

  ~SteeringFixture() { std::filesystem::remove_all(Directory_); }

  void startAll() {
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      Fleet_.start(I);
    for (size_t I = 0; I < Fleet_.getVmCount(); ++I)
      REQUIRE(Fleet_.waitReady(I, WaitTimeout));
  }

  /// Sends a request through an entry VM.
  /// \return The service that ran it, or "" if it failed.
  std::string getService(size_t Vm) {
    standin::RouteClient Client(Fleet_.vm(Vm).FrontLink_->getAddress());
    std::string Id = "id" + std::to_string(++Ids_);
    standin::ClientReply Reply = Client.call(
        {"GET", "/read/x", Id, std::to_string(Ids_ % 20), seconds(3)},
        seconds(10));
    for (standin::FleetServer &Each : Fleet_.servers())
      if (Reply.Status_ == 200 && Reply.Signature_ == Each.Server_->getId())
        return Each.Service_;
    return "";
  }

  /// \return Requests that the servers of an availability zone have received.
  unsigned getArrivals(const std::string &Zone) {
    unsigned Count = 0;
    for (standin::FleetServer &Each : Fleet_.servers())
      Count += Each.Zone_ == Zone ? Each.Server_->getArrivals() : 0;
    return Count;
  }

  /// Waits as long as the platform allows a change to take effect.
  static void waitForPropagation() {
    standin::RouteClient("").pause(milliseconds(2500));
  }

  template <typename F> static bool waitUntil(F Condition) {
    standin::RouteClient Pauser("");
    Time End = getNow() + WaitTimeout;
    while (!Condition() && getNow() < End)
      Pauser.pause(milliseconds(10));
    return Condition();
  }

private:
  static constexpr Duration WaitTimeout = seconds(20);

  static std::filesystem::path makeDirectory() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "cranberryXXXXXX").string();
    REQUIRE(mkdtemp(Pattern.data()));
    return Pattern;
  }

  std::filesystem::path Directory_; ///< Holds the settings and logs.

public:
  standin::RoutedFleet Fleet_; ///< Fleet under test.

private:
  int Ids_ = 0; ///< Number of the last attempt id.
};

} // namespace cranberry::test

#endif
