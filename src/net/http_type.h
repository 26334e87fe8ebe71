/// \file http_type.h HTTP requests, responses and calls.
#ifndef CRANBERRY_NET_HTTP_TYPE_H
#define CRANBERRY_NET_HTTP_TYPE_H

#include "core/result_type.h"
#include "core/time_type.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cranberry {

/// Header names and values in the order in which they are sent.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A completely received request.
struct HttpRequest {
  std::string Method_;                         ///< Method, e.g. "GET".
  std::string Path_;                           ///< Path, percent-decoded.
  std::string RawPath_;                        ///< Path as received.
  std::map<std::string, std::string> Query_;   ///< Query parameters, decoded.
  std::string RawQuery_;                       ///< Query as received.
  std::map<std::string, std::string> Headers_; ///< By lower-case name.
  std::string Body_;                           ///< Body; empty if too large.
  bool IsTooLarge_ = false; ///< Body exceeded the size limit.

  /// Returns whether the client closed the connection
  /// before the response. Thread-safe.
  std::function<bool()> IsClientDisconnected_;

  /// \return Value of the header \p Name in lower case, or "".
  const std::string &getHeader(const std::string &Name) const;

  /// \return Value of the query parameter \p Name, or "".
  const std::string &getQuery(const std::string &Name) const;
};

/// A response to send.
struct HttpResponse {
  int Status_ = 200;    ///< Status code.
  HttpHeaders Headers_; ///< Headers except Content-Length.
  std::string Body_;    ///< Body, may be empty.
};

/// Sends the response. Must be called once; thread-safe.
using HttpRespond = std::function<void(HttpResponse)>;

/// Handles a request. May respond later and from another thread.
using HttpHandler = std::function<void(HttpRequest, HttpRespond)>;

/// Parameters of an outgoing HTTP call.
struct HttpCall {
  std::string Method_ = "GET";     ///< Method.
  std::string Url_;                ///< "http://address:port/path?query".
  HttpHeaders Headers_;            ///< Headers besides Host and Content-Length.
  std::string Body_;               ///< Body, may be empty.
  Duration Timeout_ = seconds(10); ///< Timeout of the whole call.
  Duration ConnectTimeout_ = seconds(1); ///< Timeout for a new connection.
  Duration MaxIdleTime_ = seconds(4);    ///< Longest idle time of a connection
                                         ///< that is used again.
  /// Whether the call must open a new connection. A reused connection may have
  /// died meanwhile, which leaves it unknown whether the request was executed.
  bool IsNewConnectionRequired_ = false;
};

/// Result of an HTTP call.
struct HttpResult {
  ResultCode Code_ = ResultCode::Ok; ///< Ok, ServerConnectFailed (no byte
                                     ///< sent), ServerAnswerTruncated or
                                     ///< ServerAnswerLost.
  int Status_ = 0;                   ///< HTTP status, if Ok.
  HttpHeaders Headers_;              ///< Response headers, names in lower case.
  std::string Body_;                 ///< Response body, if Ok.
  std::string ErrorText_;            ///< Human-readable error, if not Ok.

  /// \return Value of the header \p Name in lower case, or "".
  const std::string &getHeader(const std::string &Name) const;
};

} // namespace cranberry

#endif
