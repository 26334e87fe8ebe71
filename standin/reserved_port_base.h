/// \file reserved_port_base.h A free port that is kept for a process to come.
#ifndef CRANBERRY_STANDIN_RESERVED_PORT_BASE_H
#define CRANBERRY_STANDIN_RESERVED_PORT_BASE_H

#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace cranberry::standin {

/// Binds a port that the kernel picks, without listening, so that the kernel
/// gives it to nobody else; a process that allows address reuse can listen.
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
      throw std::runtime_error("no free port");
    Address_ = "127.0.0.1:" + std::to_string(ntohs(Bound.sin_port));
  }

  ~ReservedPort() { close(Socket_); }
  ReservedPort(const ReservedPort &) = delete;
  ReservedPort &operator=(const ReservedPort &) = delete;

  const std::string &getAddress() const { return Address_; }

private:
  int Socket_;          ///< Bound, never listening.
  std::string Address_; ///< "address:port".
};

} // namespace cranberry::standin

#endif
