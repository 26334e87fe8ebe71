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
struct StoreResponse {
  StoreStatus Status_ = StoreStatus::NoResponse; ///< How the call ended.
  std::string Body_;            ///< Response body, for any status.
  std::string ErrorText_;       ///< Readable reason, if not Ok.
  std::optional<StoreEra> Era_; ///< Era of the response, if known.
  /// Time since a VM that relays the objects has read them from the store.
  Duration Age_{0};
};

/// Timeouts of calls.
struct StoreCallTimeouts {
  Duration Call_;        ///< For a call that isn't a watch.
  Duration WatchMargin_; ///< Added to a watch's wait.
  Duration Connect_;     ///< For opening a connection.
};

/// Timeouts for the store. It responds within milliseconds, or some hundred
/// milliseconds when it is slow, and the round trip is at most 110 ms.
inline constexpr StoreCallTimeouts DirectStoreTimeouts{
    milliseconds(1000), milliseconds(1500), milliseconds(400)};

/// Timeouts for another entry VM, which responds within milliseconds. They are
/// short so that a change that a hung VM doesn't relay is still read in time.
inline constexpr StoreCallTimeouts RelayTimeouts{
    milliseconds(350), milliseconds(350), milliseconds(200)};

/// Age of the data that a list may return.
enum class ReadMode : uint8_t {
  Latest,     ///< All acknowledged writes are included.
  MayBeStale, ///< May be seconds old, at a tenth of the price.
};

using StoreResponseHandler = std::function<void(StoreResponse)>;

/// Makes calls to one store. Each call is a single request without retries.
class StoreClient {
public:
  /// \param Address "address:port" of the store, or of an entry VM that relays
  /// its objects.
  /// \param Limits Timeouts of the calls.
  StoreClient(boost::asio::io_context &Loop, std::string Address,
              const StoreCallTimeouts &Limits);

  /// \param IsRequired Whether only a VM that reads the store itself may
  /// respond to the next lists and watches.
  void requireDirect(bool IsRequired) { IsDirectRequired_ = IsRequired; }

  /// Lists objects of a kind.
  /// \param After Lists only names after this one; empty for the first page.
  /// \param Mode Age that the data may have.
  void list(const std::string &Kind, const std::string &After,
            StoreResponseHandler End, ReadMode Mode = ReadMode::Latest);

  /// Waits for changes of a kind after a revision.
  /// \param Wait Longest time that the store holds the request open.
  void watch(const std::string &Kind, Revision After, Duration Wait,
             StoreResponseHandler End);

  /// Creates an object. Ends with Conflict if it exists already.
  void create(const std::string &Kind, const std::string &Name,
              const nlohmann::json &Body, StoreResponseHandler End);

  /// Replaces an object. Ends with Conflict unless \p Expected is its revision.
  void replace(const std::string &Kind, const std::string &Name,
               Revision Expected, const nlohmann::json &Body,
               StoreResponseHandler End);

  /// Deletes an object.
  void remove(const std::string &Kind, const std::string &Name,
              StoreResponseHandler End);

  /// \return Number of calls made so far.
  uint64_t getCallCount() const { return CallCount_; }

private:
  void sendRequest(const char *Method, const std::string &Target,
                   std::string Body, Duration Timeout,
                   StoreResponseHandler End);

  std::string Address_;           ///< Address of the store.
  StoreCallTimeouts Timeouts_;    ///< Timeouts of the calls.
  HttpClient Client_;             ///< Connections to the store.
  uint64_t CallCount_ = 0;        ///< Number of calls made.
  bool IsDirectRequired_ = false; ///< See requireDirect().
};

} // namespace cranberry::platform

#endif
