/// \file store_client_base.h Calls to the platform's store.
#ifndef CRANBERRY_PLATFORM_STORE_CLIENT_BASE_H
#define CRANBERRY_PLATFORM_STORE_CLIENT_BASE_H

#include "net/http_client_base.h"
#include "platform/store_type.h"

#include <functional>
#include <memory>
#include <string>

namespace cranberry::platform {

/// How a call ended.
struct StoreReply {
  StoreStatus Status_ = StoreStatus::Lost; ///< Status.
  std::string Body_;                       ///< Body, whatever the status.
  std::string Text_;                       ///< Reason for people, if not Ok.
};

/// Time limits of calls.
struct StoreCallLimits {
  Duration Call_;       ///< Of a call that does not wait.
  Duration WatchSlack_; ///< Of a watch, beyond the wait that it asks for.
  Duration Connect_;    ///< Of a new connection.
};

/// The store answers in milliseconds, and on its slow days in some hundreds;
/// it is at most 110 ms away.
inline constexpr StoreCallLimits StoreLimits{
    milliseconds(1000), milliseconds(1500), milliseconds(400)};

/// An entry VM answers in milliseconds. One that does not is left at once, so
/// that a change that it does not pass on is still heard of in time.
inline constexpr StoreCallLimits RelayLimits{
    milliseconds(350), milliseconds(350), milliseconds(200)};

using StoreReplyHandler = std::function<void(StoreReply)>;

/// Makes calls to one store. Each is one request; nothing is repeated here.
class StoreClient {
public:
  /// \param Address "address:port" of the store, or of an entry VM that passes
  /// on what the store told it.
  /// \param Limits Time limits.
  StoreClient(boost::asio::io_context &Loop, std::string Address,
              const StoreCallLimits &Limits);

  /// Lists a kind's objects after a name.
  void list(const std::string &Kind, const std::string &After,
            StoreReplyHandler End);

  /// Waits for changes of a kind after a revision.
  /// \param Wait Longest wait at the store.
  void watch(const std::string &Kind, Revision After, Duration Wait,
             StoreReplyHandler End);

  /// Creates an object. Conflict if there is one.
  void create(const std::string &Kind, const std::string &Name,
              const nlohmann::json &Body, StoreReplyHandler End);

  /// Replaces an object if \p Expected is its revision.
  void replace(const std::string &Kind, const std::string &Name,
               Revision Expected, const nlohmann::json &Body,
               StoreReplyHandler End);

  /// Removes an object.
  void remove(const std::string &Kind, const std::string &Name,
              StoreReplyHandler End);

  /// \return Calls made so far.
  uint64_t getCalls() const { return Calls_; }

private:
  void call(const char *Method, const std::string &Target, std::string Body,
            Duration Timeout, StoreReplyHandler End);

  std::string Address_;    ///< Store.
  StoreCallLimits Limits_; ///< Time limits.
  HttpClient Client_;      ///< Connections to it.
  uint64_t Calls_ = 0;     ///< See getCalls().
};

} // namespace cranberry::platform

#endif
