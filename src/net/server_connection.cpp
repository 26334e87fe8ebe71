/// \file server_connection.cpp HTTP/1.1 connection to a server.
#include "net/server_connection_base.h"

#include "net/ingress_server_base.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace cranberry {

namespace {

constexpr size_t ReadBytes = 8192; ///< Maximum bytes per read.

/// Maximum number of bytes of a head, and of chunk extensions with a trailer.
constexpr size_t MaxHeadBytes = 65536;

/// Maximum number of interim responses and responses to other requests before
/// the response to a request. A server sends a few at most.
constexpr unsigned MaxSkippedResponses = 16;

/// TCP_USER_TIMEOUT: a connection is closed if sent data is not acknowledged
/// for this long. Twice the longest freeze that a route's timeout would
/// outlast.
constexpr unsigned UserTimeoutMs = 3000;

/// Idle timeout assumed if the server does not send one.
constexpr Duration DefaultIdleTimeout = seconds(4);

/// Longer idle timeouts of servers are taken for this one.
constexpr int64_t MaxIdleSeconds = 3600;

/// Fraction of the server's idle timeout after which a connection is no longer
/// reused. The margin prevents a request from racing with the server's close.
constexpr double IdleTimeoutFraction = 0.6;

/// Enables TCP keep-alive probes, which detect within 3 s that a device on the
/// path has lost the state of an idle connection.
void setKeepAlive(tcp::socket &Socket) {
  constexpr int IdleSeconds = 1;
  constexpr int IntervalSeconds = 1;
  constexpr int Probes = 2;
  using boost::asio::detail::socket_option::integer;
  error_code Ignored; // Without probes only the caller's timeout applies.
  Socket.set_option(boost::asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(IdleSeconds), Ignored);
  Socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(IntervalSeconds),
                    Ignored);
  Socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(Probes), Ignored);
}

/// \return Whether a write with this result shows that the connection was lost
/// rather than closed in order.
bool isConnectionLost(const error_code &Error) {
  // A reset that follows the server's orderly close is a broken pipe. The last
  // two come from closing the socket here.
  return Error && Error != boost::asio::error::broken_pipe &&
         Error != boost::asio::error::operation_aborted &&
         Error != boost::asio::error::bad_descriptor;
}

/// \return Time after \p Response during which its connection may be reused.
Duration getIdleTimeout(const ResponseMessage &Response) {
  Duration Result = DefaultIdleTimeout;
  auto [First, End] = Response.equal_range(http::field::keep_alive);
  for (auto Field = First; Field != End; ++Field) {
    absl::string_view Value(Field->value().data(), Field->value().size());
    for (absl::string_view Part :
         absl::StrSplit(Value, absl::ByAnyChar(",;"))) {
      std::pair<absl::string_view, absl::string_view> Parameter =
          absl::StrSplit(Part, absl::MaxSplits('=', 1));
      int64_t Timeout = 0;
      if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(Parameter.first),
                                 "timeout") &&
          absl::SimpleAtoi(Parameter.second, &Timeout))
        Result = std::chrono::duration_cast<Duration>(
            seconds(std::clamp<int64_t>(Timeout, 0, MaxIdleSeconds)) *
            IdleTimeoutFraction);
    }
  }
  return Result;
}

} // namespace

ServerConnection::ServerConnection(boost::asio::io_context &IoContext)
    : Socket_(IoContext), ConnectTimer_(IoContext),
      Budget_(boost::asio::use_service<ReceiveBudget>(IoContext)) {}

void ServerConnection::connectAndSend(const tcp::endpoint &Server,
                                      AttemptSpec Spec,
                                      AttemptCallback OnComplete) {
  Spec_ = std::move(Spec);
  OnComplete_ = std::move(OnComplete);
  auto Self = shared_from_this();
  ConnectStartTime_ = getNow();
  ConnectTimer_.expires_after(Spec_.ConnectTimeout_);
  ConnectTimer_.async_wait([Self](error_code Cancelled) {
    // The timer may have expired just before the connect succeeded and tried to
    // cancel it; the request has already been sent then.
    if (!Cancelled && !Self->IsClosed_ && !Self->IsConnected_)
      Self->completeAttempt(AttemptStatus::ConnectFailed);
  });
  Socket_.async_connect(Server, [Self](error_code Error) {
    if (Self->IsClosed_)
      return;
    Self->ConnectTimer_.cancel();
    if (Error) {
      Self->completeAttempt(AttemptStatus::ConnectReset);
      return;
    }
    Self->IsConnected_ = true;
    Self->ConnectTime_ = getNow() - Self->ConnectStartTime_;
    error_code Ignored; // These options only reduce delays.
    Self->Socket_.set_option(tcp::no_delay(true), Ignored);
    Self->Socket_.set_option(boost::asio::detail::socket_option::integer<
                                 IPPROTO_TCP, TCP_USER_TIMEOUT>(UserTimeoutMs),
                             Ignored);
    setKeepAlive(Self->Socket_);
    Self->startRequest();
    Self->read();
  });
}

void ServerConnection::send(AttemptSpec Spec, AttemptCallback OnComplete) {
  Spec_ = std::move(Spec);
  OnComplete_ = std::move(OnComplete);
  startRequest();
}

