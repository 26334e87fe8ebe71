/// \file message_reader.cpp Reads one HTTP/1.1 message from a connection.
#include "net/message_reader_base.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <limits>

namespace http = boost::beast::http;

namespace cranberry {

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned HeadTooLarge = 431;

/// Replaces an absolute target by its path; its host takes the place of the
/// Host field (RFC 9112, 3.2.2). A request of HTTP/1.0 without a host gets an
/// empty one, as it is forwarded in HTTP/1.1.
void normalizeHost(RequestMessage &Message) {
  constexpr size_t SchemeSize = 7;
  if (Message.count(http::field::host) == 0)
    Message.set(http::field::host, "");
  std::string Target(Message.target());
  if (Target.front() == '/' || Target == "*")
    return;
  size_t End = std::min(Target.find_first_of("/?", SchemeSize), Target.size());
  Message.set(http::field::host, Target.substr(SchemeSize, End - SchemeSize));
  std::string Path = Target.substr(End);
  if (Path.empty() || Path.front() == '?')
    Path.insert(0, 1, '/');
  Message.target(Path);
}

} // namespace

template <bool IsRequest>
size_t MessageReader<IsRequest>::consume(std::string_view Bytes) {
  size_t Used = 0;
  if (!Body_ && !Error_)
    Used = consumeHead(Bytes);
  if (Body_ && !Error_) {
    Used += Body_->consume(Bytes.substr(Used), Message_.body());
    Error_ = Body_->getError();
  }
  return Used;
}

template <bool IsRequest>
size_t MessageReader<IsRequest>::consumeHead(std::string_view Bytes) {
  size_t Used = 0;
  while (Used < Bytes.size()) {
    size_t End = std::min(Bytes.find('\n', Used), Bytes.size() - 1);
    std::string_view Part = Bytes.substr(Used, End - Used + 1);
    Part = Part.substr(0, Limits_.HeadBytes_ - Head_.size());
    Head_.append(Part);
    Used += Part.size();
    if (Head_.ends_with('\n') && !Head_.ends_with("\r\n")) {
      Error_ = {BadRequest, "line feed without a carriage return"};
      return Used;
    }
    // An empty line in front of a request is ignored (RFC 9112, 2.2).
    if (IsRequest && !IsEmptyLineSkipped_ && Head_ == "\r\n") {
      IsEmptyLineSkipped_ = true;
      Head_.clear();
      continue;
    }
    if (Head_ == "\r\n" || Head_.ends_with("\r\n\r\n")) {
      parseHead();
      return Used;
    }
    if (Head_.size() >= Limits_.HeadBytes_) {
      Error_ = {HeadTooLarge, "head exceeds the limit"};
      return Used;
    }
  }
  return Used;
}

template <bool IsRequest> void MessageReader<IsRequest>::parseHead() {
  FramingResult Result;
  if constexpr (IsRequest)
    Result = readRequestFraming(Head_);
  else
    Result = readResponseFraming(Head_, IsToHead_);
  if (auto *Failed = std::get_if<FramingError>(&Result)) {
    Error_ = *Failed;
    return;
  }
  Framing_ = std::get<MessageFraming>(Result);
  http::parser<IsRequest, http::string_body> Parser;
  Parser.header_limit(static_cast<uint32_t>(Head_.size() + 1));
  Parser.body_limit(std::numeric_limits<uint64_t>::max());
  boost::system::error_code Failed;
  Parser.put(boost::asio::buffer(Head_), Failed);
  if (Failed || !Parser.is_header_done()) {
    Error_ = {BadRequest, "head"};
    return;
  }
  Message_ = Parser.release();
  if constexpr (IsRequest)
    normalizeHost(Message_);
  Body_.emplace(Framing_, Limits_);
  Error_ = Body_->getError();
}

template class MessageReader<true>;
template class MessageReader<false>;

} // namespace cranberry
