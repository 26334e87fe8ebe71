/// \file ingress_server_base.h Serves HTTP/1.1 with pipelining on one thread.
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

/// Limits on what a client may send.
struct IngressLimits {
  size_t MaxHeaderBytes_ = 16384;       ///< Largest head of a request.
  size_t MaxBodyBytes_ = 64U << 20;     ///< Largest body of a request.
  Duration HeaderTimeout_ = seconds(3); ///< From its first byte to its end.
  Duration IdleTimeout_ = seconds(15);  ///< Between requests.
  size_t MaxConnections_ = std::numeric_limits<size_t>::max(); ///< Most open.
};

/// One request of a client and the place of its answer on the connection.
class IngressExchange {
public:
  IngressExchange(std::weak_ptr<IngressConnection> Connection,
                  RequestMessage Message, Time Arrived)
      : Connection_(std::move(Connection)), Message_(std::move(Message)),
        ArrivalTime_(Arrived) {}

  RequestMessage &getMessage() { return Message_; }
  Time getArrivalTime() const { return ArrivalTime_; }

  /// Answers the request. Later calls, and calls after the client has left,
  /// do nothing. Answers leave in the order in which the requests came.
  void respond(const ResponseMessage &Response);

  /// Closes the connection without an answer.
  void dropConnection();

  bool hasResponse() const { return HasResponse_; }

  /// \param Action Called once if the client leaves before the answer.
  void setDisconnectHandler(std::function<void()> Action) {
    OnDisconnect_ = std::move(Action);
  }

private:
  friend class IngressConnection;

  std::weak_ptr<IngressConnection> Connection_; ///< Where it came from.
  RequestMessage Message_;                      ///< The request.
  Time ArrivalTime_;                            ///< When it was whole.
  std::string SerializedResponse_; ///< Serialized answer, once there is one.
  bool HasResponse_ = false;       ///< Whether respond() was called.
  bool IsHeadRequest_ = false;     ///< Whether the method is HEAD.
  bool IsKeepAlive_ = true;        ///< Whether the client keeps the connection.
  std::function<void()> OnDisconnect_; ///< Called if the client leaves.
};

using IngressExchangePtr = std::shared_ptr<IngressExchange>;
using IngressHandler = std::function<void(const IngressExchangePtr &)>;

/// Accepts connections on one address. Not thread-safe; all on the loop.
class IngressServer {
public:
  IngressServer(boost::asio::io_context &Loop, IngressHandler Handler);
  ~IngressServer();

  /// Opens the port.
  /// \param Address "address:port"; port 0 lets the kernel pick.
  /// \param[out] Why PortUnavailable if the result is false.
  bool open(const std::string &Address, Reason &Why);

  /// Takes connections of a port that \p First has opened, for a loop of
  /// another thread.
  /// \param[out] Why PortUnavailable if the result is false.
  bool shareListener(IngressServer &First, Reason &Why);

  /// \return "address:port" as bound.
  const std::string &getAddress() const { return Address_; }

  void setLimits(const IngressLimits &Limits) { Limits_ = Limits; }
  const IngressLimits &getLimits() const { return Limits_; }

  /// \param Handler Called for each request whose body is too large, which it
  /// gets without the body. Without one such requests are answered 413.
  void setOversizeHandler(IngressHandler Handler) {
    OversizeHandler_ = std::move(Handler);
  }

  /// Every answer from now on asks the client to close the connection.
  void startDrain() { IsDraining_ = true; }
  bool isDraining() const { return IsDraining_; }

  /// Takes no more connections and closes those without open requests.
  void stopAccepting();

  size_t getConnectionCount() const { return Connections_.size(); }

  /// \return Whether requests have come in whose answers are not sent.
  bool hasOpenRequests() const;

private:
  friend class IngressConnection;

  void accept();
  void sweep();

  boost::asio::io_context &IoContext_;         ///< Loop.
  boost::asio::ip::tcp::acceptor Acceptor_;    ///< Listening socket.
  boost::asio::steady_timer SweepTimer_;       ///< Looks for timed-out clients.
  boost::asio::steady_timer AcceptRetryTimer_; ///< Waits after a failed accept.
  IngressHandler Handler_;                     ///< Called for each request.
  IngressHandler OversizeHandler_;             ///< See setOversizeHandler().
  IngressLimits Limits_;                       ///< Limits in force.
  std::string Address_;                        ///< As bound.
  bool IsDraining_ = false;                    ///< See startDrain().
  bool IsAcceptStopped_ = false;               ///< See stopAccepting().
  std::set<std::shared_ptr<IngressConnection>> Connections_; ///< Open ones.
};

/// Splits "address:port".
/// \return The endpoint, or nothing if \p Text is not one.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Text);

/// \return The monotonic clock in the resolution of all decisions.
inline Time getNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

} // namespace cranberry

#endif
