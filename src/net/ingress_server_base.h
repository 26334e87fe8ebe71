/// \file ingress_server_base.h Single-threaded HTTP/1.1 server with pipelining.
#ifndef CRANBERRY_NET_INGRESS_SERVER_BASE_H
#define CRANBERRY_NET_INGRESS_SERVER_BASE_H

#include "core/result_type.h"
#include "core/time_type.h"
#include "net/http_message_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cranberry {

class IngressConnection;

/// Size limits and timeouts for clients.
struct IngressLimits {
  size_t MaxHeaderBytes_ = 16384;       ///< Maximum size of a request head.
  size_t MaxBodyBytes_ = 64U << 20;     ///< Maximum size of a request body.
  Duration HeaderTimeout_ = seconds(3); ///< To receive a request head.
  Duration IdleTimeout_ = seconds(15); ///< Between requests or parts of a body.
  size_t MaxConnections_ =
      std::numeric_limits<size_t>::max(); ///< Open connections.
};

/// A request and the position of its response on the connection.
class IngressExchange {
public:
  IngressExchange(std::weak_ptr<IngressConnection> Connection,
                  RequestMessage Message, Time Arrived)
      : Connection_(std::move(Connection)), Message_(std::move(Message)),
        ArrivalTime_(Arrived) {}

  RequestMessage &getMessage() { return Message_; }
  Time getArrivalTime() const { return ArrivalTime_; }

  /// Sends the response. Has no effect if a response exists already or the
  /// client has disconnected. Responses are sent in request order.
  void respond(const ResponseMessage &Response);

  /// Closes the connection without a response.
  void dropConnection();

  bool hasResponse() const { return HasResponse_; }

  /// \param Action Called once if the client disconnects before the response.
  void setDisconnectHandler(std::function<void()> Action) {
    OnDisconnect_ = std::move(Action);
  }

private:
  friend class IngressConnection;

  std::weak_ptr<IngressConnection> Connection_; ///< Connection of the client.
  RequestMessage Message_;                      ///< Request.
  Time ArrivalTime_;               ///< When it was received completely.
  std::string SerializedResponse_; ///< Response in wire format, if any.
  bool HasResponse_ = false;       ///< Set by respond() or a disconnect.
  bool IsHeadRequest_ = false;     ///< Whether the method is HEAD.
  bool IsKeepAlive_ = true;        ///< Whether the client allows keep-alive.
  std::function<void()> OnDisconnect_; ///< See setDisconnectHandler().
};

using IngressExchangePtr = std::shared_ptr<IngressExchange>;
using IngressHandler = std::function<void(const IngressExchangePtr &)>;

/// Accepts connections on one address. Not thread-safe; must be used on the
/// loop's thread.
class IngressServer {
public:
  IngressServer(boost::asio::io_context &IoContext, IngressHandler Handler);
  ~IngressServer();

  /// Opens the port and starts accepting connections.
  /// \param Address "address:port"; port 0 selects a free port.
  /// \param[out] Why Set to PortUnavailable on failure.
  /// \return Whether the port is open.
  bool open(const std::string &Address, Reason &Why);

  /// Accepts connections on the port that \p First has opened, to serve them on
  /// the loop of another thread.
  /// \param[out] Why Set to PortUnavailable on failure.
  /// \return Whether the listener is shared.
  bool shareListener(IngressServer &First, Reason &Why);

  /// \return Bound "address:port".
  const std::string &getAddress() const { return Address_; }

  void setLimits(const IngressLimits &Limits) { Limits_ = Limits; }
  const IngressLimits &getLimits() const { return Limits_; }

  /// \param Handler Called for each request whose body is too large; the
  /// request is passed without its body. If unset, the response to such
  /// requests is 413.
  void setOversizeHandler(IngressHandler Handler) {
    OversizeHandler_ = std::move(Handler);
  }

  /// Makes the last response on each connection ask the client to close it.
  void startDrain() { IsDraining_ = true; }
  bool isDraining() const { return IsDraining_; }

  /// Stops accepting connections and closes idle ones.
  void stopAccepting();

  size_t getConnectionCount() const { return Connections_.size(); }

  /// \return Whether any received request has an unsent response.
  bool hasOpenRequests() const;

private:
  friend class IngressConnection;

  void accept();
  void sweep();

  boost::asio::io_context &IoContext_;      ///< Runs all handlers.
  boost::asio::ip::tcp::acceptor Acceptor_; ///< Listening socket.
  boost::asio::steady_timer SweepTimer_;    ///< Checks timeouts periodically.
  boost::asio::steady_timer
      AcceptRetryTimer_;           ///< Delays accept() after a failure.
  IngressHandler Handler_;         ///< Called for each request.
  IngressHandler OversizeHandler_; ///< See setOversizeHandler().
  IngressLimits Limits_;           ///< Current limits.
  std::string Address_;            ///< Bound address.
  bool IsDraining_ = false;        ///< See startDrain().
  bool IsAcceptStopped_ = false;   ///< See stopAccepting().
  std::set<std::shared_ptr<IngressConnection>>
      Connections_; ///< Open connections.
};

/// Parses "address:port" with an IPv4 address.
/// \return The endpoint, or std::nullopt if \p Text is invalid.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Text);

/// \return Current time of the monotonic clock, in the resolution of Duration.
inline Time getNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

} // namespace cranberry

#endif
