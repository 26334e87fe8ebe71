/// \file object_placement_test.cpp Servers that cache an object.
#include "request/object_placement_base.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace cranberry;

namespace {

/// Servers of three regions, as one VM knows them.
class Servers {
public:
  explicit Servers(unsigned Count) {
    for (unsigned I = 0; I < Count; ++I)
      add(I);
    apply();
  }

  void add(unsigned Number) {
    BackendServerConfig Config;
    Config.Id_ = "s" + std::to_string(Number);
    Config.Region_ = std::string("region-") + "abc"[Number % 3];
    Config.Slots_ = 5;
    States_[Config.Id_] = std::make_unique<ServerState>(Config);
  }

  void remove(const std::string &Id) { States_.erase(Id); }

  void apply() {
    std::vector<ServerState *> All;
    for (const auto &[Id, State] : States_)
      All.push_back(State.get());
    Placement_.setServers(All);
  }

  /// \return Id of the first server for \p Key in \p Region.
  std::string getFirst(uint64_t Key, const std::string &Region) {
    for (const PreferredServer &Each : Placement_.getServers(Key))
      if (Each.Rank_ == 0 && Each.Server_->getConfig().Region_ == Region)
        return Each.Server_->getConfig().Id_;
    return "";
  }

  ObjectPlacement Placement_;

private:
  std::map<std::string, std::unique_ptr<ServerState>> States_;
};

constexpr uint64_t Objects = 600;

} // namespace

TEST_CASE("placement: all VMs reach the same servers in any order of them") {
  Servers One(90);
  Servers Two(0);
  for (unsigned I = 90; I-- > 0;)
    Two.add(I);
  Two.apply();
  for (uint64_t Key = 1; Key <= Objects; ++Key)
    CHECK(One.getFirst(Key, "region-a") == Two.getFirst(Key, "region-a"));
}

TEST_CASE("placement: an object has one first server in each region") {
  Servers Fleet(90);
  std::map<std::string, unsigned> FirstFor;
  for (uint64_t Key = 1; Key <= Objects; ++Key) {
    std::map<std::string, unsigned> ByRegion;
    std::map<std::string, unsigned> Firsts;
    for (const PreferredServer &Each : Fleet.Placement_.getServers(Key)) {
      const BackendServerConfig &Config = Each.Server_->getConfig();
      CHECK(Each.Rank_ == ByRegion[Config.Region_]++);
      Firsts[Config.Region_] += Each.Rank_ == 0 ? 1 : 0;
      FirstFor[Config.Id_] += Each.Rank_ == 0 ? 1 : 0;
    }
    CHECK(ByRegion.size() == 3);
    for (const auto &[Region, Count] : ByRegion)
      CHECK(Count == ObjectPlacement::MaxServersPerRegion);
    for (const auto &[Region, Count] : Firsts)
      CHECK(Count == 1);
  }
  // 600 objects on 30 servers of a region; no server has three times its part.
  CHECK(FirstFor.size() == 90);
  for (const auto &[Id, Count] : FirstFor)
    CHECK(Count <= 60);
}

TEST_CASE("placement: a server that leaves or returns moves only its objects") {
  Servers Fleet(90);
  std::map<uint64_t, std::string> Before;
  for (uint64_t Key = 1; Key <= Objects; ++Key)
    Before[Key] = Fleet.getFirst(Key, "region-b");
  std::string Left = Before[1];
  Fleet.remove(Left);
  Fleet.apply();
  for (const auto &[Key, First] : Before) {
    if (First == Left)
      CHECK(Fleet.getFirst(Key, "region-b") != Left);
    else
      CHECK(Fleet.getFirst(Key, "region-b") == First);
  }
  Fleet.add(static_cast<unsigned>(std::stoul(Left.substr(1))));
  Fleet.apply();
  for (const auto &[Key, First] : Before)
    CHECK(Fleet.getFirst(Key, "region-b") == First);
}

TEST_CASE("placement: a request without an object may use all servers") {
  Servers Fleet(90);
  CHECK(Fleet.Placement_.getServers(0).size() == 90);
}
