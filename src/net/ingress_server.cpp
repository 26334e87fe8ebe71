/// \file ingress_server.cpp Serves HTTP/1.1 with pipelining on one thread.
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

/// How often connections are checked against their time limits; an eighth of
/// the shortest of these.
constexpr Duration SweepPeriod = milliseconds(400);

/// Pause after accept() fails, mostly because descriptors have run out.
constexpr Duration AcceptRetryDelay = milliseconds(50);

/// Connections that may wait to be accepted. A full queue costs the client
/// seconds, as its opening packet is dropped.
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

IngressServer::IngressServer(boost::asio::io_context &Loop,
                             IngressHandler Handler)
    : IoContext_(Loop), Acceptor_(Loop), SweepTimer_(Loop),
      AcceptRetryTimer_(Loop), Handler_(std::move(Handler)) {}

IngressServer::~IngressServer() {
  auto Open = Connections_;
  for (const auto &Connection : Open)
    Connection->close();
}

bool IngressServer::open(const std::string &Address, Reason &Why) {
  std::optional<tcp::endpoint> Endpoint = parseEndpoint(Address);
  if (!Endpoint) {
    Why = {ResultCode::PortUnavailable, Address, "not an address and a port"};
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
      accept(); // The socket closes.
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
  error_code Ignored; // A listening socket has nothing to lose.
  Acceptor_.close(Ignored);
  auto Open = Connections_;
  for (const auto &Connection : Open)
    Connection->closeIfIdle();
}

} // namespace cranberry
