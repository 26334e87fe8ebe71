/// \file process_state_test.cpp Membership, server ownership and link budgets.
#include "process/link_budget_base.h"
#include "process/membership_base.h"
#include "process/placement_func.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

using namespace cranberry;

namespace {

/// Nodes that exchange heartbeats over a simulated network in virtual time.
class Fleet {
public:
  explicit Fleet(size_t Count) {
    for (size_t I = 0; I < Count; ++I) {
      Nodes_.push_back(makeNode(I, 1));
      IsUp_.push_back(true);
    }
  }

  std::unique_ptr<Membership> makeNode(size_t I, uint64_t Incarnation) {
    Member Self;
    Self.Vm_ = "vm" + std::to_string(1000 + I);
    Self.PeerAddress_ = std::to_string(I);
    Self.Zone_ = "z";
    Self.Incarnation_ = Incarnation;
    return std::make_unique<Membership>(
        Self, std::vector<std::string>{"0", "1"}, I + 1);
  }

  /// Runs one heartbeat period on all nodes.
  void step() {
    Now_ += Period;
    for (size_t I = 0; I < Nodes_.size(); ++I) {
      if (!IsUp_[I])
        continue;
      for (const std::string &Address :
           Nodes_[I]->selectHeartbeatTargets(Now_)) {
        size_t To = std::stoul(Address);
        HeartbeatBody Body = Nodes_[I]->makeHeartbeat(Address);
        ++Sent_;
        if (!IsUp_[To] || isPartitioned(I, To))
          Nodes_[I]->recordHeartbeatFailure(Address, Now_);
        else
          Nodes_[I]->handleHeartbeatResponse(
              Nodes_[To]->handleHeartbeat(Body, Now_), Now_);
      }
    }
  }

  bool isPartitioned(size_t A, size_t B) const {
    return (A < PartitionSize_) != (B < PartitionSize_);
  }

  /// \return Number of running nodes that list \p Vm as not leaving.
  size_t countNodesSeeing(const std::string &Vm) const {
    size_t Count = 0;
    for (size_t I = 0; I < Nodes_.size(); ++I) {
      MemberList Members = Nodes_[I]->getMembers();
      Count +=
          IsUp_[I] &&
          std::any_of(Members.begin(), Members.end(), [&](const Member &M) {
            return M.Vm_ == Vm && M.State_ != MemberState::Leaving;
          });
    }
    return Count;
  }

  static constexpr Duration Period = milliseconds(500);

  std::vector<std::unique_ptr<Membership>> Nodes_; ///< Nodes by index.
  std::vector<bool> IsUp_;                         ///< Whether each node runs.
  size_t PartitionSize_ = 0; ///< How many of the first nodes are cut off.
  Time Now_{seconds(100)};   ///< Virtual time.
  size_t Sent_ = 0;          ///< Heartbeats sent.
};

/// Runs heartbeat periods until \p Done holds, at most \p Limit.
/// \return Number of periods run.
int stepUntil(Fleet &F, const std::function<bool()> &Done, int Limit) {
  for (int I = 0; I < Limit; ++I) {
    if (Done())
      return I;
    F.step();
  }
  return Limit;
}

} // namespace

TEST_CASE("every node learns of all others, and of a failure, within a bounded "
          "number of periods") {
  for (size_t Count : {7, 50, 200}) {
    CAPTURE(Count);
    Fleet F(Count);
    int Joined = stepUntil(
        F,
        [&] {
          return std::all_of(F.Nodes_.begin(), F.Nodes_.end(),
                             [&](const std::unique_ptr<Membership> &N) {
                               return N->getMembers().size() == Count;
                             });
        },
        100);
    CHECK(Joined < 60);
    F.IsUp_[3] = false;
    int Found = stepUntil(
        F, [&] { return F.countNodesSeeing("vm1003") == 0; }, 100);
    // The suspicion timeout of 2 s takes 4 periods; the others are for
    // detecting the failure and spreading it.
    CHECK(Found <= 20);
  }
}

TEST_CASE("the heartbeats per node do not grow with the number of nodes") {
  Fleet Small(10);
  Fleet Large(300);
  for (int I = 0; I < 20; ++I) {
    Small.step();
    Large.step();
  }
  CHECK(Small.Sent_ / 10 <= 40);
  CHECK(Large.Sent_ / 300 <= 40);
}

TEST_CASE("a node that was paused rejoins without a restart") {
  Fleet F(7);
  for (int I = 0; I < 10; ++I)
    F.step();
  F.IsUp_[2] = false;
  for (int I = 0; I < 20; ++I)
    F.step();
  CHECK(F.countNodesSeeing("vm1002") == 0);
  F.IsUp_[2] = true;
  int Back = stepUntil(
      F, [&] { return F.countNodesSeeing("vm1002") == 7; }, 60);
  CHECK(Back < 30);
}

TEST_CASE("a network partition splits the view and its end merges it again") {
  Fleet F(8);
  for (int I = 0; I < 10; ++I)
    F.step();
  F.PartitionSize_ = 3;
  for (int I = 0; I < 20; ++I)
    F.step();
  CHECK(F.Nodes_[0]->getMembers().size() == 3);
  CHECK(F.Nodes_[5]->getMembers().size() == 5);
  F.PartitionSize_ = 0;
  int Healed = stepUntil(
      F,
      [&] {
        return std::all_of(F.Nodes_.begin(), F.Nodes_.end(),
                           [](const std::unique_ptr<Membership> &N) {
                             return N->getMembers().size() == 8;
                           });
      },
      60);
  CHECK(Healed < 40);
}

