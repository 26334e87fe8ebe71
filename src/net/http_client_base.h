/// \file http_client_base.h HTTP client with a timeout for each call.
#ifndef CRANBERRY_NET_HTTP_CLIENT_BASE_H
#define CRANBERRY_NET_HTTP_CLIENT_BASE_H

#include "core/strong_index_type.h"
#include "net/connection_pool_base.h"
#include "net/http_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace cranberry {

/// Identifies an HTTP call in flight.
using CallIndex = StrongIndex<struct CallTag, uint64_t>;

/// Makes HTTP calls on pooled connections. Each request is sent once and never
/// retried. Not thread-safe; must be used on the loop's thread.
class HttpClient {
public:
  using CompletionHandler = std::function<void(HttpResult)>;

  explicit HttpClient(boost::asio::io_context &IoContext);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call. \p OnComplete is called once, asynchronously, unless the
  /// call is cancelled.
  CallIndex startCall(HttpCall Call, CompletionHandler OnComplete);

  /// Cancels a call and closes its connection. Its completion handler is not
  /// called.
  void cancelCall(CallIndex Call);

private:
  struct Transfer;

  void completeCall(CallIndex Call, HttpResult Result);
  void sweepIfDue();

  boost::asio::io_context &IoContext_; ///< Runs all handlers.
  ConnectionPool Connections_;         ///< Keyed by address.

  /// Calls in flight. Timer handlers hold weak pointers, as
  /// one may already be queued when its call completes or the
  /// client is destroyed.
  std::map<CallIndex, std::shared_ptr<Transfer>> Transfers_;
  uint64_t NextCall_ = 1; ///< Index of the next call.
  Time NextSweep_;        ///< When expired connections are closed next.
};

} // namespace cranberry

#endif
