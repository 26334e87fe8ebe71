/// \file ingress_connection.cpp One client's connection.
#include "net/ingress_connection_base.h"

#include "net/http_message_func.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace http = boost::beast::http;
using boost::system::error_code;

namespace cranberry {

namespace {

/// Requests that are read ahead of the first one without an answer. Bounds
/// the memory that one client can take.
constexpr size_t MaxPipelined = 64;

/// Bytes asked of one read; most requests are under 1 KiB.
constexpr size_t ReadBytes = 4096;

/// How long a connection waits for the client's close after the last answer,
/// so that unread bytes do not reset the connection under the answer.
constexpr Duration LingerTime = seconds(1);

unsigned getRejection(const error_code &Error) {
  constexpr unsigned BadRequest = 400;
  constexpr unsigned TooLarge = 413;
  constexpr unsigned HeadTooLarge = 431;
  if (Error == http::error::header_limit)
    return HeadTooLarge;
  return Error == http::error::body_limit ? TooLarge : BadRequest;
}

} // namespace

void IngressExchange::answer(const ResponseMessage &Response) {
  if (IsAnswered_)
    return;
  IsAnswered_ = true;
  OnGone_ = nullptr;
  std::shared_ptr<IngressConnection> Connection = Connection_.lock();
  if (!Connection)
    return;
  // Only the last answer on a connection may close it, or requests that were
  // passed on behind it would lose theirs.
  Output_ = serializeResponse(Response, IsHead_, false);
  Connection->flush();
}

void IngressExchange::dropConnection() {
  OnGone_ = nullptr;
  if (std::shared_ptr<IngressConnection> Connection = Connection_.lock())
    Connection->close();
}

IngressConnection::IngressConnection(IngressServer &Server,
                                     boost::asio::ip::tcp::socket Socket)
    : Server_(Server), Socket_(std::move(Socket)), LastActivity_(getNow()) {
  error_code Ignored; // The answers are only slower without it.
  Socket_.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
}

void IngressConnection::start() { read(); }

void IngressConnection::read() {
  if (IsReading_ || IsClosed_)
    return;
  IsReading_ = true;
  Socket_.async_read_some(
      Buffer_.prepare(ReadBytes),
      [Self = shared_from_this()](error_code Error, size_t Count) {
        Self->IsReading_ = false;
        if (Self->IsClosed_)
          return;
        if (Error) {
          Self->close();
          return;
        }
        Self->LastActivity_ = getNow();
        Self->Buffer_.commit(Count);
        if (Self->IsLastRead_)
          Self->Buffer_.consume(Self->Buffer_.size());
        else
          Self->parse();
        if (Self->Pipeline_.size() < MaxPipelined)
          Self->read();
      });
}

void IngressConnection::parse() {
  while (Buffer_.size() > 0 && !IsLastRead_ && !IsClosed_ &&
         Pipeline_.size() < MaxPipelined) {
    if (!Parser_) {
      Parser_.emplace();
      Parser_->eager(true);
      Parser_->header_limit(
          static_cast<uint32_t>(Server_.getLimits().HeaderBytes_));
      Parser_->body_limit(Server_.getLimits().BodyBytes_);
      HeadStarted_ = LastActivity_;
    }
    error_code Error;
    size_t Used = Parser_->put(Buffer_.data(), Error);
    Buffer_.consume(Used);
    if (Error == http::error::body_limit && Server_.Oversize_) {
      RequestMessage Head = std::move(Parser_->get());
      Head.body().clear();
      Server_.Oversize_(addLast(std::move(Head)));
      return;
    }
    if (Error && Error != http::error::need_more) {
      reject(getRejection(Error));
      return;
    }
    if (Parser_->is_done()) {
      deliver();
      continue;
    }
    if (Parser_->is_header_done() && Pipeline_.empty() && !IsWriting_ &&
        Parser_->get()[http::field::expect] == "100-continue") {
      Parser_->get().erase(http::field::expect);
      Output_ = "HTTP/1.1 100 Continue\r\n\r\n";
      IsWriting_ = true;
      boost::asio::async_write(
          Socket_, boost::asio::buffer(Output_),
          [Self = shared_from_this()](error_code Failed, size_t) {
            Self->finishWrite(bool(Failed));
          });
    }
    if (Used == 0 || Error == http::error::need_more)
      return;
  }
}

void IngressConnection::deliver() {
  auto Exchange = std::make_shared<IngressExchange>(
      weak_from_this(), Parser_->release(), LastActivity_);
  Parser_.reset();
  Exchange->IsHead_ = Exchange->Message_.method() == http::verb::head;
  Exchange->IsKeptAlive_ = Exchange->Message_.keep_alive();
  IsLastRead_ = !Exchange->IsKeptAlive_;
  Pipeline_.push_back(Exchange);
  Server_.Handler_(Exchange);
}

IngressExchangePtr IngressConnection::addLast(RequestMessage Message) {
  auto Exchange = std::make_shared<IngressExchange>(
      weak_from_this(), std::move(Message), LastActivity_);
  Exchange->IsKeptAlive_ = false;
  IsLastRead_ = true;
  Parser_.reset();
  Pipeline_.push_back(Exchange);
  return Exchange;
}

void IngressConnection::reject(unsigned Status) {
  addLast({})->answer(makeResponse(Status, ""));
}

void IngressConnection::flush() {
  if (IsWriting_ || IsClosed_ || IsLingering_)
    return;
  Output_.clear();
  while (!Pipeline_.empty() && Pipeline_.front()->IsAnswered_) {
    IngressExchangePtr Exchange = Pipeline_.front();
    Pipeline_.pop_front();
    bool IsLast = Pipeline_.empty() && Buffer_.size() == 0 && !Parser_;
    if (IsLast && Server_.isDraining())
      IsLastRead_ = true;
    std::string &Text = Exchange->Output_;
    if (IsLast && IsLastRead_)
      Text.insert(Text.find("\r\n") + 2, "Connection: close\r\n");
    Output_ += Text;
  }
  if (Output_.empty())
    return;
  IsWriting_ = true;
  boost::asio::async_write(
      Socket_, boost::asio::buffer(Output_),
      [Self = shared_from_this()](error_code Error, size_t) {
        Self->finishWrite(bool(Error));
      });
}

void IngressConnection::finishWrite(bool Failed) {
  IsWriting_ = false;
  if (IsClosed_)
    return;
  if (Failed) {
    close();
    return;
  }
  LastActivity_ = getNow();
  flush();
  if (IsWriting_)
    return;
  if (IsLastRead_ && Pipeline_.empty()) {
    linger();
    return;
  }
  // Requests may wait in the buffer since the pipeline was full.
  parse();
  read();
}

void IngressConnection::linger() {
  IsLingering_ = true;
  error_code Ignored; // The client may have closed first.
  Socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  read();
}

void IngressConnection::checkTime(Time Now) {
  const IngressLimits &Limits = Server_.getLimits();
  if (IsLingering_) {
    if (Now - LastActivity_ > LingerTime)
      close();
    return;
  }
  if (hasOpenRequests() || IsWriting_)
    return;
  constexpr unsigned RequestTimeout = 408;
  if (Parser_ && !Parser_->is_header_done()) {
    if (Now - HeadStarted_ > Limits.HeaderTimeout_)
      reject(RequestTimeout);
    return;
  }
  if (Now - LastActivity_ > Limits.IdleTimeout_) {
    if (Parser_)
      reject(RequestTimeout);
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
  error_code Ignored; // Nothing is left to do on a socket that fails to close.
  Socket_.close(Ignored);
  std::deque<IngressExchangePtr> Open;
  Open.swap(Pipeline_);
  for (const IngressExchangePtr &Exchange : Open) {
    if (Exchange->IsAnswered_)
      continue;
    Exchange->IsAnswered_ = true;
    if (std::function<void()> OnGone = std::move(Exchange->OnGone_))
      OnGone();
  }
  Server_.Connections_.erase(Self);
}

} // namespace cranberry
