/// \file peer_version_test.cpp Versions that other entry VMs report.
#include "process/peer_version_tracker_base.h"

#include <catch2/catch.hpp>

using namespace cranberry;

namespace {

constexpr Time Start = Time(seconds(1000));

} // namespace

TEST_CASE("peer version: a VM is behind until the version is in force") {
  PeerVersionTracker Versions;
  Versions.setInForce(5, Start);
  Versions.recordReport(5, Start);
  Versions.recordReport(4, Start);
  CHECK_FALSE(Versions.isBehind(Start));
  CHECK(Versions.getNewest() == 5);
  Versions.recordReport(7, Start);
  CHECK(Versions.isBehind(Start));
  CHECK(Versions.getNewest() == 7);
  Versions.setInForce(6, Start);
  CHECK(Versions.isBehind(Start));
  Versions.setInForce(7, Start);
  CHECK_FALSE(Versions.isBehind(Start));
  CHECK(Versions.getNewest() == 7);
}

TEST_CASE("peer version: the usual source has time before another VM is asked, "
          "and few ask at a time") {
  PeerVersionTracker Versions;
  Versions.setInForce(5, Start);
  Versions.recordReport(7, Start);
  CHECK_FALSE(Versions.startFetch(7, Start));
  Time Due = Start + PeerVersionTracker::FetchDelay;
  CHECK_FALSE(Versions.startFetch(7, Due - milliseconds(1)));
  CHECK_FALSE(Versions.startFetch(5, Due)); // Has nothing newer.
  CHECK(Versions.startFetch(7, Due));
  CHECK_FALSE(Versions.startFetch(7, Due + milliseconds(1)));
  CHECK(Versions.startFetch(7, Due + PeerVersionTracker::FetchInterval));
  Versions.setInForce(7, Start);
  CHECK_FALSE(Versions.startFetch(7, Due + seconds(2)));
}

TEST_CASE(
    "peer version: versions in quick succession don't put off the fetch") {
  PeerVersionTracker Versions;
  Versions.setInForce(1, Start);
  Time Now = Start;
  bool IsFetched = false;
  for (uint64_t Version = 2; Version < 8; ++Version) {
    Now += PeerVersionTracker::FetchDelay / 2;
    Versions.recordReport(Version, Now);
    IsFetched = IsFetched || Versions.startFetch(Version, Now);
  }
  CHECK(IsFetched);
}

TEST_CASE("peer version: a version that nobody supplies counts for a limited "
          "time") {
  PeerVersionTracker Versions;
  Versions.setInForce(5, Start);
  Time Now = Start;
  for (; Now < Start + PeerVersionTracker::MaxDoubt; Now += seconds(1)) {
    Versions.recordReport(1000000, Now);
    CHECK(Versions.isBehind(Now));
  }
  Versions.recordReport(1000000, Now);
  CHECK_FALSE(Versions.isBehind(Now));
  CHECK_FALSE(Versions.startFetch(1000000, Now));
  // A later change counts again.
  Versions.recordReport(1000001, Now);
  CHECK(Versions.isBehind(Now));
}

TEST_CASE("peer version: reports take limited memory, and the newest stays") {
  PeerVersionTracker Versions;
  for (uint64_t Version = 1; Version <= 1000; ++Version)
    Versions.recordReport(Version, Start);
  CHECK(Versions.getNewest() == 1000);
  CHECK(Versions.isBehind(Start));
}

TEST_CASE(
    "peer version: other VMs confirm the version in force, and polls keep "
    "the interval") {
  PeerVersionTracker Versions;
  Versions.setInForce(5, Start);
  CHECK(Versions.getLastConfirmation() == Start);
  Time Later = Start + seconds(3);
  Versions.recordConfirmation(4, Later);
  Versions.recordConfirmation(6, Later);
  CHECK(Versions.getLastConfirmation() == Start);
  Versions.recordConfirmation(5, Later);
  CHECK(Versions.getLastConfirmation() == Later);
  // An older one says nothing more.
  Versions.recordConfirmation(5, Start);
  CHECK(Versions.getLastConfirmation() == Later);
  CHECK(Versions.startPoll(Later));
  Time Due = Later + PeerVersionTracker::FetchInterval;
  CHECK_FALSE(Versions.startPoll(Due - milliseconds(1)));
  CHECK(Versions.startPoll(Due));
  // Polls don't put off the fetch from a VM that has reported a newer version.
  Versions.recordReport(6, Later);
  CHECK(Versions.startFetch(6, Due));
  // A VM that is behind as well confirms nothing.
  Versions.recordConfirmation(5, Due);
  CHECK(Versions.getLastConfirmation() == Later);
  Versions.recordUnavailable(6);
  Versions.recordConfirmation(5, Due);
  CHECK(Versions.getLastConfirmation() == Due);
}

