/// \file peer_link_base.h Interfaces for calls between entry VMs.
#ifndef CRANBERRY_NET_PEER_LINK_BASE_H
#define CRANBERRY_NET_PEER_LINK_BASE_H

#include "core/result_type.h"
#include "core/time_type.h"
#include "net/generated/peer.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cranberry {

/// Sends the reply to a peer. Must be called once; thread-safe.
template <typename Reply> using PeerRespond = std::function<void(Reply)>;

/// Handles a call from a peer. May reply later and from another thread.
template <typename Request, typename Reply>
using PeerHandler = std::function<void(Request, PeerRespond<Reply>)>;

/// Handlers of the methods that peers can call.
struct PeerHandlers {
  PeerHandler<wire::Heartbeat, wire::Heartbeat>
      Exchange_; ///< Exchanges heartbeats.
  PeerHandler<wire::ChangesRequest, wire::ChangesReply>
      GetChanges_; ///< Returns object changes.
  PeerHandler<wire::SlotRequest, wire::SlotReply>
      AskSlots_; ///< Handles slot requests.
  PeerHandler<wire::SlotRelease, wire::Empty>
      ReleaseSlots_; ///< Handles returned slots.
  PeerHandler<wire::ForwardRequest, wire::ForwardReply>
      Forward_; ///< Handles forwarded requests.
};

/// Serves calls from peers.
class PeerServer {
public:
  /// Opens the port and starts serving calls.
  /// \param Address "address:port"; port 0 selects a free port.
  /// \param[out] Why Set to PortUnavailable on failure.
  /// \return The server, or nullptr on failure.
  static std::unique_ptr<PeerServer> open(const std::string &Address,
                                          PeerHandlers Handlers, Reason &Why);
  virtual ~PeerServer() = default;

  /// \return Bound "address:port".
  virtual const std::string &getAddress() const = 0;

  /// Stops the server. Calls in progress are cancelled after \p Grace.
  virtual void shutdown(Duration Grace) = 0;
};

/// Called with the reply, or std::nullopt if the call failed.
template <typename Reply>
using PeerReplyHandler = std::function<void(std::optional<Reply>)>;

/// Caches connections to peers and makes calls on them. Thread-safe; reply
/// handlers run on gRPC's threads.
class PeerClient {
public:
  /// \return A client that uses gRPC.
  static std::unique_ptr<PeerClient> create();
  virtual ~PeerClient() = default;

  /// Checks whether the connection to a peer is ready; if not, starts to
  /// connect. A caller that then makes no call knows that nothing was sent.
  /// \return Whether the connection was alive at the last check.
  virtual bool isConnected(const std::string &Address) = 0;

  virtual void exchange(const std::string &Address, wire::Heartbeat Body,
                        Duration Timeout,
                        PeerReplyHandler<wire::Heartbeat> Replied) = 0;
  virtual void getChanges(const std::string &Address, wire::ChangesRequest Body,
                          Duration Timeout,
                          PeerReplyHandler<wire::ChangesReply> Replied) = 0;
  virtual void askSlots(const std::string &Address, wire::SlotRequest Body,
                        Duration Timeout,
                        PeerReplyHandler<wire::SlotReply> Replied) = 0;
  virtual void releaseSlots(const std::string &Address, wire::SlotRelease Body,
                            Duration Timeout,
                            PeerReplyHandler<wire::Empty> Replied) = 0;
  /// Forwards a request to a peer.
  /// \return Function that cancels the call.
  virtual std::function<void()>
  forward(const std::string &Address, wire::ForwardRequest Body,
          Duration Timeout, PeerReplyHandler<wire::ForwardReply> Replied) = 0;
};

} // namespace cranberry

#endif
