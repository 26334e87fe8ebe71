/// \file message_framing_func.h Checks of HTTP/1.1 heads (RFC 9112).
#ifndef CRANBERRY_NET_MESSAGE_FRAMING_FUNC_H
#define CRANBERRY_NET_MESSAGE_FRAMING_FUNC_H

#include <cstdint>
#include <string_view>
#include <variant>

namespace cranberry {

/// How the end of a message's body is found.
enum class BodyEnd { None, Length, LastChunk, Close };

/// What a head says about its message and connection.
struct MessageFraming {
  BodyEnd End_ = BodyEnd::None;     ///< How the body ends.
  uint64_t Length_ = 0;             ///< Bytes of the body, for BodyEnd::Length.
  bool IsKeepAlive_ = true;         ///< Whether another message may follow.
  bool IsContinueExpected_ = false; ///< Whether the client waits for a 100.
};

/// Why a message can't be read.
struct FramingError {
  unsigned Status_ = 0;   ///< Status of the response to such a request.
  const char *Text_ = ""; ///< Reason, for logs and tests.
};

using FramingResult = std::variant<MessageFraming, FramingError>;

/// \param Head Complete head of a request, with its empty line.
/// \return The framing, or the error of a head that recipients could
/// understand in different ways.
FramingResult readRequestFraming(std::string_view Head);

/// \param Head Complete head of a response, with its empty line.
/// \param IsToHead Whether it responds to a HEAD request.
/// \return The framing, or the error.
FramingResult readResponseFraming(std::string_view Head, bool IsToHead);

/// \return Whether \p Line, without its end, is a header or trailer field.
bool isFieldLine(std::string_view Line);

/// \return Whether \p Text is a host with an optional port, or empty.
bool isHost(std::string_view Text);

} // namespace cranberry

#endif
