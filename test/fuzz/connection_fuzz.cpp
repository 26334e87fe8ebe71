/// \file connection_fuzz.cpp Feeds the bytes of one connection in random
/// pieces.
///
/// Built like decoder_fuzz. It fails if the pieces change what is read, if
/// another reader sees other messages in the same bytes, or if what goes out to
/// a server has a second reading, a client's API key or a client's name of a
/// workspace.
#include "net/http_message_func.h"
#include "net/message_reader_base.h"
#include "platform/decode_func.h"

#include <absl/strings/match.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace cranberry;
namespace http = boost::beast::http;

namespace {

constexpr MessageLimits Limits{4096, 4096};
constexpr MessageLimits OutgoingLimits{16384, 16384};

void require(bool Holds, const char *Text) {
  if (Holds)
    return;
  std::fprintf(stderr, "connection_fuzz: %s\n", Text);
  std::abort();
}

/// Where a message begins and ends, and what it is.
template <bool IsRequest> struct ReadMessage {
  size_t Begin_ = 0;
  size_t End_ = 0;
  typename MessageReader<IsRequest>::Message Message_;
};

/// All messages of a connection and the error after them, if any.
template <bool IsRequest> struct Stream {
  std::vector<ReadMessage<IsRequest>> Messages_;
  unsigned Status_ = 0;
};

template <bool IsRequest>
Stream<IsRequest> readStream(std::string_view Bytes,
                             const std::function<size_t()> &GetPiece) {
  Stream<IsRequest> Result;
  size_t At = 0;
  while (At < Bytes.size()) {
    MessageReader<IsRequest> Reader(Limits);
    size_t Begin = At;
    while (At < Bytes.size() && !Reader.isComplete() && !Reader.getError())
      At += Reader.consume(Bytes.substr(At, GetPiece()));
    if (Reader.getError())
      Result.Status_ = Reader.getError()->Status_;
    if (!Reader.isComplete())
      break;
    Result.Messages_.push_back({Begin, At, std::move(Reader.getMessage())});
  }
  return Result;
}

std::string toText(const http::fields &Fields) {
  std::string Result;
  for (const auto &Each : Fields)
    Result += std::string(Each.name_string()) + ":" +
              std::string(Each.value()) + "\n";
  return Result;
}

template <bool IsRequest>
void checkPieces(std::string_view Bytes, const Stream<IsRequest> &Whole) {
  std::mt19937_64 Random(std::hash<std::string_view>()(Bytes));
  for (int Round = 0; Round < 3; ++Round) {
    size_t Most = Round == 0 ? 1 : 1 + Random() % 64;
    Stream<IsRequest> Split =
        readStream<IsRequest>(Bytes, [&] { return 1 + Random() % Most; });
    require(Split.Status_ == Whole.Status_, "pieces change the error");
    require(Split.Messages_.size() == Whole.Messages_.size(),
            "pieces change the number of messages");
    for (size_t I = 0; I < Split.Messages_.size(); ++I) {
      const auto &Left = Split.Messages_[I];
      const auto &Right = Whole.Messages_[I];
      require(Left.End_ == Right.End_, "pieces change where a message ends");
      require(Left.Message_.body() == Right.Message_.body() &&
                  toText(Left.Message_) == toText(Right.Message_),
              "pieces change a message");
    }
  }
}

/// Reads a request with Boost.Beast's parser alone.
/// \return Whether it was read.
bool readWithOther(std::string_view Bytes, RequestMessage &Result,
                   size_t &Used) {
  http::request_parser<http::string_body> Parser;
  Parser.eager(true);
  boost::system::error_code Error;
  Used = 0;
  while (Used < Bytes.size() && !Parser.is_done()) {
    size_t Count = Parser.put(
        boost::asio::buffer(Bytes.data() + Used, Bytes.size() - Used), Error);
    Used += Count;
    if (Error || Count == 0)
      return false;
  }
  if (!Parser.is_done())
    return false;
  Result = Parser.release();
  return true;
}

void checkOutgoing(RequestMessage Message) {
  std::string Body = Message.body();
  constexpr const char *AttemptId = "X-Cranberrypost-Attempt-Id";
  constexpr const char *Deadline = "X-Cranberrypost-Deadline-Milliseconds";
  std::string Id(Message[AttemptId]);
  bool HasId = !platform::decodeClientRequest(Message).AttemptId_.empty();
  platform::takeClientKey(Message);
  eraseHopByHopFields(Message, platform::isPlatformField);
  platform::setWorkspaceName(Message, "mine");
  platform::setAttemptHeaders(Message, seconds(1), "instance");
  std::string Sent = serializeRequest(Message);
  RequestReader Reader(OutgoingLimits);
  size_t Used = Reader.consume(Sent);
  require(Reader.isComplete() && Used == Sent.size(),
          "what goes out isn't one request");
  const RequestMessage &Again = Reader.getMessage();
  require(Again.body() == Body, "what goes out has another body");
  require(Again.count("Authorization") == 0, "an API key goes out");
  require(Again.count("Transfer-Encoding") == 0 &&
              Again.count("Connection") == 0,
          "a hop-by-hop field goes out");
  require(Again.count(Deadline) == 1, "the deadline doesn't go out");
  require(!HasId || (Again.count(AttemptId) == 1 && Again[AttemptId] == Id),
          "the attempt's id doesn't go out");
  size_t Names = 0;
  for (const auto &Each : Again) {
    std::string Name(Each.name_string());
    std::replace(Name.begin(), Name.end(), '_', '-');
    if (!absl::EqualsIgnoreCase(Name, "X-Cranberrypost-Tenant-Name"))
      continue;
    ++Names;
    require(Each.value() == "mine", "a client's workspace name goes out");
  }
  require(Names == 1, "a workspace name goes out twice");
  RequestMessage Other;
  size_t OtherUsed = 0;
  require(readWithOther(Sent, Other, OtherUsed) && OtherUsed == Sent.size() &&
              Other.body() == Body && toText(Other) == toText(Again),
          "what goes out has a second reading");
}

} // namespace

// libFuzzer calls this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  std::string Bytes(reinterpret_cast<const char *>(Data), Size);
  auto GetAll = [&] { return Bytes.size(); };
  Stream<true> Requests = readStream<true>(Bytes, GetAll);
  checkPieces(Bytes, Requests);
  for (const ReadMessage<true> &Each : Requests.Messages_) {
    std::string_view Text =
        std::string_view(Bytes).substr(Each.Begin_, Each.End_ - Each.Begin_);
    RequestMessage Other;
    size_t Used = 0;
    if (readWithOther(Text, Other, Used))
      require(Used == Text.size() && Other.body() == Each.Message_.body(),
              "another reader sees another request");
    checkOutgoing(Each.Message_);
  }
  checkPieces(Bytes, readStream<false>(Bytes, GetAll));
  return 0;
}
