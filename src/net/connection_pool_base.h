/// \file connection_pool_base.h Pool of keep-alive connections to HTTP servers.
#ifndef CRANBERRY_NET_CONNECTION_POOL_BASE_H
#define CRANBERRY_NET_CONNECTION_POOL_BASE_H

#include "net/server_connection_base.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace cranberry {

/// Handle that cancels an attempt in flight.
class AttemptHandle {
public:
  AttemptHandle() = default;
  explicit AttemptHandle(ServerConnectionPtr Connection)
      : Connection_(std::move(Connection)) {}

  /// Closes the attempt's connection, so that the server can abort the request.
  /// The attempt's callback is not called afterwards.
  void cancel() {
    if (ServerConnectionPtr Connection = std::move(Connection_))
      Connection->close();
  }

private:
  ServerConnectionPtr Connection_; ///< Connection that carries the attempt.
};

/// Sends requests on idle connections, most recently used first, or on new
/// ones.
class ConnectionPool {
public:
  explicit ConnectionPool(boost::asio::io_context &IoContext)
      : IoContext_(IoContext) {}

  /// Sends a request.
  /// \param Key Identity of the server. The address alone is not enough, as
  /// another server may reuse it.
  /// \param OnComplete Called once, asynchronously, unless the attempt is
  /// cancelled.
  AttemptHandle send(const std::string &Key,
                     const boost::asio::ip::tcp::endpoint &Server,
                     AttemptSpec Spec, AttemptCallback OnComplete);

  /// Closes the idle connections to \p Key.
  void closeIdle(const std::string &Key);

  /// Closes idle connections that have exceeded their idle timeout.
  void closeExpired(Time Now);

  /// \return Number of connections opened since the start.
  uint64_t getOpenedCount() const { return OpenedCount_; }

private:
  ServerConnectionPtr popIdleConnection(const std::string &Key,
                                        Duration MaxIdle);

  boost::asio::io_context &IoContext_; ///< Runs the sockets' handlers.
  absl::flat_hash_map<std::string, std::vector<ServerConnectionPtr>>
      IdleConnections_;      ///< By key, most recently used last.
  uint64_t OpenedCount_ = 0; ///< See getOpenedCount().
};

} // namespace cranberry

#endif
