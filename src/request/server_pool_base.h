/// \file server_pool_base.h Backend servers of one service and their slots.
#ifndef CRANBERRY_REQUEST_SERVER_POOL_BASE_H
#define CRANBERRY_REQUEST_SERVER_POOL_BASE_H

#include "core/strong_index_type.h"
#include "core/time_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Identifies a backend server within one pool.
using ServerIndex = StrongIndex<struct ServerTag, uint16_t>;

/// Configuration of a backend server.
struct ServerSpec {
  std::string Address_;     ///< "address:port".
  unsigned Slots_ = 1;      ///< Requests that it runs concurrently.
  bool IsDraining_ = false; ///< Whether it gets no new requests.
};

/// Health of a server, as its health endpoint reports it.
enum class ServerHealth : uint8_t {
  Up,       ///< Accepts requests.
  Draining, ///< Finishes its requests and accepts no new ones.
  Down,     ///< Does not respond.
};

/// Status of one server, for the status report.
struct ServerStatus {
  std::string Address_;     ///< "address:port".
  unsigned Slots_ = 0;      ///< Configured slots.
  unsigned Usable_ = 0;     ///< Slots that may be used now.
  unsigned InUse_ = 0;      ///< Attempts in flight.
  bool IsDraining_ = false; ///< Whether it gets no new requests.
  bool IsDown_ = false;     ///< Whether it does not respond.
  bool IsSlow_ = false;     ///< Whether it is slower than the other servers.
};

/// Tracks the attempts at each backend server and picks a server for the next
/// request.
///
/// Counts are exact, because only this VM sends requests to these servers. A
/// server that starts or recovers is ramped up: its usable slots start at one
/// and double every RampStep. A server whose attempts run late more often than
/// those of the other servers, as measured here, is limited to one slot until
/// it has recovered. The pool counts late attempts instead of averaging running
/// times, so that a few stragglers do not make a healthy server look slow.
class ServerPool {
public:
  /// Replaces the list of servers; those that stay keep their counts and
  /// history.
  void setServers(const std::vector<ServerSpec> &Specs, Time Now);

  /// Records the response of a health endpoint.
  void setHealth(const std::string &Address, ServerHealth Health, Time Now);

  /// Picks a server with a free slot: one that is not slow, then the least
  /// loaded, then the least recently used, so that all stay in use.
  /// \param Avoid Server that must not be picked; may be invalid.
  /// \return The server, or nothing if no slot is free.
  std::optional<ServerIndex> pick(Time Now, ServerIndex Avoid) const;

  /// Marks a slot of \p Server as used.
  void acquireSlot(ServerIndex Server);

  /// Frees a slot of \p Server.
  void releaseSlot(ServerIndex Server);

  /// Records that an attempt took \p Ran instead of the usual \p Expected.
  void recordTiming(ServerIndex Server, Duration Ran, Duration Expected);

  /// Records that \p Server refused a request; it gets no requests for an
  /// exponentially growing backoff.
  void recordRefusal(ServerIndex Server, Time Now);

  /// Records that no connection to \p Server could be made.
  void recordConnectFailure(ServerIndex Server);

  /// \return Free slots of all servers that accept requests.
  unsigned getFreeSlots(Time Now) const;

  /// \return Slots in use.
  unsigned getInUse() const { return InUse_; }

  /// \return Usable slots of all servers that accept requests, limited by their
  /// ramps.
  unsigned getUsableSlots(Time Now) const;

  /// \return Status of all servers that are configured or still have attempts.
  std::vector<ServerStatus> getStatus(Time Now) const;

  /// \return Whether any server accepts requests, now or after its backoff.
  bool hasLiveServer() const;

  /// \return Next time at which a backoff ends or a ramp adds slots, if any.
  std::optional<Time> getNextChange(Time Now) const;

  const std::string &getAddress(ServerIndex Server) const {
    return Servers_[Server.get()].Address_;
  }

  /// \return Whether \p Server is slower than the other servers.
  bool isSlow(ServerIndex Server) const;

private:
  struct Server {
    std::string Address_;     ///< "address:port".
    unsigned Slots_ = 1;      ///< Configured slots.
    unsigned InUse_ = 0;      ///< Attempts in flight.
    bool IsListed_ = true;    ///< Whether it is in the configuration.
    bool IsDraining_ = false; ///< Whether an operator drains it.
    ServerHealth Health_ = ServerHealth::Up; ///< Last reported health.
    Time RampStart_;                         ///< Start of the ramp.
    Time BackoffUntil_;                      ///< End of the backoff.
    unsigned ConsecutiveRefusals_ = 0;       ///< Consecutive refusals.
    double LateShare_ = 0.0; ///< Smoothed share of attempts that ran late.
    bool IsSlow_ = false;    ///< Whether it is slower than the others.
    unsigned Samples_ = 0;   ///< Number of timings so far.
    uint64_t LastStart_ = 0; ///< Sequence number of its last start; 0 for none.
  };

  bool isEligible(const Server &S) const;
  unsigned getUsable(const Server &S, Time Now) const;
  double getMedianLateShare() const;

  std::vector<Server> Servers_; ///< Never shrinks, so that indices stay valid.
  unsigned InUse_ = 0;          ///< Attempts in flight at all servers.
  uint64_t Starts_ = 0;         ///< Number of starts at all servers.
};

} // namespace cranberry

#endif
