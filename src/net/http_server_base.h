/// \file http_server_base.h Serves whole HTTP requests on threads of its own.
#ifndef CRANBERRY_NET_HTTP_SERVER_BASE_H
#define CRANBERRY_NET_HTTP_SERVER_BASE_H

#include "core/result_type.h"
#include "net/http_type.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberry {

/// Limits of an HTTP server.
struct HttpServerLimits {
  unsigned Threads_ = 2;           ///< Threads that serve connections.
  unsigned MaxConnections_ = 4096; ///< Most open connections.
  size_t MaxBodyBytes_ = 4U << 20; ///< Largest request body.
};

/// An HTTP server on one address. Requests that share a connection may be
/// handled at the same time; their answers leave in order.
class HttpServer {
public:
  /// \param Address "address:port"; port 0 lets the kernel pick.
  /// \param Handler Called on the server's threads.
  /// \param[out] Why PortUnavailable if there is no result.
  static std::unique_ptr<HttpServer> open(const std::string &Address,
                                          const HttpServerLimits &Limits,
                                          const HttpHandler &Handler,
                                          Reason &Why);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// \return "address:port" as bound.
  const std::string &getAddress() const { return Address_; }

  /// \return Whether requests have come in whose answers are not sent.
  bool hasOpenRequests() const;

  /// Takes no new connections; open ones are served on, and asked to close.
  void stopAccepting();

private:
  class Worker;

  HttpServer() = default;

  std::vector<std::shared_ptr<Worker>> Workers_; ///< One each thread.
  std::string Address_;                          ///< As bound.
};

} // namespace cranberry

#endif
