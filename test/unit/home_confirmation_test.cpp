/// \file home_confirmation_test.cpp When the home regions in force still hold.
#include "process/home_confirmation_func.h"
#include "process/membership_base.h"
#include "process/peer_version_tracker_base.h"
#include "steering/heartbeat_codec_func.h"

#include <catch2/catch.hpp>

using namespace cranberry;

namespace {

constexpr Time Start = Time(seconds(1000));
constexpr Duration Limit = seconds(3);
constexpr Time Later = Start + seconds(60);

Member makeMember(const std::string &Vm, MemberState State) {
  Member Result;
  Result.Vm_ = Vm;
  Result.PeerAddress_ = Vm + ":1";
  Result.State_ = State;
  return Result;
}

/// A member list that has heard of one other VM at Start.
class Fixture {
public:
  Fixture() : Members_(makeMember("self", MemberState::Alive), {}, 1) {
    tell(MemberState::Alive, Start);
  }

  void tell(MemberState State, Time Now) {
    HeartbeatBody Body;
    Body.Sender_ = makeMember("third", MemberState::Alive);
    Body.Updates_.push_back(makeMember("other", State));
    Body.Updates_[0].Sequence_ = ++Sequence_;
    Members_.handleHeartbeat(Body, Now);
  }

  Membership Members_; ///< List under test.

private:
  uint64_t Sequence_ = 0; ///< Of the last record.
};

} // namespace

TEST_CASE("homes hold for a while after the store was known to hold nothing "
          "newer") {
  HomeEvidence Known;
  Known.Confirmed_ = Start;
  Known.Answered_ = PeerVersionTracker::Never;
  Known.IsNewerKnown_ = true;
  Known.LastLoss_ = Start;
  CHECK(doHomesHold(Known, Start + Limit - milliseconds(1), Limit));
  CHECK_FALSE(doHomesHold(Known, Start + Limit, Limit));
}

TEST_CASE("homes don't hold while a version that one VM could read may be on "
          "its way") {
  HomeEvidence Known;
  Known.Confirmed_ = Start;
  Known.Answered_ = Start + 2 * Limit - milliseconds(1);
  CHECK_FALSE(doHomesHold(Known, Start + Limit, Limit));
  CHECK_FALSE(doHomesHold(Known, Known.Answered_, Limit));
  CHECK(doHomesHold(Known, Start + 2 * Limit, Limit));

  HomeEvidence Fetched = Known; // From a VM that doesn't tell the age.
  Fetched.Confirmed_ = PeerVersionTracker::Never;
  Fetched.InForceSince_ = Start;
  CHECK_FALSE(doHomesHold(Fetched, Known.Answered_, Limit));
  CHECK(doHomesHold(Fetched, Start + 2 * Limit, Limit));
}

TEST_CASE("homes hold without the store as long as the whole fleet agrees") {
  HomeEvidence Known;
  Known.Confirmed_ = Start;
  Known.Answered_ = Later;
  CHECK(doHomesHold(Known, Later, Limit));
  CHECK(doHomesHold(Known, Later + Limit - milliseconds(1), Limit));
  CHECK_FALSE(doHomesHold(Known, Later + Limit, Limit));

  HomeEvidence Alone = Known;
  Alone.Answered_ = PeerVersionTracker::Never;
  CHECK_FALSE(doHomesHold(Alone, Later, Limit));

  HomeEvidence Late = Known;
  Late.IsNewerKnown_ = true;
  CHECK_FALSE(doHomesHold(Late, Later, Limit));

  HomeEvidence Cut = Known;
  Cut.LastLoss_ = Start + seconds(1);
  CHECK_FALSE(doHomesHold(Cut, Later, Limit));
  Cut.LastLoss_ = Start - LossMargin;
  CHECK_FALSE(doHomesHold(Cut, Later, Limit));
  // That VM had been lost while the store was there.
  Cut.LastLoss_ = Start - LossMargin - milliseconds(1);
  CHECK(doHomesHold(Cut, Later, Limit));
  CHECK(countLosses({Start, Later, Start - seconds(100)}, Start) == 2);
}

TEST_CASE("homes: a VM that is suspect or gone is lost until it is heard "
          "again") {
  Fixture F;
  CHECK(F.Members_.getLosses().empty());
  F.tell(MemberState::Suspect, Start + seconds(1));
  REQUIRE(F.Members_.getLosses().size() == 1);
  CHECK(F.Members_.getLosses()[0] == Start + seconds(1));
  F.tell(MemberState::Gone, Start + seconds(3));
  REQUIRE(F.Members_.getLosses().size() == 1);
  CHECK(F.Members_.getLosses()[0] == Start + seconds(1));
  F.tell(MemberState::Alive, Start + seconds(9));
  CHECK(F.Members_.getLosses().empty());
  F.Members_.recordHeartbeatFailure("other:1", Start + seconds(10));
  CHECK(F.Members_.getLosses().size() == 1);
}

TEST_CASE("homes: a VM that has announced its leave isn't lost") {
  Fixture F;
  F.tell(MemberState::Leaving, Start + seconds(1));
  F.Members_.recordHeartbeatFailure("other:1", Start + seconds(2));
  F.tell(MemberState::Gone, Start + seconds(3));
  CHECK(F.Members_.getLosses().empty());
  F.tell(MemberState::Alive, Start + seconds(4));
  F.tell(MemberState::Gone, Start + seconds(5));
  CHECK(F.Members_.getLosses().size() == 1);
}

TEST_CASE("homes: a VM that others name as gone at the first contact is lost") {
  Fixture F;
  HeartbeatBody Body;
  Body.Sender_ = makeMember("third", MemberState::Alive);
  Body.Updates_.push_back(makeMember("fourth", MemberState::Gone));
  F.Members_.handleHeartbeat(Body, Start);
  CHECK(F.Members_.getLosses().size() == 1);
}

TEST_CASE("homes: a VM stays lost when its record is removed") {
  Fixture F;
  F.tell(MemberState::Gone, Start);
  F.Members_.expireMembers(Start + std::chrono::hours(1));
  CHECK(F.Members_.getGoneMembers().empty());
  REQUIRE(F.Members_.getLosses().size() == 1);
  CHECK(F.Members_.getLosses()[0] == Start);
}

TEST_CASE("heartbeats carry the age of the sender's configuration, and may "
          "lack it") {
  HeartbeatBody Body;
  Body.Sender_ = makeMember("a", MemberState::Alive);
  Body.Updates_.push_back(makeMember("b", MemberState::Alive));
  std::string Without = encodeHeartbeat(Body);
  CHECK(Without.find("configAgeMs") == std::string::npos);
  CHECK_FALSE(decodeHeartbeat(Without)->ConfigAge_);
  Body.ConfigAge_ = Duration(1234567);
  std::string Text = encodeHeartbeat(Body);
  size_t At = Text.find("\"configAgeMs\":1235");
  REQUIRE(At != std::string::npos);
  CHECK(Text.find("configAgeMs", At + 2) == std::string::npos);
  CHECK(decodeHeartbeat(Text)->ConfigAge_ == milliseconds(1235));
  auto Decode = [&](const std::string &Age) {
    std::string Changed = Text;
    return decodeHeartbeat(Changed.replace(At + 14, 4, Age));
  };
  // No age makes a confirmation newer than the heartbeat.
  CHECK(Decode("-5000")->ConfigAge_ == Duration(0));
  CHECK(Decode("1e300")->ConfigAge_ == std::chrono::hours(1));
  CHECK_FALSE(Decode("\"x\""));
}
