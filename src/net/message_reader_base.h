/// \file message_reader_base.h Reads one HTTP/1.1 message from a connection.
#ifndef CRANBERRY_NET_MESSAGE_READER_BASE_H
#define CRANBERRY_NET_MESSAGE_READER_BASE_H

#include "net/body_reader_base.h"
#include "net/http_message_type.h"

#include <optional>
#include <string>
#include <type_traits>

namespace cranberry {

/// Takes the bytes of a connection up to the end of one message. A message that
/// others could understand in a different way is an error; the connection
/// can't be used after it.
/// \tparam IsRequest Whether it reads a request or a response.
template <bool IsRequest> class MessageReader {
public:
  using Message =
      std::conditional_t<IsRequest, RequestMessage, ResponseMessage>;

  /// \param IsToHead Whether it reads the response to a HEAD request.
  explicit MessageReader(const MessageLimits &Limits, bool IsToHead = false)
      : Limits_(Limits), IsToHead_(IsToHead) {}

  /// \return The number of bytes that belong to this message. All do, unless
  /// it is complete or has an error.
  size_t consume(std::string_view Bytes);

  bool isHeadComplete() const { return Body_.has_value(); }
  bool isComplete() const { return Body_ && Body_->isComplete() && !Error_; }
  /// \return Whether the message ends when the connection is closed.
  bool endsWithClose() const {
    return isHeadComplete() && Framing_.End_ == BodyEnd::Close && !Error_;
  }
  const std::optional<FramingError> &getError() const { return Error_; }

  /// \return Framing of the message. Requires a complete head.
  const MessageFraming &getFraming() const { return Framing_; }
  /// \return Message as far as it was received.
  Message &getMessage() { return Message_; }

private:
  size_t consumeHead(std::string_view Bytes);
  void parseHead();

  MessageLimits Limits_;              ///< Limits of the message.
  bool IsToHead_;                     ///< See the constructor.
  std::string Head_;                  ///< Head as received.
  bool IsEmptyLineSkipped_ = false;   ///< Whether one came in front.
  MessageFraming Framing_;            ///< Set with the complete head.
  std::optional<BodyReader> Body_;    ///< Set with the complete head.
  Message Message_;                   ///< Fields and body.
  std::optional<FramingError> Error_; ///< Why the message can't be read.
};

extern template class MessageReader<true>;
extern template class MessageReader<false>;

using RequestReader = MessageReader<true>;
using ResponseReader = MessageReader<false>;

} // namespace cranberry

#endif
