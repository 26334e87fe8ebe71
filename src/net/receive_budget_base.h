/// \file receive_budget_base.h Bounds the memory of responses in transit.
#ifndef CRANBERRY_NET_RECEIVE_BUDGET_BASE_H
#define CRANBERRY_NET_RECEIVE_BUDGET_BASE_H

#include <boost/asio/execution_context.hpp>

#include <cstddef>
#include <map>

namespace cranberry {

class ServerConnection;

/// Counts the bytes of all responses that are being received on an event loop,
/// whatever pool their connections belong to, and determines which one to give
/// up when they exceed MaxBytes. Use boost::asio::use_service() to get it.
class ReceiveBudget : public boost::asio::execution_context::service {
public:
  /// Required by Asio under this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static inline boost::asio::execution_context::id id;

  explicit ReceiveBudget(boost::asio::execution_context &Loop)
      : boost::asio::execution_context::service(Loop) {}

  /// Maximum size of a response body, and of all together; same as the default
  /// limit for request bodies.
  static constexpr size_t MaxBytes = 64U << 20;

  /// Records how many bytes a connection has buffered; 0 if none.
  void update(ServerConnection *Connection, size_t Bytes);

  /// \return The connection with the largest response if all together exceed
  /// MaxBytes, or null.
  ServerConnection *findExcess() const;

private:
  void shutdown() override {}

  std::map<ServerConnection *, size_t> Buffered_; ///< Bytes by connection.
  size_t Total_ = 0;                              ///< Sum of all bytes.
};

} // namespace cranberry

#endif
