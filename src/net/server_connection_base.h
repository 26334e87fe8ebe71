/// \file server_connection_base.h One connection to an HTTP server.
#ifndef CRANBERRY_NET_SERVER_CONNECTION_BASE_H
#define CRANBERRY_NET_SERVER_CONNECTION_BASE_H

#include "net/attempt_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>

namespace cranberry {

/// Carries one request at a time. A read is always outstanding, so that a
/// close is seen while the connection is idle. It never repeats a request.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  explicit ServerConnection(boost::asio::io_context &Loop);

  /// Connects and then sends the request.
  void connectAndSend(const boost::asio::ip::tcp::endpoint &Server,
                      AttemptSpec Spec, AttemptCallback End);

  /// Sends a request on an idle connection.
  void send(AttemptSpec Spec, AttemptCallback End);

  /// Closes the connection; the handler of a request under way is dropped.
  void close();

  /// \return Whether another request can be sent now.
  bool isReusable() const { return IsReusable_ && !IsClosed_; }

  /// \return When the connection becomes too old to reuse, by what the server
  /// told of its idle timeout.
  Time getIdleDeadline() const { return IdleDeadline_; }
  Time getIdleSince() const { return IdleSince_; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void startRequest();
  void read();
  void onReadComplete(const boost::system::error_code &Error);
  bool parse();
  void handleResponse();
  void updateIdleDeadline(const ResponseMessage &Response);
  void completeAttempt(AttemptStatus End, ResponseMessage Response = {});

  boost::asio::ip::tcp::socket Socket_;    ///< Socket.
  boost::asio::steady_timer ConnectTimer_; ///< Bounds connecting.
  boost::beast::flat_buffer ReadBuffer_;   ///< Received, not parsed.
  std::optional<Parser> Parser_;           ///< Response being read.
  AttemptSpec Spec_;                       ///< Request under way.
  AttemptCallback OnComplete_;             ///< Its handler; empty if idle.
  Time ConnectStartTime_;                  ///< Start of connecting.
  std::optional<Duration> ConnectTime_;    ///< Time it took; told once.
  Time IdleSince_;                         ///< End of the last response.
  Time IdleDeadline_;                      ///< See getIdleDeadline().
  bool IsConnected_ = false;               ///< Requests can be sent.
  bool HasCarriedRequest_ = false;         ///< Carried a request before.
  bool IsWriting_ = false;                 ///< A write is outstanding.
  bool IsReusable_ = false;                ///< Idle and in a known state.
  bool IsClosed_ = false;                  ///< Socket is closed.
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

} // namespace cranberry

#endif
