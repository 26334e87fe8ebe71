/// \file placement.cpp Assigns backend servers, ranks entry VMs for clients.
#include "process/placement_func.h"

#include "process/membership_base.h"

#include <algorithm>
#include <tuple>

namespace cranberry {

namespace {

/// One-way latency between regions without a configured link.
constexpr Duration DefaultRegionLatency = milliseconds(50);
/// Weight of each entry VM that is to receive traffic.
constexpr unsigned FullWeight = 100;

/// \return Names of the serving members of \p Zone, or of the whole \p Region
/// if \p Zone is empty.
std::vector<std::string> getCandidates(const Configuration &Config,
                                       const MemberList &Members,
                                       const std::string &Region,
                                       const std::string &Zone) {
  std::vector<std::string> Names;
  for (const Member &M : Members)
    if (isServing(M, Config) && M.Region_ == Region &&
        (Zone.empty() || M.Zone_ == Zone))
      Names.push_back(M.Vm_);
  return Names;
}

Locality getLocality(const Member &M, const std::string &Zone,
                     const std::string &Region) {
  if (M.Zone_ == Zone)
    return Locality::HomeZone;
  if (M.Region_ == Region)
    return Locality::HomeRegion;
  return Locality::OtherRegion;
}

} // namespace

bool isServing(const Member &Vm, const Configuration &Config) {
  bool IsUp =
      Vm.State_ == MemberState::Alive || Vm.State_ == MemberState::Suspect;
  return IsUp && !Config.DrainedVms_.contains(Vm.Vm_);
}

std::vector<ServerOwner> getServerOwners(const Configuration &Config,
                                         const MemberList &Members,
                                         const std::string &Service) {
  std::vector<ServerOwner> Owners;
  for (const PoolConfig &Pool : Config.Pools_) {
    const ZoneConfig *Zone = Config.findZone(Pool.Zone_);
    if (Pool.Service_ != Service || !Zone)
      continue;
    std::vector<std::string> Names =
        getCandidates(Config, Members, Zone->Region_, Zone->Name_);
    if (Names.empty())
      Names = getCandidates(Config, Members, Zone->Region_, "");
    for (const std::string &Server : Pool.Servers_) {
      std::optional<size_t> Owner = pickOwner(Names, Server);
      Owners.push_back(
          {Server, Owner ? Names[*Owner] : "", Pool.SlotsPerServer_});
    }
  }
  return Owners;
}

Duration getRegionLatency(const Configuration &Config, const std::string &From,
                          const std::string &To) {
  if (From == To)
    return Duration::zero();
  const LinkConfig *Link = Config.findLink(From, To);
  return Link ? Duration(milliseconds(Link->LatencyMs_)) : DefaultRegionLatency;
}

std::vector<LookupEntry> rankEntryVms(const Configuration &Config,
                                      const MemberList &Members,
                                      const std::string &HomeZone) {
  const ZoneConfig *Zone = Config.findZone(HomeZone);
  std::string Region = Zone ? Zone->Region_ : "";
  std::vector<LookupEntry> Entries;
  for (const Member &M : Members)
    if (isServing(M, Config))
      Entries.push_back({&M, getLocality(M, HomeZone, Region), 0});
  auto Rank = [&](const LookupEntry &E) {
    bool IsSuspect = E.Member_->State_ == MemberState::Suspect;
    return std::tuple(IsSuspect, E.Locality_,
                      getRegionLatency(Config, Region, E.Member_->Region_));
  };
  size_t EntryCount = std::min(Entries.size(), MaxLookupEntries);
  std::partial_sort(Entries.begin(),
                    Entries.begin() + static_cast<std::ptrdiff_t>(EntryCount),
                    Entries.end(),
                    [&](const LookupEntry &A, const LookupEntry &B) {
                      return Rank(A) < Rank(B);
                    });
  if (Entries.size() > MaxLookupEntries)
    Entries.resize(MaxLookupEntries);
  for (LookupEntry &Entry : Entries)
    if (Rank(Entry) == Rank(Entries.front()))
      Entry.Weight_ = FullWeight;
  return Entries;
}

} // namespace cranberry
