/// \file ingress_connection_base.h HTTP/1.1 connection of a client.
#ifndef CRANBERRY_NET_INGRESS_CONNECTION_BASE_H
#define CRANBERRY_NET_INGRESS_CONNECTION_BASE_H

#include "net/ingress_server_base.h"
#include "net/message_reader_base.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <optional>

namespace cranberry {

/// Dispatches pipelined requests as soon as they are read and sends the
/// responses in request order. Unless the pipeline is full, a read is always
/// pending, so that a disconnect of the client is detected.
class IngressConnection
    : public std::enable_shared_from_this<IngressConnection> {
public:
  IngressConnection(IngressServer &Server, boost::asio::ip::tcp::socket Socket);

  /// Starts reading requests.
  void start();

  /// Responds with 408 or closes the connection if a timeout has expired.
  void checkTimeouts(Time Now);

  /// Closes the connection unless a request is in progress.
  void closeIfIdle();

  /// Sends the responses that are ready, in request order.
  void flushResponses();

  /// \return Whether any received request has an unsent response.
  bool hasUnsentResponses() const { return hasOpenRequests() || IsWriting_; }

  /// Closes the connection and calls the disconnect handlers of requests that
  /// have no response.
  void close();

private:
  void read();
  void parse();
  /// Passes the parsed request to the handler.
  void dispatchRequest();
  /// Responds to a request that can't be read or is too large.
  void refuseRequest();
  /// Sends an interim response if the client waits for it.
  void sendContinue();
  void respondWithError(unsigned Status);
  /// Queues a request after which the connection is closed.
  IngressExchangePtr enqueueFinalRequest(RequestMessage Message);
  void onWriteComplete(bool Failed);
  /// Shuts down the sending side and waits for the client's close.
  void linger();
  bool hasOpenRequests() const { return !Pipeline_.empty(); }

  IngressServer &Server_;                ///< Owner, outlives the connection.
  boost::asio::ip::tcp::socket Socket_;  ///< Client socket.
  boost::beast::flat_buffer ReadBuffer_; ///< Received, unparsed bytes.
  std::optional<RequestReader> Reader_;  ///< Request being read.
  std::deque<IngressExchangePtr>
      Pipeline_;                    ///< Requests in order, response unsent.
  std::string WriteBuffer_;         ///< Bytes being written.
  Time LastActivity_;               ///< Last read or write.
  Time HeadStartTime_;              ///< First byte of the request head.
  bool IsReading_ = false;          ///< A read is pending.
  bool IsWriting_ = false;          ///< A write is pending.
  bool IsContinueSent_ = false;     ///< See sendContinue().
  bool IsFinalRequestRead_ = false; ///< No further requests are read.
  bool IsLingering_ = false;        ///< See linger().
  bool IsClosed_ = false;           ///< Socket is closed.
};

} // namespace cranberry

#endif