void ServerConnection::startRequest() {
  IsReusable_ = false;
  IsWriting_ = true;
  IsLostInWrite_ = false;
  SkippedResponses_ = 0;
  Reader_.reset();
  boost::asio::async_write(
      Socket_, boost::asio::buffer(Spec_.Bytes_),
      [Self = shared_from_this()](error_code Error, size_t) {
        Self->onWriteComplete(Error);
      });
}

void ServerConnection::onWriteComplete(const error_code &Error) {
  IsWriting_ = false;
  // The read reports the end of the connection, after any response that the
  // server sent before.
  if (Error)
    IsReusable_ = false;
  IsLostInWrite_ = isConnectionLost(Error);
  if (IsEndReceived_ && OnComplete_)
    handleEnd();
}

void ServerConnection::read() {
  Socket_.async_read_some(
      ReadBuffer_.prepare(ReadBytes),
      [Self = shared_from_this()](error_code Error, size_t Count) {
        if (Self->IsClosed_)
          return;
        Self->ReadBuffer_.commit(Count);
        Self->onReadComplete(Error);
      });
}

void ServerConnection::onReadComplete(const error_code &Error) {
  if (!OnComplete_) {
    // While idle, the server closed or sent data without a request.
    close();
    return;
  }
  if (!Error) {
    if (parse() && !IsClosed_)
      read();
    return;
  }
  if (Error == boost::asio::error::eof && Reader_ && Reader_->endsWithClose()) {
    IsEndReceived_ = true;
    // If the write has met an error, its handler may run after this one.
    // Nothing more is sent, so closing the socket makes it run at once.
    error_code Ignored;
    if (IsWriting_)
      Socket_.close(Ignored);
    else
      handleEnd();
    return;
  }
  completeAttempt(Reader_ ? AttemptStatus::Truncated : AttemptStatus::Broken);
}

void ServerConnection::handleEnd() {
  // A response without a length is complete only after an orderly close. The
  // kernel reports a reset once, to the write or to the read; after the write
  // has met it, the read sees the same end as after an orderly close.
  if (IsLostInWrite_)
    completeAttempt(AttemptStatus::Truncated);
  else
    handleResponse();
}

bool ServerConnection::parse() {
  while (ReadBuffer_.size() > 0 && OnComplete_) {
    if (!Reader_)
      Reader_.emplace(MessageLimits{MaxHeadBytes, ReceiveBudget::MaxBytes},
                      Spec_.IsHeadRequest_);
    auto Bytes = ReadBuffer_.data();
    ReadBuffer_.consume(Reader_->consume(
        {static_cast<const char *>(Bytes.data()), Bytes.size()}));
    if (Reader_->getError()) {
      completeAttempt(AttemptStatus::Garbled);
      return false;
    }
    if (Reader_->isComplete())
      handleResponse();
    else if (!enforceLimits())
      return false;
  }
  return true;
}

bool ServerConnection::enforceLimits() {
  Budget_.update(this, Reader_->getMessage().body().size());
  while (ServerConnection *Largest = Budget_.findExcess())
    Largest->completeAttempt(AttemptStatus::Garbled);
  return !IsClosed_;
}

void ServerConnection::handleResponse() {
  constexpr unsigned FirstFinal = 200;
  bool KeepsAlive = Reader_->getFraming().IsKeepAlive_;
  ResponseMessage Response = std::move(Reader_->getMessage());
  Reader_.reset();
  Budget_.update(this, 0);
  bool IsInterim = Response.result_int() < FirstFinal;
  ResponseMatch Match = IsInterim
                            ? ResponseMatch::OtherRequest
                            : Spec_.Matcher_(Response, !HasCarriedRequest_);
  if (Match == ResponseMatch::OtherRequest && (IsInterim || KeepsAlive) &&
      ++SkippedResponses_ <= MaxSkippedResponses)
    return;
  if (Match != ResponseMatch::Matching) {
    completeAttempt(AttemptStatus::Garbled);
    return;
  }
  // Bytes after the response, or a request that is still being written, leave
  // the connection in an undefined state.
  IsReusable_ = KeepsAlive && ReadBuffer_.size() == 0 && !IsWriting_;
  updateIdleDeadline(Response);
  completeAttempt(AttemptStatus::Answered, std::move(Response));
}

void ServerConnection::updateIdleDeadline(const ResponseMessage &Response) {
  IdleSince_ = getNow();
  IdleDeadline_ = IdleSince_ + getIdleTimeout(Response);
}

void ServerConnection::completeAttempt(AttemptStatus Status,
                                       ResponseMessage Response) {
  AttemptCallback Callback = std::move(OnComplete_);
  OnComplete_ = nullptr;
  AttemptResult Result{Status, std::move(Response), HasCarriedRequest_,
                       std::exchange(ConnectTime_, std::nullopt)};
  HasCarriedRequest_ = true;
  if (Status != AttemptStatus::Answered)
    reset();
  else if (!IsReusable_)
    close();
  if (Callback)
    Callback(std::move(Result));
}

void ServerConnection::reset() {
  error_code Ignored; // Closing in order is the second best.
  Socket_.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  OnComplete_ = nullptr;
  close();
}

void ServerConnection::close() {
  if (IsClosed_)
    return;
  if (OnComplete_) {
    reset();
    return;
  }
  IsClosed_ = true;
  IsReusable_ = false;
  OnComplete_ = nullptr;
  Budget_.update(this, 0);
  ConnectTimer_.cancel();
  error_code Ignored; // No recovery is possible if close() fails.
  Socket_.close(Ignored);
}

} // namespace cranberry
