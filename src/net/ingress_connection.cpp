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
    if (!Reader_) {
      const IngressLimits &Limits = Server_.getLimits();
      Reader_.emplace(
          MessageLimits{Limits.MaxHeaderBytes_, Limits.MaxBodyBytes_});
      HeadStartTime_ = LastActivity_;
    }
    auto Bytes = ReadBuffer_.data();
    ReadBuffer_.consume(Reader_->consume(
        {static_cast<const char *>(Bytes.data()), Bytes.size()}));
    if (Reader_->getError()) {
      refuseRequest();
      return;
    }
    if (Reader_->isComplete())
      dispatchRequest();
    else
      sendContinue();
  }
}

void IngressConnection::refuseRequest() {
  unsigned Status = Reader_->getError()->Status_;
  // Where the next request begins can't be told.
  ReadBuffer_.consume(ReadBuffer_.size());
  constexpr unsigned TooLarge = 413;
  if (Status != TooLarge || !Server_.OversizeHandler_) {
    respondWithError(Status);
    return;
  }
  RequestMessage Head = std::move(Reader_->getMessage());
  Head.body().clear();
  Server_.OversizeHandler_(enqueueFinalRequest(std::move(Head)));
}

void IngressConnection::sendContinue() {
  if (IsContinueSent_ || !Reader_->isHeadComplete() ||
      !Reader_->getFraming().IsContinueExpected_ || !Pipeline_.empty() ||
      IsWriting_)
    return;
  IsContinueSent_ = true;
  WriteBuffer_ = "HTTP/1.1 100 Continue\r\n\r\n";
  IsWriting_ = true;
  boost::asio::async_write(
      Socket_, boost::asio::buffer(WriteBuffer_),
      [Self = shared_from_this()](error_code Failed, size_t) {
        Self->onWriteComplete(bool(Failed));
      });
}

void IngressConnection::dispatchRequest() {
  auto Exchange = std::make_shared<IngressExchange>(
      weak_from_this(), std::move(Reader_->getMessage()), LastActivity_);
  Exchange->IsKeepAlive_ = Reader_->getFraming().IsKeepAlive_;
  Reader_.reset();
  IsContinueSent_ = false;
  Exchange->IsHeadRequest_ = Exchange->Message_.method() == http::verb::head;
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
  Reader_.reset();
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
    bool IsLast = Pipeline_.empty() && ReadBuffer_.size() == 0 && !Reader_;
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
  if (Reader_ && !Reader_->isHeadComplete()) {
    if (Now - HeadStartTime_ > Limits.HeaderTimeout_)
      respondWithError(RequestTimeout);
    return;
  }
  if (Now - LastActivity_ > Limits.IdleTimeout_) {
    if (Reader_)
      respondWithError(RequestTimeout);
    else
      close();
  }
}

void IngressConnection::closeIfIdle() {
  if (!hasOpenRequests() && !IsWriting_ && !Reader_ && !IsLingering_)
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
