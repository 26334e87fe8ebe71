/// \file ingress_connection.cpp HTTP/1.1 connection of a client.
#include "net/ingress_connection_base.h"

#include "net/http_message_func.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace http = boost::beast::http;
using boost::system::error_code;

namespace cranberry {

namespace {

/// Maximum number of pipelined requests without a sent response. Limits the
/// memory that one client can use.
constexpr size_t MaxPipelined = 64;

/// Maximum bytes per read; most requests are smaller than 1 KiB.
constexpr size_t ReadBytes = 4096;

/// How long a connection waits for the client to close it after the last
/// response. Closing with unread bytes would reset the connection, and the
/// client might lose the response.
constexpr Duration LingerTimeout = seconds(1);

unsigned getErrorStatus(const error_code &Error) {
  constexpr unsigned BadRequest = 400;
  constexpr unsigned TooLarge = 413;
  constexpr unsigned HeadTooLarge = 431;
  if (Error == http::error::header_limit)
    return HeadTooLarge;
  return Error == http::error::body_limit ? TooLarge : BadRequest;
}

} // namespace

void IngressExchange::respond(const ResponseMessage &Response) {
  if (HasResponse_)
    return;
  HasResponse_ = true;
  OnDisconnect_ = nullptr;
  std::shared_ptr<IngressConnection> Connection = Connection_.lock();
  if (!Connection)
    return;
  // Only the last response may close the connection, or pipelined requests that
  // were already dispatched would lose theirs.
  SerializedResponse_ = serializeResponse(Response, IsHeadRequest_, false);
  Connection->flushResponses();
}

void IngressExchange::dropConnection() {
  OnDisconnect_ = nullptr;
  if (std::shared_ptr<IngressConnection> Connection = Connection_.lock())
    Connection->close();
}

IngressConnection::IngressConnection(IngressServer &Server,
                                     boost::asio::ip::tcp::socket Socket)
    : Server_(Server), Socket_(std::move(Socket)), LastActivity_(getNow()) {
  error_code Ignored; // Without it responses are only slower.
  Socket_.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
}

void IngressConnection::start() { read(); }

void IngressConnection::read() {
  if (IsReading_ || IsClosed_)
    return;
  IsReading_ = true;
  Socket_.async_read_some(
      ReadBuffer_.prepare(ReadBytes),
      [Self = shared_from_this()](error_code Error, size_t Count) {
        Self->IsReading_ = false;
        if (Self->IsClosed_)
          return;
        if (Error) {
          Self->close();
          return;
        }
        Self->LastActivity_ = getNow();
        Self->ReadBuffer_.commit(Count);
        if (Self->IsFinalRequestRead_)
          Self->ReadBuffer_.consume(Self->ReadBuffer_.size());
        else
          Self->parse();
        if (Self->Pipeline_.size() < MaxPipelined)
          Self->read();
      });
}

void IngressConnection::parse() {
  while (ReadBuffer_.size() > 0 && !IsFinalRequestRead_ && !IsClosed_ &&
         Pipeline_.size() < MaxPipelined) {
    if (!Parser_) {
      Parser_.emplace();
      Parser_->eager(true);
      Parser_->header_limit(
          static_cast<uint32_t>(Server_.getLimits().MaxHeaderBytes_));
      Parser_->body_limit(Server_.getLimits().MaxBodyBytes_);
      HeadStartTime_ = LastActivity_;
    }
    error_code Error;
    size_t Used = Parser_->put(ReadBuffer_.data(), Error);
    ReadBuffer_.consume(Used);
    if (Error == http::error::body_limit && Server_.OversizeHandler_) {
      RequestMessage Head = std::move(Parser_->get());
      Head.body().clear();
      Server_.OversizeHandler_(enqueueFinalRequest(std::move(Head)));
      return;
    }
    if (Error && Error != http::error::need_more) {
      respondWithError(getErrorStatus(Error));
      return;
    }
    if (Parser_->is_done()) {
      dispatchRequest();
      continue;
    }
    if (Parser_->is_header_done() && Pipeline_.empty() && !IsWriting_ &&
        Parser_->get()[http::field::expect] == "100-continue") {
      Parser_->get().erase(http::field::expect);
      WriteBuffer_ = "HTTP/1.1 100 Continue\r\n\r\n";
      IsWriting_ = true;
      boost::asio::async_write(
          Socket_, boost::asio::buffer(WriteBuffer_),
          [Self = shared_from_this()](error_code Failed, size_t) {
            Self->onWriteComplete(bool(Failed));
          });
    }
    if (Used == 0 || Error == http::error::need_more) {
      // What waits is an incomplete head, chunk size or trailer.
      if (ReadBuffer_.size() > Server_.getLimits().MaxHeaderBytes_)
        respondWithError(getErrorStatus(http::error::header_limit));
      return;
    }
  }
}

void IngressConnection::dispatchRequest() {
  auto Exchange = std::make_shared<IngressExchange>(
      weak_from_this(), Parser_->release(), LastActivity_);
  Parser_.reset();
  Exchange->IsHeadRequest_ = Exchange->Message_.method() == http::verb::head;
  Exchange->IsKeepAlive_ = Exchange->Message_.keep_alive();
  IsFinalRequestRead_ = !Exchange->IsKeepAlive_;
  Pipeline_.push_back(Exchange);
  Server_.Handler_(Exchange);
}

IngressExchangePtr
IngressConnection::enqueueFinalRequest(RequestMessage Message) {
  auto Exchange = std::make_shared<IngressExchange>(
      weak_from_this(), std::move(Message), LastActivity_);
  Exchange->IsKeepAlive_ = false;
  IsFinalRequestRead_ = true;
  Parser_.reset();
  Pipeline_.push_back(Exchange);
  return Exchange;
}

void IngressConnection::respondWithError(unsigned Status) {
  enqueueFinalRequest({})->respond(makeResponse(Status, ""));
}

void IngressConnection::flushResponses() {
  if (IsWriting_ || IsClosed_ || IsLingering_)
    return;
  WriteBuffer_.clear();
  while (!Pipeline_.empty() && Pipeline_.front()->HasResponse_) {
    IngressExchangePtr Exchange = Pipeline_.front();
    Pipeline_.pop_front();
    bool IsLast = Pipeline_.empty() && ReadBuffer_.size() == 0 && !Parser_;
    if (IsLast && Server_.isDraining())
      IsFinalRequestRead_ = true;
    std::string &Text = Exchange->SerializedResponse_;
    if (IsLast && IsFinalRequestRead_)
      Text.insert(Text.find("\r\n") + 2, "Connection: close\r\n");
    WriteBuffer_ += Text;
  }
  if (WriteBuffer_.empty())
    return;
  IsWriting_ = true;
  boost::asio::async_write(
      Socket_, boost::asio::buffer(WriteBuffer_),
      [Self = shared_from_this()](error_code Error, size_t) {
        Self->onWriteComplete(bool(Error));
      });
}

void IngressConnection::onWriteComplete(bool Failed) {
  IsWriting_ = false;
  if (IsClosed_)
    return;
  if (Failed) {
    close();
    return;
  }
  LastActivity_ = getNow();
  flushResponses();
  if (IsWriting_)
    return;
  if (IsFinalRequestRead_ && Pipeline_.empty()) {
    linger();
    return;
  }
  // A full pipeline may have left unparsed requests in the buffer.
  parse();
  read();
}

void IngressConnection::linger() {
  IsLingering_ = true;
  error_code Ignored; // The client may have closed already.
  Socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  read();
}

void IngressConnection::checkTimeouts(Time Now) {
  const IngressLimits &Limits = Server_.getLimits();
  if (IsLingering_) {
    if (Now - LastActivity_ > LingerTimeout)
      close();
    return;
  }
  if (hasOpenRequests() || IsWriting_)
    return;
  constexpr unsigned RequestTimeout = 408;
  if (Parser_ && !Parser_->is_header_done()) {
    if (Now - HeadStartTime_ > Limits.HeaderTimeout_)
      respondWithError(RequestTimeout);
    return;
  }
  if (Now - LastActivity_ > Limits.IdleTimeout_) {
    if (Parser_)
      respondWithError(RequestTimeout);
    else
      close();
  }
}

void IngressConnection::closeIfIdle() {
  if (!hasOpenRequests() && !IsWriting_ && !Parser_ && !IsLingering_)
    close();
}

void IngressConnection::close() {
  if (IsClosed_)
    return;
  IsClosed_ = true;
  auto Self = shared_from_this();
  error_code Ignored; // No recovery is possible if close() fails.
  Socket_.close(Ignored);
  std::deque<IngressExchangePtr> Open;
  Open.swap(Pipeline_);
  for (const IngressExchangePtr &Exchange : Open) {
    if (Exchange->HasResponse_)
      continue;
    Exchange->HasResponse_ = true;
    if (std::function<void()> OnDisconnect = std::move(Exchange->OnDisconnect_))
      OnDisconnect();
  }
  Server_.Connections_.erase(Self);
}

} // namespace cranberry
