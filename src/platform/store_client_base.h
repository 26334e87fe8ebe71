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
struct StoreResponse {
  StoreStatus Status_ = StoreStatus::NoResponse; ///< Status.
  std::string Body_;                             ///< Body, whatever the status.
  std::string ErrorText_; ///< Reason for people, if not Ok.
};

/// Time limits of calls.
struct StoreCallTimeouts {
  Duration Call_;        ///< Of a call that does not wait.
  Duration WatchMargin_; ///< Of a watch, beyond the wait that it asks for.
  Duration Connect_;     ///< Of a new connection.
};

/// The store answers in milliseconds, and on its slow days in some hundreds;
/// it is at most 110 ms away.
inline constexpr StoreCallTimeouts DirectStoreTimeouts{
    milliseconds(1000), milliseconds(1500), milliseconds(400)};

/// An entry VM answers in milliseconds. One that does not is left at once, so
/// that a change that it does not pass on is still heard of in time.
inline constexpr StoreCallTimeouts RelayTimeouts{
    milliseconds(350), milliseconds(350), milliseconds(200)};

using StoreResponseHandler = std::function<void(StoreResponse)>;

/// Makes calls to one store. Each is one request; nothing is repeated here.
class StoreClient {
public:
  /// \param Address "address:port" of the store, or of an entry VM that passes
  /// on what the store told it.
  /// \param Limits Time limits.
  StoreClient(boost::asio::io_context &Loop, std::string Address,
              const StoreCallTimeouts &Limits);

  /// Lists a kind's objects after a name.
  void list(const std::string &Kind, const std::string &After,
            StoreResponseHandler End);

  /// Waits for changes of a kind after a revision.
  /// \param Wait Longest wait at the store.
  void watch(const std::string &Kind, Revision After, Duration Wait,
             StoreResponseHandler End);

  /// Creates an object. Conflict if there is one.
  void create(const std::string &Kind, const std::string &Name,
              const nlohmann::json &Body, StoreResponseHandler End);

  /// Replaces an object if \p Expected is its revision.
  void replace(const std::string &Kind, const std::string &Name,
               Revision Expected, const nlohmann::json &Body,
               StoreResponseHandler End);

  /// Removes an object.
  void remove(const std::string &Kind, const std::string &Name,
              StoreResponseHandler End);

  /// \return Calls made so far.
  uint64_t getCallCount() const { return CallCount_; }

private:
  void sendRequest(const char *Method, const std::string &Target,
                   std::string Body, Duration Timeout,
                   StoreResponseHandler End);

  std::string Address_;        ///< Store.
  StoreCallTimeouts Timeouts_; ///< Time limits.
  HttpClient Client_;          ///< Connections to it.
  uint64_t CallCount_ = 0;     ///< See getCalls().
};

} // namespace cranberry::platform

#endif
