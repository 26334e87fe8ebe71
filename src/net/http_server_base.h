/// \file http_server_base.h Multi-threaded HTTP server for complete requests.
#ifndef CRANBERRY_NET_HTTP_SERVER_BASE_H
#define CRANBERRY_NET_HTTP_SERVER_BASE_H

#include "core/result_type.h"
#include "net/http_type.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberry {

/// Resource limits of an HTTP server.
struct HttpServerLimits {
  unsigned Threads_ = 2;           ///< Number of worker threads.
  unsigned MaxConnections_ = 4096; ///< Maximum open connections, all threads.
  size_t MaxBodyBytes_ = 4U << 20; ///< Maximum size of a request body.
};

/// An HTTP server on one address. Pipelined requests of one connection may be
/// handled concurrently; their responses are sent in request order.
class HttpServer {
public:
  /// Opens the port and starts the threads.
  /// \param Address "address:port"; port 0 selects a free port.
  /// \param Handler Called on the server's threads.
  /// \param[out] Why Set to PortUnavailable on failure.
  /// \return The server, or nullptr on failure.
  static std::unique_ptr<HttpServer> open(const std::string &Address,
                                          const HttpServerLimits &Limits,
                                          const HttpHandler &Handler,
                                          Reason &Why);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// \return Bound "address:port".
  const std::string &getAddress() const { return Address_; }

  /// \return Whether any received request has an unsent response.
  bool hasOpenRequests() const;

  /// Stops accepting connections. Idle ones are closed; on the others the last
  /// response asks the client to close.
  void stopAccepting();

private:
  class Worker;

  HttpServer() = default;

  std::vector<std::shared_ptr<Worker>> Workers_; ///< One per thread.
  std::string Address_;                          ///< Bound address.
};

} // namespace cranberry

#endif
