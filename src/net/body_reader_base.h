/// \file body_reader_base.h Reads the body of an HTTP/1.1 message.
#ifndef CRANBERRY_NET_BODY_READER_BASE_H
#define CRANBERRY_NET_BODY_READER_BASE_H

#include "net/message_framing_func.h"

#include <optional>
#include <string>

namespace cranberry {

/// Limits on the size of a message.
struct MessageLimits {
  size_t HeadBytes_ = 0; ///< Head; also chunk extensions with the trailer.
  size_t BodyBytes_ = 0; ///< Body without the framing of chunks.
};

/// Removes the framing of a body. Chunk extensions and trailer fields are
/// checked and dropped. Every byte is decided on its own, so the result doesn't
/// depend on how the bytes are split.
class BodyReader {
public:
  BodyReader(const MessageFraming &Framing, const MessageLimits &Limits);

  /// \param[in,out] Body Content received so far.
  /// \return The number of bytes that belong to this message.
  size_t consume(std::string_view Bytes, std::string &Body);

  bool isComplete() const { return State_ == State::Complete; }
  const std::optional<FramingError> &getError() const { return Error_; }

private:
  enum class State {
    Counted,   ///< Body with a length.
    Endless,   ///< Body that ends when the connection is closed.
    Size,      ///< Digits of a chunk's size.
    SizeSpace, ///< Whitespace between a size and an extension.
    Extension,
    SizeEnd, ///< Line feed after a size or extension.
    Data,
    DataReturn, ///< Carriage return after a chunk.
    DataEnd,    ///< Line feed after a chunk.
    Trailer,
    Complete,
    Failed
  };

  size_t consumeData(std::string_view Bytes, std::string &Body);
  void consumeByte(char C, size_t BodySize);
  void consumeSize(char C, size_t BodySize);
  void consumeTrailer(char C);
  void endSize(char C);
  bool countExtra();
  void fail(unsigned Status, const char *Text);

  MessageLimits Limits_;              ///< Limits of the message.
  State State_ = State::Size;         ///< What the next byte belongs to.
  uint64_t Left_ = 0;                 ///< Bytes left of the body or chunk.
  unsigned Digits_ = 0;               ///< Digits of the chunk's size so far.
  size_t ExtraBytes_ = 0;             ///< Bytes of extensions and the trailer.
  std::string TrailerLine_;           ///< Current line of the trailer.
  std::optional<FramingError> Error_; ///< Why the body can't be read.
};

} // namespace cranberry

#endif