TEST_CASE("peer version: a report and an answer confirm nothing") {
  PeerVersionTracker Versions;
  CHECK(Versions.getLastConfirmation() == PeerVersionTracker::Never);
  CHECK(Versions.getLastAnswer() == PeerVersionTracker::Never);
  Versions.setInForce(5, Start);
  Time Later = Start + seconds(3);
  Versions.recordReport(5, Later);
  Versions.recordAnswer(4, Later);
  CHECK(Versions.getLastAnswer() == PeerVersionTracker::Never);
  Versions.recordAnswer(5, Later);
  Versions.recordAnswer(5, Start);
  CHECK(Versions.getLastAnswer() == Later);
  CHECK(Versions.getLastConfirmation() == Start);
  // Who had the version before says nothing of the next one.
  Versions.setInForce(6, Start + seconds(1));
  CHECK(Versions.getLastAnswer() == PeerVersionTracker::Never);
  CHECK(Versions.getLastConfirmation() == Start + seconds(1));
}

TEST_CASE("peer version: VMs that ask each other don't renew what the store "
          "confirmed") {
  PeerVersionTracker One;
  PeerVersionTracker Two;
  One.setInForce(5, Start);
  Two.setInForce(5, Start + seconds(1));
  constexpr Duration OneWay = milliseconds(40);
  for (Time Now = Start + seconds(2); Now < Start + seconds(20);
       Now += seconds(1)) {
    One.recordConfirmation(5, Now - (Now + OneWay - Two.getLastConfirmation()));
    Two.recordConfirmation(5, Now - (Now + OneWay - One.getLastConfirmation()));
  }
  CHECK(One.getLastConfirmation() == Start + seconds(1) - OneWay);
  CHECK(Two.getLastConfirmation() == Start + seconds(1));
}

TEST_CASE("peer version: a newer version is known until it is in force, or its "
          "VM responds without it") {
  PeerVersionTracker Versions;
  Versions.setInForce(5, Start);
  CHECK_FALSE(Versions.isNewerKnown());
  Versions.recordReport(6, Start);
  CHECK(Versions.isNewerKnown());
  Versions.recordUnavailable(6);
  CHECK_FALSE(Versions.isNewerKnown());
  Versions.recordReport(7, Start);
  CHECK(Versions.isNewerKnown());
  Versions.setInForce(7, Start);
  CHECK_FALSE(Versions.isNewerKnown());
}

TEST_CASE("peer version: a version is overdue until it is in force, or its VM "
          "responds without it") {
  constexpr Duration Limit = seconds(2);
  PeerVersionTracker Versions;
  Versions.setInForce(5, Start);
  Versions.recordReport(6, Start);
  CHECK_FALSE(Versions.isOverdue(Start + Limit - milliseconds(1), Limit));
  CHECK(Versions.isOverdue(Start + Limit, Limit));
  CHECK_FALSE(Versions.isOverdue(Start + PeerVersionTracker::MaxDoubt, Limit));
  Versions.recordReport(7, Start);
  Versions.recordUnavailable(6);
  CHECK(Versions.isOverdue(Start + Limit, Limit));
  Versions.recordUnavailable(7);
  CHECK_FALSE(Versions.isOverdue(Start + Limit, Limit));
  Versions.recordReport(8, Start);
  CHECK(Versions.isOverdue(Start + Limit, Limit));
  Versions.recordUnavailable(1000);
  CHECK(Versions.isOverdue(Start + Limit, Limit));
  Versions.setInForce(8, Start);
  CHECK_FALSE(Versions.isOverdue(Start + Limit, Limit));
}
