/// \file http_client_base.h Whole HTTP calls, each with a time limit.
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

/// An HTTP call that has not ended.
using CallIndex = StrongIndex<struct CallTag, uint64_t>;

/// Makes calls on kept connections. Each is sent once: nothing is repeated
/// here. Not thread-safe; all on the loop.
class HttpClient {
public:
  using CompletionHandler = std::function<void(HttpResult)>;

  explicit HttpClient(boost::asio::io_context &Loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call. \p Ended runs later, once, unless the call is cancelled.
  CallIndex startCall(HttpCall Call, CompletionHandler Ended);

  /// Drops a call and closes its connection; its end is not reported.
  void cancelCall(CallIndex Call);

private:
  struct Transfer;

  void completeCall(CallIndex Call, HttpResult Result);
  void sweepIfDue();

  boost::asio::io_context &IoContext_; ///< Loop.
  ConnectionPool Connections_;         ///< By address.
  /// Calls out. Shared, as a timer's handler may be on its way when a call
  /// ends, or when the client goes.
  std::map<CallIndex, std::shared_ptr<Transfer>> Transfers_;
  uint64_t NextCall_ = 1; ///< Number of the next call.
  Time NextSweep_;        ///< When old connections are looked for again.
};

} // namespace cranberry

#endif
