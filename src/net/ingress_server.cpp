/// \file ingress_server.cpp Single-threaded HTTP/1.1 server with pipelining.
#include "net/ingress_server_base.h"

#include "net/ingress_connection_base.h"

#include <algorithm>
#include <charconv>
#include <fcntl.h>
#include <vector>

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace cranberry {

namespace {

/// Interval at which connections are checked for timeouts; about an eighth of
/// the shortest timeout.
constexpr Duration SweepPeriod = milliseconds(400);

/// Delay before accept() is retried after a failure, which is usually caused by
/// a lack of file descriptors.
constexpr Duration AcceptRetryDelay = milliseconds(50);

/// Length of the listen queue. If it is full, the kernel drops the SYN, and the
/// client loses seconds until it retransmits it.
constexpr int Backlog = 4096;

} // namespace

std::optional<tcp::endpoint> parseEndpoint(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  error_code Error;
  auto Address = boost::asio::ip::make_address_v4(Text.substr(0, Colon), Error);
  uint16_t Port = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Parsed] = std::from_chars(Text.data() + Colon + 1, Last, Port);
  if (Error || Parsed != std::errc() || End != Last)
    return std::nullopt;
  return tcp::endpoint(Address, Port);
}

IngressServer::IngressServer(boost::asio::io_context &IoContext,
                             IngressHandler Handler)
    : IoContext_(IoContext), Acceptor_(IoContext), SweepTimer_(IoContext),
      AcceptRetryTimer_(IoContext), Handler_(std::move(Handler)) {}

IngressServer::~IngressServer() {
  auto Open = Connections_;
  for (const auto &Connection : Open)
    Connection->close();
}

bool IngressServer::open(const std::string &Address, Reason &Why) {
  std::optional<tcp::endpoint> Endpoint = parseEndpoint(Address);
  if (!Endpoint) {
    Why = {ResultCode::PortUnavailable, Address, "not a valid address:port"};
    return false;
  }
  error_code Error;
  Acceptor_.open(tcp::v4(), Error);
  if (!Error)
    Acceptor_.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor_.bind(*Endpoint, Error);
  if (!Error)
    Acceptor_.listen(Backlog, Error);
  if (Error) {
    Why = {ResultCode::PortUnavailable, Address, Error.message()};
    return false;
  }
  tcp::endpoint Bound = Acceptor_.local_endpoint();
  Address_ = Bound.address().to_string() + ":" + std::to_string(Bound.port());
  accept();
  sweep();
  return true;
}

bool IngressServer::shareListener(IngressServer &First, Reason &Why) {
  int Copy = fcntl(First.Acceptor_.native_handle(), F_DUPFD_CLOEXEC, 0);
  error_code Error(errno, boost::system::system_category());
  if (Copy >= 0)
    Acceptor_.assign(tcp::v4(), Copy, Error);
  if (Error) {
    Why = {ResultCode::PortUnavailable, First.Address_, Error.message()};
    return false;
  }
  Address_ = First.Address_;
  accept();
  sweep();
  return true;
}

void IngressServer::accept() {
  if (IsAcceptStopped_)
    return;
  Acceptor_.async_accept([this](error_code Error, tcp::socket Socket) {
    if (IsAcceptStopped_ || Error == boost::asio::error::operation_aborted)
      return;
    if (Error) {
      AcceptRetryTimer_.expires_after(AcceptRetryDelay);
      AcceptRetryTimer_.async_wait([this](error_code Cancelled) {
        if (!Cancelled)
          accept();
      });
      return;
    }
    if (Connections_.size() >= Limits_.MaxConnections_) {
      accept(); // Socket goes out of scope and is closed.
      return;
    }
    auto Connection =
        std::make_shared<IngressConnection>(*this, std::move(Socket));
    Connections_.insert(Connection);
    Connection->start();
    accept();
  });
}

void IngressServer::sweep() {
  SweepTimer_.expires_after(SweepPeriod);
  SweepTimer_.async_wait([this](error_code Cancelled) {
    if (Cancelled)
      return;
    Time Now = getNow();
    std::vector<std::shared_ptr<IngressConnection>> Open(Connections_.begin(),
                                                         Connections_.end());
    for (const auto &Connection : Open)
      Connection->checkTimeouts(Now);
    sweep();
  });
}

bool IngressServer::hasOpenRequests() const {
  return std::any_of(
      Connections_.begin(), Connections_.end(),
      [](const auto &Connection) { return Connection->hasUnsentResponses(); });
}

void IngressServer::stopAccepting() {
  IsAcceptStopped_ = true;
  error_code Ignored; // A failed close of a listener loses no data.
  Acceptor_.close(Ignored);
  auto Open = Connections_;
  for (const auto &Connection : Open)
    Connection->closeIfIdle();
}

} // namespace cranberry
