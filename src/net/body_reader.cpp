/// \file body_reader.cpp Reads the body of an HTTP/1.1 message.
#include "net/body_reader_base.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned TooLarge = 413;
constexpr unsigned HeadTooLarge = 431;

/// Digits of the largest 64-bit number; also bounds leading zeros.
constexpr unsigned MaxSizeDigits = 16;

/// \return The value of a hexadecimal digit, or nothing.
std::optional<unsigned> getDigit(char C) {
  constexpr unsigned Ten = 10;
  if (C >= '0' && C <= '9')
    return static_cast<unsigned>(C - '0');
  char Lower = absl::ascii_tolower(static_cast<unsigned char>(C));
  if (Lower >= 'a' && Lower <= 'f')
    return static_cast<unsigned>(Lower - 'a') + Ten;
  return std::nullopt;
}

} // namespace

BodyReader::BodyReader(const MessageFraming &Framing,
                       const MessageLimits &Limits)
    : Limits_(Limits), Left_(Framing.Length_) {
  switch (Framing.End_) {
  case BodyEnd::None:
    State_ = State::Complete;
    break;
  case BodyEnd::Length:
    State_ = Left_ == 0 ? State::Complete : State::Counted;
    if (Left_ > Limits_.BodyBytes_)
      fail(TooLarge, "body exceeds the limit");
    break;
  case BodyEnd::Close:
    State_ = State::Endless;
    break;
  case BodyEnd::LastChunk:
    Left_ = 0;
    break;
  }
}

size_t BodyReader::consume(std::string_view Bytes, std::string &Body) {
  size_t Used = 0;
  while (Used < Bytes.size() && State_ != State::Complete &&
         State_ != State::Failed) {
    bool IsData = State_ == State::Counted || State_ == State::Endless ||
                  State_ == State::Data;
    if (IsData)
      Used += consumeData(Bytes.substr(Used), Body);
    else
      consumeByte(Bytes[Used++], Body.size());
  }
  return Used;
}

size_t BodyReader::consumeData(std::string_view Bytes, std::string &Body) {
  if (State_ == State::Endless) {
    if (Bytes.size() > Limits_.BodyBytes_ - Body.size()) {
      fail(TooLarge, "body exceeds the limit");
      return 0;
    }
    Body.append(Bytes);
    return Bytes.size();
  }
  auto Count = static_cast<size_t>(std::min<uint64_t>(Left_, Bytes.size()));
  Body.append(Bytes.substr(0, Count));
  Left_ -= Count;
  if (Left_ == 0)
    State_ = State_ == State::Counted ? State::Complete : State::DataReturn;
  return Count;
}

void BodyReader::consumeByte(char C, size_t BodySize) {
  switch (State_) {
  case State::Size:
    consumeSize(C, BodySize);
    return;
  case State::SizeSpace:
    // A line that ends in whitespace is read in different ways by others.
    if (C == ';')
      State_ = State::Extension;
    else if (C != ' ' && C != '\t')
      fail(BadRequest, "whitespace in a chunk size");
    countExtra();
    return;
  case State::Extension:
    if (C == '\r')
      State_ = State::SizeEnd;
    else if (absl::ascii_iscntrl(static_cast<unsigned char>(C)) && C != '\t')
      fail(BadRequest, "control character in a chunk extension");
    countExtra();
    return;
  case State::SizeEnd:
    endSize(C);
    return;
  case State::DataReturn:
    State_ = State::DataEnd;
    if (C != '\r')
      fail(BadRequest, "chunk exceeds its size");
    return;
  case State::DataEnd:
    State_ = State::Size;
    Digits_ = 0;
    if (C != '\n')
      fail(BadRequest, "chunk exceeds its size");
    return;
  case State::Trailer:
    consumeTrailer(C);
    return;
  case State::Counted:
  case State::Endless:
  case State::Data:
  case State::Complete:
  case State::Failed:
    return;
  }
}

void BodyReader::consumeSize(char C, size_t BodySize) {
  constexpr unsigned DigitBits = 4;
  if (std::optional<unsigned> Digit = getDigit(C)) {
    if (++Digits_ > MaxSizeDigits) {
      fail(BadRequest, "chunk size has too many digits");
      return;
    }
    Left_ = (Left_ << DigitBits) | *Digit;
    if (Left_ > Limits_.BodyBytes_ - BodySize)
      fail(TooLarge, "body exceeds the limit");
    return;
  }
  if (Digits_ == 0)
    fail(BadRequest, "chunk size is missing");
  else if (C == '\r')
    State_ = State::SizeEnd;
  else if (C == ';')
    State_ = State::Extension;
  else if (C == ' ' || C == '\t')
    State_ = State::SizeSpace;
  else
    fail(BadRequest, "chunk size isn't a number");
}

void BodyReader::endSize(char C) {
  State_ = Left_ == 0 ? State::Trailer : State::Data;
  if (C != '\n')
    fail(BadRequest, "carriage return in a chunk size");
}

void BodyReader::consumeTrailer(char C) {
  if (!countExtra())
    return;
  if (C != '\n') {
    TrailerLine_ += C;
    return;
  }
  std::string Line = std::exchange(TrailerLine_, "");
  if (Line.empty() || Line.back() != '\r') {
    fail(BadRequest, "line feed without a carriage return");
    return;
  }
  Line.pop_back();
  if (Line.empty())
    State_ = State::Complete;
  else if (!isFieldLine(Line))
    fail(BadRequest, "trailer field");
}

bool BodyReader::countExtra() {
  if (State_ == State::Failed)
    return false;
  if (++ExtraBytes_ > Limits_.HeadBytes_)
    fail(HeadTooLarge, "chunk extensions or trailer exceed the limit");
  return State_ != State::Failed;
}

void BodyReader::fail(unsigned Status, const char *Text) {
  State_ = State::Failed;
  Error_ = FramingError{Status, Text};
}

} // namespace cranberry
