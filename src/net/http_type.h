/// \file http_type.h HTTP messages as the rest of the code sees them.
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

/// Header names and values in order.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request that came in whole.
struct HttpRequest {
  std::string Method_;                         ///< Method.
  std::string Path_;                           ///< Decoded path.
  std::string RawPath_;                        ///< Path as sent.
  std::map<std::string, std::string> Query_;   ///< Decoded query.
  std::string RawQuery_;                       ///< Query as sent.
  std::map<std::string, std::string> Headers_; ///< By lower-case name.
  std::string Body_;                           ///< Whole body.
  bool IsTooLarge_ = false;                    ///< Body was over the limit.
  /// Tells whether the other end has closed the connection before an answer.
  std::function<bool()> IsClientDisconnected_;

  /// \return Value of the header \p Name in lower case, or "".
  const std::string &getHeader(const std::string &Name) const;

  /// \return Value of the query parameter \p Name, or "".
  const std::string &getQuery(const std::string &Name) const;
};

/// An answer to send.
struct HttpResponse {
  int Status_ = 200;    ///< Status.
  HttpHeaders Headers_; ///< Headers besides Content-Length.
  std::string Body_;    ///< Body.
};

/// Sends the answer; called once, from any thread.
using HttpRespond = std::function<void(HttpResponse)>;

/// Handles a request; may answer later from another thread.
using HttpHandler = std::function<void(HttpRequest, HttpRespond)>;

/// A request to send.
struct HttpCall {
  std::string Method_ = "GET";           ///< Method.
  std::string Url_;                      ///< Whole URL.
  HttpHeaders Headers_;                  ///< Headers.
  std::string Body_;                     ///< Body.
  Duration Timeout_ = seconds(10);       ///< Limit on the whole call.
  Duration ConnectTimeout_ = seconds(1); ///< Limit on a new connection.
  Duration MaxIdleTime_ = seconds(4);    ///< Longest idle time of a connection
                                         ///< that is used again.
  /// Whether it must not use a connection that was used before, which may have
  /// died meanwhile and leave it unknown whether the request ran.
  bool IsNewConnectionRequired_ = false;
};

/// How a call ended.
struct HttpResult {
  ResultCode Code_ = ResultCode::Ok; ///< Ok, ServerConnectFailed (no byte
                                     ///< sent), ServerAnswerTruncated or
                                     ///< ServerAnswerLost.
  int Status_ = 0;                   ///< HTTP status, if Ok.
  HttpHeaders Headers_;              ///< Headers, names in lower case.
  std::string Body_;                 ///< Whole body, if Ok.
  std::string ErrorText_;            ///< Reason for people, if not Ok.

  /// \return Value of the header \p Name in lower case, or "".
  const std::string &getHeader(const std::string &Name) const;
};

} // namespace cranberry

#endif
