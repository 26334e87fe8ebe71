/// \file route_client_base.h Stand-in for a client of the platform.
#ifndef CRANBERRY_STANDIN_ROUTE_CLIENT_BASE_H
#define CRANBERRY_STANDIN_ROUTE_CLIENT_BASE_H

#include "core/time_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cranberry::standin {

/// A client request.
struct ClientCall {
  std::string Method_;   ///< HTTP method.
  std::string Target_;   ///< Path and query.
  std::string Id_;       ///< Attempt id; omitted if empty.
  std::string Key_;      ///< Affinity key; omitted if empty.
  Duration Deadline_{0}; ///< Relative deadline; omitted if zero.
  /// Further header fields, by name; a name may occur several times.
  std::vector<std::pair<std::string, std::string>> Fields_;
  std::string Body_; ///< Request body, sent with its length.
};

/// Result of a client request.
struct ClientReply {
  unsigned Status_ = 0;       ///< HTTP status; 0 without a complete response.
  std::string Body_;          ///< Response body.
  std::string Signature_;     ///< Backend server's signature, if any.
  double RetryAfter_ = -1;    ///< Retry-After in seconds; -1 if absent.
  bool WasConnected_ = false; ///< Whether a connection was open.
};

/// Blocking HTTP client with one persistent connection.
class RouteClient {
public:
  explicit RouteClient(std::string Address) : Address_(std::move(Address)) {}

  /// Sends a request and waits for its response. \p Limit applies to each step:
  /// connecting, writing and reading.
  ClientReply call(const ClientCall &Call, Duration Limit);

  /// Sends a request without waiting for its response.
  /// \return Whether it was sent.
  bool send(const ClientCall &Call);

  /// Blocks for \p Length.
  void pause(Duration Length);

  /// Closes the connection.
  void reset() { Socket_.reset(); }

private:
  bool connect(Duration Limit);
  bool write(const ClientCall &Call, Duration Limit);
  template <typename Start> bool await(Duration Limit, Start Begin);

  std::string Address_;          ///< "address:port".
  boost::asio::io_context Loop_; ///< Runs the socket operations.
  std::unique_ptr<boost::asio::ip::tcp::socket> Socket_; ///< Null while closed.
  boost::beast::flat_buffer Buffer_; ///< Received data not yet parsed.
};

} // namespace cranberry::standin

#endif
