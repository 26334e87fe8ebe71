/// \file reserved_port_base.h Reserves a loopback port for a child process.
#ifndef CRANBERRY_STANDIN_RESERVED_PORT_BASE_H
#define CRANBERRY_STANDIN_RESERVED_PORT_BASE_H

#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace cranberry::standin {

/// Binds an ephemeral loopback port without listening, so that the kernel
/// assigns it to no other socket. A process that sets SO_REUSEADDR can still
/// listen on it.
class ReservedPort {
public:
  ReservedPort() : Socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    int On = 1;
    setsockopt(Socket_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    sockaddr_in Bound{};
    Bound.sin_family = AF_INET;
    Bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof Bound;
    if (bind(Socket_, reinterpret_cast<sockaddr *>(&Bound), Length) != 0 ||
        getsockname(Socket_, reinterpret_cast<sockaddr *>(&Bound), &Length) !=
            0)
      throw std::runtime_error("can't bind a loopback port");
    Address_ = "127.0.0.1:" + std::to_string(ntohs(Bound.sin_port));
  }

  ~ReservedPort() { close(Socket_); }
  ReservedPort(const ReservedPort &) = delete;
  ReservedPort &operator=(const ReservedPort &) = delete;

  const std::string &getAddress() const { return Address_; }

private:
  int Socket_;          ///< Bound socket that never listens.
  std::string Address_; ///< "address:port".
};

} // namespace cranberry::standin

#endif
