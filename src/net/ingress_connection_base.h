/// \file ingress_connection_base.h One client's connection.
#ifndef CRANBERRY_NET_INGRESS_CONNECTION_BASE_H
#define CRANBERRY_NET_INGRESS_CONNECTION_BASE_H

#include "net/ingress_server_base.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <deque>
#include <optional>

namespace cranberry {

/// Reads requests ahead, hands each on at once, and answers them in order.
/// It always has a read outstanding, so that a client's leaving is seen.
class IngressConnection
    : public std::enable_shared_from_this<IngressConnection> {
public:
  IngressConnection(IngressServer &Server, boost::asio::ip::tcp::socket Socket);

  void start();

  /// Closes the connection if the client exceeds a time limit.
  void checkTimeouts(Time Now);

  /// Closes the connection unless a request is open.
  void closeIfIdle();

  /// Sends what can be sent in order.
  void flushResponses();

  /// \return Whether a request has come in whose answer is not sent.
  bool hasUnsentResponses() const { return hasOpenRequests() || IsWriting_; }

  /// Drops the connection; requests without an answer are told.
  void close();

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void read();
  void parse();
  void dispatchRequest();
  void respondWithError(unsigned Status);
  IngressExchangePtr enqueueFinalRequest(RequestMessage Message);
  void onWriteComplete(bool Failed);
  void linger();
  bool hasOpenRequests() const { return !Pipeline_.empty(); }

  IngressServer &Server_;                   ///< Owner; outlives this.
  boost::asio::ip::tcp::socket Socket_;     ///< Socket.
  boost::beast::flat_buffer ReadBuffer_;    ///< Received, not parsed.
  std::optional<Parser> Parser_;            ///< Request being read.
  std::deque<IngressExchangePtr> Pipeline_; ///< Not yet sent answers.
  std::string WriteBuffer_;                 ///< Being written.
  Time LastActivity_;                       ///< Last byte in or out.
  Time HeadStartTime_;                      ///< First byte of the head read.
  bool IsReading_ = false;                  ///< A read is outstanding.
  bool IsWriting_ = false;                  ///< A write is outstanding.
  bool IsFinalRequestRead_ = false;         ///< No request after these.
  bool IsLingering_ = false;                ///< Sent all; waits for the client.
  bool IsClosed_ = false;                   ///< Socket is closed.
};

} // namespace cranberry

#endif
