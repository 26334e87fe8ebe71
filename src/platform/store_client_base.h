/// \file store_client_base.h HTTP client for the platform's store.
#ifndef CRANBERRY_PLATFORM_STORE_CLIENT_BASE_H
#define CRANBERRY_PLATFORM_STORE_CLIENT_BASE_H

#include "net/http_client_base.h"
#include "platform/store_type.h"

#include <functional>
#include <memory>
#include <string>

namespace cranberry::platform {

/// Result of a call.
struct StoreReply {
  StoreStatus Status_ = StoreStatus::Lost; ///< How the call ended.
  std::string Body_;                       ///< Response body, for any status.
  std::string Text_;                       ///< Readable reason, if not Ok.
};

/// Timeouts of calls.
struct StoreCallLimits {
  Duration Call_;       ///< For a call that isn't a watch.
  Duration WatchSlack_; ///< Added to a watch's wait.
  Duration Connect_;    ///< For opening a connection.
};

/// Timeouts for the store. It responds within milliseconds, or some hundred
/// milliseconds when it is slow, and the round trip is at most 110 ms.
inline constexpr StoreCallLimits StoreLimits{
    milliseconds(1000), milliseconds(1500), milliseconds(400)};

/// Timeouts for another entry VM, which responds within milliseconds. They are
/// short so that a change that a hung VM doesn't relay is still read in time.
inline constexpr StoreCallLimits RelayLimits{
    milliseconds(350), milliseconds(350), milliseconds(200)};

using StoreReplyHandler = std::function<void(StoreReply)>;

/// Makes calls to one store. Each call is a single request without retries.
class StoreClient {
public:
  /// \param Address "address:port" of the store, or of an entry VM that relays
  /// its objects.
  /// \param Limits Timeouts of the calls.
  StoreClient(boost::asio::io_context &Loop, std::string Address,
              const StoreCallLimits &Limits);

  /// Lists objects of a kind.
  /// \param After Lists only names after this one; empty for the first page.
  void list(const std::string &Kind, const std::string &After,
            StoreReplyHandler End);

  /// Waits for changes of a kind after a revision.
  /// \param Wait Longest time that the store holds the request open.
  void watch(const std::string &Kind, Revision After, Duration Wait,
             StoreReplyHandler End);

  /// Creates an object. Ends with Conflict if it exists already.
  void create(const std::string &Kind, const std::string &Name,
              const nlohmann::json &Body, StoreReplyHandler End);

  /// Replaces an object. Ends with Conflict unless \p Expected is its revision.
  void replace(const std::string &Kind, const std::string &Name,
               Revision Expected, const nlohmann::json &Body,
               StoreReplyHandler End);

  /// Deletes an object.
  void remove(const std::string &Kind, const std::string &Name,
              StoreReplyHandler End);

  /// \return Number of calls made so far.
  uint64_t getCalls() const { return Calls_; }

private:
  void call(const char *Method, const std::string &Target, std::string Body,
            Duration Timeout, StoreReplyHandler End);

  std::string Address_;    ///< Address of the store.
  StoreCallLimits Limits_; ///< Timeouts of the calls.
  HttpClient Client_;      ///< Connections to the store.
  uint64_t Calls_ = 0;     ///< Number of calls made.
};

} // namespace cranberry::platform

#endif
