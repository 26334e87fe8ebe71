/// \file server_pool_base.h Backend servers of one service and their slots.
#ifndef CRANBERRY_REQUEST_SERVER_POOL_BASE_H
#define CRANBERRY_REQUEST_SERVER_POOL_BASE_H

#include "core/strong_index_type.h"
#include "core/time_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// A backend server within one pool.
using ServerIndex = StrongIndex<struct ServerTag, uint16_t>;

/// A backend server to use.
struct ServerSpec {
  std::string Address_;     ///< "address:port".
  unsigned Slots_ = 1;      ///< Concurrent requests that it runs.
  bool IsDraining_ = false; ///< Whether it must get no new work.
};

/// What a server's health endpoint says.
enum class ServerHealth : uint8_t {
  Up,       ///< Takes work.
  Draining, ///< Finishes what it has.
  Down,     ///< Does not answer.
};

/// One server as status reports it.
struct ServerStatus {
  std::string Address_;     ///< "address:port".
  unsigned Slots_ = 0;      ///< Declared slots.
  unsigned Usable_ = 0;     ///< Slots that may be used now.
  unsigned InUse_ = 0;      ///< Attempts running.
  bool IsDraining_ = false; ///< Gets no new work.
  bool IsDown_ = false;     ///< Does not answer.
  bool IsSlow_ = false;     ///< Slower than its peers.
};

/// Counts what runs at each backend server and picks one for the next request.
///
/// Counts are exact, because this VM alone gives these servers work. A server
/// that starts or comes back is ramped: its usable slots start at one and
/// double each RampStep. One whose attempts run late more often than its
/// peers', by our own timing, keeps a single slot until it has recovered.
/// Counting late attempts, and not averaging their length, keeps a few
/// stragglers from making a healthy server look slow.
class ServerPool {
public:
  /// Replaces the list; servers that stay keep their counts and history.
  void setServers(const std::vector<ServerSpec> &Specs, Time Now);

  /// Notes the answer of a health endpoint.
  void setHealth(const std::string &Address, ServerHealth Health, Time Now);

  /// Picks a server with a free slot: one that is not slow, then the least
  /// used, then the one that was started longest ago, so that all stay in use.
  /// \param Avoid Server that must not be picked; may be invalid.
  std::optional<ServerIndex> pick(Time Now, ServerIndex Avoid) const;

  /// Takes a slot of \p Server.
  void acquireSlot(ServerIndex Server);

  /// Gives a slot back.
  void releaseSlot(ServerIndex Server);

  /// Notes that an attempt took \p Ran where \p Expected was usual.
  void recordTiming(ServerIndex Server, Duration Ran, Duration Expected);

  /// Notes that \p Server refused work; it rests for a growing while.
  void recordRefusal(ServerIndex Server, Time Now);

  /// Notes that no connection to \p Server could be made.
  void recordConnectFailure(ServerIndex Server);

  /// \return Free slots over all servers that take work.
  unsigned getFreeSlots(Time Now) const;

  /// \return Slots in use.
  unsigned getInUse() const { return InUse_; }

  /// \return Slots of all servers that take work, ramping included.
  unsigned getUsableSlots(Time Now) const;

  /// \return All servers that are listed or still have attempts.
  std::vector<ServerStatus> getStatus(Time Now) const;

  /// \return Whether any server takes work, now or after a rest.
  bool hasLiveServer() const;

  /// \return When a resting or ramping server gains slots next, if any does.
  std::optional<Time> getNextChange(Time Now) const;

  const std::string &getAddress(ServerIndex Server) const {
    return Servers_[Server.get()].Address_;
  }

  /// \return Whether \p Server is slower than its peers.
  bool isSlow(ServerIndex Server) const;

private:
  struct Server {
    std::string Address_;                    ///< "address:port".
    unsigned Slots_ = 1;                     ///< Declared slots.
    unsigned InUse_ = 0;                     ///< Attempts running.
    bool IsListed_ = true;                   ///< Still in the configuration.
    bool IsDraining_ = false;                ///< Drained by an operator.
    ServerHealth Health_ = ServerHealth::Up; ///< Last health.
    Time RampStart_;                         ///< When the ramp started.
    Time BackoffUntil_;                      ///< No work before.
    unsigned ConsecutiveRefusals_ = 0;       ///< In a row.
    double LateShare_ = 0.0; ///< Smoothed share of attempts that ran late.
    bool IsSlow_ = false;    ///< Slower than its peers.
    unsigned Samples_ = 0;   ///< Timings so far.
    uint64_t LastStart_ = 0; ///< Order of its newest start; 0 for none.
  };

  bool isEligible(const Server &S) const;
  unsigned getUsable(const Server &S, Time Now) const;
  double getMedianLateShare() const;

  std::vector<Server> Servers_; ///< Indices stay valid for a pool's life.
  unsigned InUse_ = 0;          ///< Sum over all servers.
  uint64_t Starts_ = 0;         ///< Starts at all servers.
};

} // namespace cranberry

#endif
