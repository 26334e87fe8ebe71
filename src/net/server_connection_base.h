/// \file server_connection_base.h HTTP/1.1 connection to a server.
#ifndef CRANBERRY_NET_SERVER_CONNECTION_BASE_H
#define CRANBERRY_NET_SERVER_CONNECTION_BASE_H

#include "net/attempt_type.h"
#include "net/message_reader_base.h"
#include "net/receive_budget_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>

namespace cranberry {

/// Carries one request at a time. A read is always pending, so that a close by
/// the server is detected while the connection is idle. Never retries a
/// request.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  explicit ServerConnection(boost::asio::io_context &IoContext);
  ~ServerConnection() { close(); }
  ServerConnection(const ServerConnection &) = delete;
  ServerConnection &operator=(const ServerConnection &) = delete;

  /// Connects to \p Server and sends the request.
  void connectAndSend(const boost::asio::ip::tcp::endpoint &Server,
                      AttemptSpec Spec, AttemptCallback OnComplete);

  /// Sends a request on an idle, reusable connection.
  void send(AttemptSpec Spec, AttemptCallback OnComplete);

  /// Closes the connection. The callback of a request in flight is not called,
  /// and what the kernel still holds of that request is lost.
  void close();

  /// \return Whether the connection is idle and can carry another request.
  bool isReusable() const { return IsReusable_ && !IsClosed_; }

  /// \return Time after which the connection must not be reused, derived from
  /// the server's idle timeout.
  Time getIdleDeadline() const { return IdleDeadline_; }
  Time getIdleSince() const { return IdleSince_; }

private:
  void startRequest();
  /// Closes the connection of a request that is given up. After an orderly
  /// close, the kernel would deliver the request even seconds later.
  void reset();
  void onWriteComplete(const boost::system::error_code &Error);
  void read();
  void onReadComplete(const boost::system::error_code &Error);
  void handleEnd();
  bool parse();
  bool enforceLimits();
  void handleResponse();
  void updateIdleDeadline(const ResponseMessage &Response);
  void completeAttempt(AttemptStatus Status, ResponseMessage Response = {});

  boost::asio::ip::tcp::socket Socket_;    ///< Socket to the server.
  boost::asio::steady_timer ConnectTimer_; ///< Connect timeout.
  boost::beast::flat_buffer ReadBuffer_;   ///< Received, unparsed bytes.
  std::optional<ResponseReader> Reader_;   ///< Response being read.
  ReceiveBudget &Budget_;                  ///< Limits buffered responses.
  unsigned SkippedResponses_ = 0;       ///< Responses to other requests so far.
  AttemptSpec Spec_;                    ///< Current request.
  AttemptCallback OnComplete_;          ///< Its callback; empty if idle.
  Time ConnectStartTime_;               ///< When connecting started.
  std::optional<Duration> ConnectTime_; ///< Time to connect; reported once.
  Time IdleSince_;                      ///< When the last response ended.
  Time IdleDeadline_;                   ///< See getIdleDeadline().
  bool IsConnected_ = false;            ///< Connect has succeeded.
  bool HasCarriedRequest_ = false;      ///< A request completed before.
  bool IsWriting_ = false;              ///< A write is pending.
  bool IsLostInWrite_ = false; ///< The write found the connection lost.
  bool IsEndReceived_ = false; ///< The server has closed its direction.
  bool IsReusable_ = false;    ///< See isReusable().
  bool IsClosed_ = false;      ///< Socket is closed.
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

} // namespace cranberry

#endif
