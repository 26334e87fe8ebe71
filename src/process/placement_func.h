/// \file placement_func.h Assigns backend servers, ranks entry VMs for clients.
#ifndef CRANBERRY_PROCESS_PLACEMENT_FUNC_H
#define CRANBERRY_PROCESS_PLACEMENT_FUNC_H

#include "process/member_type.h"
#include "version/configuration_type.h"

#include <set>
#include <string>
#include <vector>

namespace cranberry {

/// A backend server and its owner, the only entry VM that dispatches to it.
struct ServerOwner {
  std::string Server_; ///< "address:port".
  std::string Vm_;     ///< Name of the owner; empty if there is none.
  unsigned Slots_ = 1; ///< Concurrent requests the server can run.
};

/// Determines the owner of every backend server of a service.
///
/// The owner is an entry VM of the server's availability zone. If no entry VM
/// serves there, it is one of the same region, so that the loss of a zone's
/// only entry VM does not make its servers unusable.
std::vector<ServerOwner> getServerOwners(const Configuration &Config,
                                         const MemberList &Members,
                                         const std::string &Service);

/// Distance classes of entry VMs relative to a client, nearest first.
enum class Locality : uint8_t {
  HomeZone,    ///< Client's home availability zone.
  HomeRegion,  ///< Another zone of the client's home region.
  OtherRegion, ///< Any other region.
};

/// One entry VM in a lookup response.
struct LookupEntry {
  const Member *Member_; ///< Record of the entry VM.
  Locality Locality_;    ///< Distance class relative to the client.
  unsigned Weight_;      ///< Relative share of the client's requests.
};

/// Maximum number of entry VMs in a lookup response. Bounds the response as the
/// fleet grows.
inline constexpr size_t MaxLookupEntries = 8;

/// Ranks the serving entry VMs for a client: suspected ones last, then by
/// distance class and by latency between regions. All entries that rank equal
/// to the first share the traffic; the others have weight 0 and are fallbacks.
/// \param HomeZone Client's home availability zone.
/// \return At most MaxLookupEntries entries, which point into \p Members.
std::vector<LookupEntry> rankEntryVms(const Configuration &Config,
                                      const MemberList &Members,
                                      const std::string &HomeZone);

/// \return One-way latency between two regions; zero within a region, and a
/// default if the configuration has no link between them.
Duration getRegionLatency(const Configuration &Config, const std::string &From,
                          const std::string &To);

/// \return Whether \p Vm accepts new requests: it is alive or suspected, and
/// not drained.
bool isServing(const Member &Vm, const Configuration &Config);

} // namespace cranberry

#endif
