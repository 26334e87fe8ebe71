/// \file http_server_base.h Serves HTTP on a pool of threads.
#ifndef CRANBERRY_NET_HTTP_SERVER_BASE_H
#define CRANBERRY_NET_HTTP_SERVER_BASE_H

#include "core/result_type.h"
#include "net/http_type.h"

#include <atomic>
#include <memory>
#include <optional>

struct MHD_Daemon;

namespace cranberry {

/// Limits of an HTTP server.
struct HttpServerLimits {
  unsigned Threads_ = 2;           ///< Threads that serve connections.
  unsigned MaxConnections_ = 4096; ///< Most open connections.
  size_t MaxBodyBytes_ = 4U << 20; ///< Largest request body.
};

/// An HTTP server on one address.
class HttpServer {
public:
  /// \param Address "address:port"; port 0 lets the kernel pick.
  /// \param[out] Why PortUnavailable if there is no result.
  static std::unique_ptr<HttpServer> open(const std::string &Address,
                                          const HttpServerLimits &Limits,
                                          HttpHandler Handler, Reason &Why);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// \return "address:port" as bound.
  const std::string &getAddress() const { return Address_; }

  /// \return Requests that have come in and are not answered.
  int getOpenRequests() const { return OpenRequests_; }

  /// Takes no new connections; open ones are served on.
  void stopAccepting();

private:
  friend struct HttpExchange;

  HttpServer(const HttpServerLimits &Limits, HttpHandler Handler);

  MHD_Daemon *Daemon_ = nullptr;      ///< Library's handle.
  HttpServerLimits Limits_;           ///< Limits.
  HttpHandler Handler_;               ///< Called for each whole request.
  std::string Address_;               ///< As bound.
  std::atomic<int> OpenRequests_{0};  ///< Not answered yet.
  std::atomic<bool> Accepting_{true}; ///< Until stopAccepting().
};

} // namespace cranberry

#endif
