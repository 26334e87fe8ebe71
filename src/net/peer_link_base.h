/// \file peer_link_base.h Calls between entry VMs.
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

/// Sends the answer to a peer; called once, from any thread.
template <typename Reply> using PeerRespond = std::function<void(Reply)>;

/// Handles a call of a peer; may answer later from another thread.
template <typename Request, typename Reply>
using PeerHandler = std::function<void(Request, PeerRespond<Reply>)>;

/// Handlers for all calls that a peer can make.
struct PeerHandlers {
  PeerHandler<wire::Heartbeat, wire::Heartbeat> Exchange_; ///< Heartbeat.
  PeerHandler<wire::ChangesRequest, wire::ChangesReply> GetChanges_; ///< Pull.
  PeerHandler<wire::SlotRequest, wire::SlotReply> AskSlots_;         ///< Slots.
  PeerHandler<wire::SlotRelease, wire::Empty> ReleaseSlots_; ///< Give back.
  PeerHandler<wire::ForwardRequest, wire::ForwardReply> Forward_; ///< Pass on.
};

/// Serves the calls of peers.
class PeerServer {
public:
  /// \param Address "address:port"; port 0 lets the kernel pick.
  /// \param[out] Why PortUnavailable if there is no result.
  static std::unique_ptr<PeerServer> open(const std::string &Address,
                                          PeerHandlers Handlers, Reason &Why);
  virtual ~PeerServer() = default;

  /// \return "address:port" as bound.
  virtual const std::string &getAddress() const = 0;

  /// Ends the service; calls that are open get until \p Grace.
  virtual void shutdown(Duration Grace) = 0;
};

/// Gets the reply, or nothing when there was none.
template <typename Reply>
using PeerReplyHandler = std::function<void(std::optional<Reply>)>;

/// Keeps connections to peers and makes calls. Safe from any thread; replies
/// come on the library's threads.
class PeerClient {
public:
  static std::unique_ptr<PeerClient> create();
  virtual ~PeerClient() = default;

  /// Whether there is a connection that was alive a moment ago. If not, one is
  /// being made. A call that is not started is known not to have been sent.
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
  /// \return A function that cancels the call.
  virtual std::function<void()>
  forward(const std::string &Address, wire::ForwardRequest Body,
          Duration Timeout, PeerReplyHandler<wire::ForwardReply> Replied) = 0;
};

} // namespace cranberry

#endif
