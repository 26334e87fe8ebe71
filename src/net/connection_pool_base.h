/// \file connection_pool_base.h Connections to HTTP servers, kept for reuse.
#ifndef CRANBERRY_NET_CONNECTION_POOL_BASE_H
#define CRANBERRY_NET_CONNECTION_POOL_BASE_H

#include "net/server_connection_base.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace cranberry {

/// An attempt under way, to cancel it by.
class AttemptHandle {
public:
  AttemptHandle() = default;
  explicit AttemptHandle(ServerConnectionPtr Connection)
      : Connection_(std::move(Connection)) {}

  /// Closes the attempt's connection, which tells the server to stop. The
  /// attempt's handler is not called any more.
  void cancel() {
    if (ServerConnectionPtr Connection = std::move(Connection_))
      Connection->close();
  }

private:
  ServerConnectionPtr Connection_; ///< Its connection.
};

/// Sends requests on idle connections, newest first, or on new ones.
class ConnectionPool {
public:
  explicit ConnectionPool(boost::asio::io_context &Loop) : IoContext_(Loop) {}

  /// Sends a request.
  /// \param Key Groups connections; the peer's identity, not its address
  /// alone, as an address may be used again by another server.
  /// \param End Called once, later, unless the attempt is cancelled.
  AttemptHandle send(const std::string &Key,
                     const boost::asio::ip::tcp::endpoint &Server,
                     AttemptSpec Spec, AttemptCallback End);

  /// Closes the idle connections to \p Key.
  void closeIdle(const std::string &Key);

  /// Closes connections that are too old to be used again.
  void closeExpired(Time Now);

  /// \return Connections opened so far.
  uint64_t getOpenedCount() const { return OpenedCount_; }

private:
  ServerConnectionPtr popIdleConnection(const std::string &Key,
                                        Duration MaxIdle);

  boost::asio::io_context &IoContext_; ///< Loop.
  absl::flat_hash_map<std::string, std::vector<ServerConnectionPtr>>
      IdleConnections_;      ///< By key, newest last.
  uint64_t OpenedCount_ = 0; ///< See getOpenedCount().
};

} // namespace cranberry

#endif
