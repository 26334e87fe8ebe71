/// \file object_placement_base.h Servers that cache an object.
#ifndef CRANBERRY_REQUEST_OBJECT_PLACEMENT_BASE_H
#define CRANBERRY_REQUEST_OBJECT_PLACEMENT_BASE_H

#include "request/server_state_base.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace cranberry {

/// Whether the division among regions assigns an object to a server's region.
enum class DivisionPlace : uint8_t {
  Undivided, ///< The request isn't divided.
  Assigned,  ///< The server is in the assigned region.
  Elsewhere, ///< Another region is assigned.
};

/// A server that an object's requests may go to.
struct PreferredServer {
  ServerState *Server_ = nullptr; ///< The server.
  unsigned Rank_ = 0;             ///< 0 for the first choice in its region.
  DivisionPlace Division_ = DivisionPlace::Undivided; ///< Place of the server.
};

/// Determines the servers that an object's requests prefer.
///
/// Each region has an order of servers for every object, by rendezvous hash.
/// The first one caches the object; the balancer uses the next ones when that
/// is too busy, so that the number of copies follows the object's demand. All
/// entry VMs reach the same order without exchanging messages, and a server
/// that joins or leaves moves only the objects that it is first for.
///
/// One order for each region answers the load of large fleets, where three
/// copies in each zone exceed the caches: 525 servers with room for 4,725
/// objects would get 7,020 copies. Every copy costs one execution without a
/// cache hit, which exceeds the latency objective there.
class ObjectPlacement {
public:
  /// Copies of an object in a region, at most.
  static constexpr unsigned MaxServersPerRegion = 4;

  /// Replaces the servers. They must outlive this object or the next call.
  void setServers(const std::vector<ServerState *> &Servers);

  /// \param Key Hash of the object; 0 for a request without one.
  /// \return Up to MaxServersPerRegion servers of each region, or all servers
  /// for a request without an object. Valid until the next call.
  const std::vector<PreferredServer> &getServers(uint64_t Key);

private:
  struct HashedServer {
    ServerState *Server_; ///< The server.
    uint64_t IdHash_;     ///< Hash of its instance id.
  };
  using RegionServers = std::vector<HashedServer>;

  /// Maximum number of objects whose servers are cached.
  static constexpr size_t MaxCachedObjects = 4096;

  static void appendFirst(const RegionServers &Servers, uint64_t Key,
                          std::vector<PreferredServer> &Out);

  std::vector<RegionServers> Regions_;      ///< Servers by region.
  std::vector<PreferredServer> AllServers_; ///< All servers, with rank 0.
  /// Preferred servers by object; cleared when the servers change.
  absl::flat_hash_map<uint64_t, std::vector<PreferredServer>> ByObject_;
};

} // namespace cranberry

#endif
