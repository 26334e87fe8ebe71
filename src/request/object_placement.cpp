/// \file object_placement.cpp Servers that cache an object.
#include "request/object_placement_base.h"

#include <algorithm>
#include <map>

namespace cranberry {

namespace {

/// FNV-1a, which gives the same hash on every entry VM.
uint64_t hashId(const std::string &Id) {
  uint64_t Hash = 0xcbf29ce484222325ULL;
  for (unsigned char C : Id)
    Hash = (Hash ^ C) * 0x100000001b3ULL;
  return Hash;
}

/// Rendezvous hash.
/// \return A stable preference of an object for a server.
uint64_t getPreference(uint64_t Key, uint64_t IdHash) {
  uint64_t Hash =
      (Key ^ 0x9e3779b97f4a7c15ULL) * 0xff51afd7ed558ccdULL ^ IdHash;
  Hash ^= Hash >> 29U;
  Hash *= 0xbf58476d1ce4e5b9ULL;
  Hash ^= Hash >> 32U;
  Hash *= 0x94d049bb133111ebULL;
  return Hash ^ (Hash >> 29U);
}

} // namespace

void ObjectPlacement::setServers(const std::vector<ServerState *> &Servers) {
  ByObject_.clear();
  AllServers_.clear();
  Regions_.clear();
  std::map<std::string, RegionServers> ByRegion;
  for (ServerState *Server : Servers) {
    AllServers_.push_back({Server, 0});
    ByRegion[Server->getConfig().Region_].push_back(
        {Server, hashId(Server->getConfig().Id_)});
  }
  for (auto &[Region, InRegion] : ByRegion)
    Regions_.push_back(std::move(InRegion));
}

void ObjectPlacement::appendFirst(const RegionServers &Servers, uint64_t Key,
                                  std::vector<PreferredServer> &Out) {
  std::vector<std::pair<uint64_t, ServerState *>> Order;
  Order.reserve(Servers.size());
  for (const HashedServer &Each : Servers)
    Order.emplace_back(getPreference(Key, Each.IdHash_), Each.Server_);
  auto Count = std::min<size_t>(Order.size(), MaxServersPerRegion);
  std::partial_sort(
      Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(Count),
      Order.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  for (unsigned Rank = 0; Rank < Count; ++Rank)
    Out.push_back({Order[Rank].second, Rank});
}

const std::vector<PreferredServer> &ObjectPlacement::getServers(uint64_t Key) {
  if (Key == 0)
    return AllServers_;
  if (ByObject_.size() > MaxCachedObjects)
    ByObject_.clear();
  auto [Found, IsNew] = ByObject_.try_emplace(Key);
  if (IsNew)
    for (const RegionServers &Servers : Regions_)
      appendFirst(Servers, Key, Found->second);
  return Found->second;
}

} // namespace cranberry
