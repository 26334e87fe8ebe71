/// \file placement_func.h Which entry VM owns which backend server.
#ifndef CRANBERRY_PROCESS_PLACEMENT_FUNC_H
#define CRANBERRY_PROCESS_PLACEMENT_FUNC_H

#include "process/member_type.h"
#include "version/configuration_type.h"

#include <set>
#include <string>
#include <vector>

namespace cranberry {

/// A backend server and the entry VM that alone gives it work.
struct ServerOwner {
  std::string Server_; ///< "address:port".
  std::string Vm_;     ///< Owner; empty if there is none.
  unsigned Slots_ = 1; ///< Slots of the server.
};

/// Names the owner of every backend server of a service.
///
/// The owner is an entry VM of the server's availability zone; if none is
/// alive there, one of its region, so that the loss of a zone's only entry VM
/// does not take its servers out of use.
std::vector<ServerOwner> getServerOwners(const Configuration &Config,
                                         const MemberList &Members,
                                         const std::string &Service);

/// Distance classes for a look-up, nearest first.
enum class Locality : uint8_t {
  HomeZone,    ///< In the client's home availability zone.
  HomeRegion,  ///< In the same region.
  OtherRegion, ///< Elsewhere.
};

/// One entry VM in a look-up answer.
struct LookupEntry {
  const Member *Member_; ///< Entry VM.
  Locality Locality_;    ///< Distance class.
  unsigned Weight_;      ///< Share of the caller's requests.
};

/// Most entry VMs that a look-up names.
inline constexpr size_t MaxLookupEntries = 8;

/// Orders the entry VMs for a client: those in the nearest class that has any
/// get all the weight, the next few follow as a fallback. At most
/// MaxLookupEntries are named, so that an answer does not grow with the fleet.
/// \param HomeZone Client's home availability zone.
std::vector<LookupEntry> rankEntryVms(const Configuration &Config,
                                      const MemberList &Members,
                                      const std::string &HomeZone);

/// \return One-way latency between two regions; zero within one.
Duration getRegionLatency(const Configuration &Config, const std::string &From,
                          const std::string &To);

/// \return Whether \p Vm takes new work: alive or suspected, and not drained.
bool isServing(const Member &Vm, const Configuration &Config);

} // namespace cranberry

#endif
