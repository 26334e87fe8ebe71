/// \file route_client_base.h Stand-in for a client of the platform.
#ifndef CRANBERRY_STANDIN_ROUTE_CLIENT_BASE_H
#define CRANBERRY_STANDIN_ROUTE_CLIENT_BASE_H

#include "core/time_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <string>

namespace cranberry::standin {

/// What a client sends.
struct ClientCall {
  std::string Method_;   ///< Method.
  std::string Target_;   ///< Path and query.
  std::string Id_;       ///< Id of the attempt; no field if empty.
  std::string Key_;      ///< Affinity key; no field if empty.
  Duration Patience_{0}; ///< Told deadline; no field if zero.
};

/// What a client got.
struct ClientReply {
  unsigned Status_ = 0;       ///< Status, or 0 without a whole answer.
  std::string Body_;          ///< Body.
  std::string Signature_;     ///< Server's signature, if any.
  double RetryAfter_ = -1;    ///< Seconds, if told.
  bool WasConnected_ = false; ///< Whether there was a connection.
};

/// One connection at a time, kept while the other end keeps it.
class RouteClient {
public:
  explicit RouteClient(std::string Address) : Address_(std::move(Address)) {}

  /// Sends a request and waits for its answer.
  ClientReply call(const ClientCall &Call, Duration Limit);

  /// Sends a request and returns without waiting for the answer.
  /// \return Whether it was sent.
  bool send(const ClientCall &Call);

  /// Waits.
  void pause(Duration Length);

  /// Closes the connection.
  void reset() { Socket_.reset(); }

private:
  bool connect(Duration Limit);
  bool write(const ClientCall &Call, Duration Limit);
  template <typename Start> bool await(Duration Limit, Start Begin);

  std::string Address_;          ///< "address:port".
  boost::asio::io_context Loop_; ///< Loop of this client.
  std::unique_ptr<boost::asio::ip::tcp::socket> Socket_; ///< Null if closed.
  boost::beast::flat_buffer Buffer_; ///< Received, not parsed.
};

} // namespace cranberry::standin

#endif