TEST_CASE("heartbeats alone do not change the view version, which placement "
          "follows") {
  Fleet F(20);
  for (int I = 0; I < 100; ++I)
    F.step();
  uint64_t Before = F.Nodes_[7]->getViewVersion();
  for (const std::unique_ptr<Membership> &Node : F.Nodes_) {
    Node->setKeyEpoch(5);
    Node->setRevision(9);
  }
  for (int I = 0; I < 60; ++I)
    F.step();
  CHECK(F.Nodes_[7]->getViewVersion() == Before);
  for (const Member &M : F.Nodes_[7]->getMembers())
    CHECK(M.KeyEpoch_ == 5);
  F.Nodes_[3]->announceLeaving();
  for (int I = 0; I < 10; ++I)
    F.step();
  CHECK(F.Nodes_[7]->getViewVersion() > Before);
}

TEST_CASE("a leaving node is seen as leaving by all and stays so") {
  Fleet F(7);
  for (int I = 0; I < 10; ++I)
    F.step();
  F.Nodes_[4]->announceLeaving();
  int Periods = stepUntil(
      F, [&] { return F.countNodesSeeing("vm1004") == 0; }, 20);
  CHECK(Periods <= 4);
  for (int I = 0; I < 20; ++I)
    F.step();
  CHECK(F.countNodesSeeing("vm1004") == 0);
}

TEST_CASE("a new incarnation of a VM replaces the old one") {
  Fleet F(5);
  for (int I = 0; I < 10; ++I)
    F.step();
  F.Nodes_[1] = F.makeNode(1, 2);
  for (int I = 0; I < 10; ++I)
    F.step();
  for (const Member &M : F.Nodes_[3]->getMembers())
    if (M.Vm_ == "vm1001")
      CHECK(M.Incarnation_ == 2);
}

TEST_CASE("rendezvous hashing moves only the keys of a removed owner") {
  std::vector<std::string> All{"a", "b", "c", "d"};
  std::vector<std::string> Less{"a", "b", "d"};
  int Moved = 0;
  for (int I = 0; I < 2000; ++I) {
    std::string Key = "10.0.0." + std::to_string(I) + ":80";
    const std::string &Before = All[*pickOwner(All, Key)];
    const std::string &After = Less[*pickOwner(Less, Key)];
    if (Before != "c")
      REQUIRE(Before == After);
    else
      ++Moved;
  }
  CHECK(Moved > 400);
  CHECK(Moved < 600);
  CHECK_FALSE(pickOwner({}, "x"));
}

TEST_CASE("servers of a zone without entry VMs are owned by another VM of the "
          "region") {
  Configuration Config;
  Config.Regions_ = {{"r", 0.1}, {"q", 0.1}};
  Config.Zones_ = {{"r-a", "r", 1}, {"r-b", "r", 1}, {"q-a", "q", 1}};
  Config.Pools_ = {{"s", "r-a", 2, {"10.0.0.1:80"}},
                   {"s", "r-b", 2, {"10.0.0.2:80"}}};
  MemberList Members(3);
  const char *Names[] = {"va", "vb", "vq"};
  const char *Zones[] = {"r-a", "r-b", "q-a"};
  for (size_t I = 0; I < 3; ++I) {
    Members[I].Vm_ = Names[I];
    Members[I].Zone_ = Zones[I];
    Members[I].Region_ = std::string(Zones[I]).substr(0, 1);
  }
  std::vector<ServerOwner> Owners = getServerOwners(Config, Members, "s");
  REQUIRE(Owners.size() == 2);
  CHECK(Owners[0].Vm_ == "va");
  CHECK(Owners[1].Vm_ == "vb");
  Members[0].State_ = MemberState::Leaving;
  CHECK(getServerOwners(Config, Members, "s")[0].Vm_ == "vb");
  std::vector<LookupEntry> Entries = rankEntryVms(Config, Members, "r-a");
  REQUIRE(Entries.size() == 2);
  CHECK(Entries[0].Member_->Vm_ == "vb");
  CHECK(Entries[0].Weight_ == 100);
  CHECK(Entries[1].Weight_ == 0);
  Config.DrainedVms_ = {"vb", "vq"};
  CHECK(rankEntryVms(Config, Members, "r-a").empty());
  CHECK(getServerOwners(Config, Members, "s")[0].Vm_.empty());
}

TEST_CASE(
    "no window of time carries more bytes than the rate and the burst allow") {
  std::mt19937_64 Random(5);
  LinkBudget Budget;
  Time Start{seconds(1)};
  constexpr double Rate = 1e6;
  Budget.setRate(Rate, Start);
  std::vector<std::pair<Time, size_t>> Sent;
  Time Now = Start;
  for (int I = 0; I < 5000; ++I) {
    Now += Duration(Random() % 3000);
    size_t Bytes = 1 + Random() % 4000;
    if (Budget.tryConsume(Bytes, Now))
      Sent.emplace_back(Now, Bytes);
    else
      CHECK(Budget.getReadyTime(Now) > Now);
  }
  for (size_t I = 0; I < Sent.size(); I += 50) {
    double Bytes = 0;
    for (size_t J = I; J < Sent.size(); ++J) {
      Bytes += static_cast<double>(Sent[J].second);
      double Window =
          std::chrono::duration<double>(Sent[J].first - Sent[I].first).count();
      // The last message may overdraw the token bucket by its own size.
      REQUIRE(Bytes <= Rate * (Window + 0.05) + 4000);
    }
  }
}
