/// \file http_message.cpp Serialization of HTTP/1.1 messages.
#include "net/http_message_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace http = boost::beast::http;

namespace cranberry {

namespace {

absl::string_view toView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

void appendFields(std::string &Out, const http::fields &Fields,
                  bool KeepLength) {
  for (const http::fields::value_type &Field : Fields) {
    if (Field.name() == http::field::content_length && !KeepLength)
      continue;
    absl::StrAppend(&Out, toView(Field.name_string()), ": ",
                    toView(Field.value()), "\r\n");
  }
}

/// \return Whether a message means something else without the field \p Name. A
/// sender must not name such a field in Connection (RFC 9110, 7.6.1).
bool isEndToEnd(absl::string_view Name) {
  return absl::EqualsIgnoreCase(Name, "host") ||
         absl::EqualsIgnoreCase(Name, "authorization") ||
         absl::StartsWithIgnoreCase(Name, "content-");
}

/// \return Whether responses with \p Status never have a body.
bool isBodiless(unsigned Status) {
  constexpr unsigned NoContent = 204;
  constexpr unsigned NotModified = 304;
  constexpr unsigned FirstFinal = 200;
  return Status < FirstFinal || Status == NoContent || Status == NotModified;
}

} // namespace

void eraseHopByHopFields(http::fields &Fields, FieldFilter IsKept) {
  std::vector<std::string> Named;
  auto [First, End] = Fields.equal_range(http::field::connection);
  for (auto Each = First; Each != End; ++Each)
    for (absl::string_view Name : absl::StrSplit(toView(Each->value()), ',')) {
      Name = absl::StripAsciiWhitespace(Name);
      if (!isEndToEnd(Name) && !(IsKept && IsKept({Name.data(), Name.size()})))
        Named.emplace_back(Name);
    }
  for (const std::string &Name : Named)
    Fields.erase(Name);
  for (http::field Name :
       {http::field::connection, http::field::keep_alive,
        http::field::transfer_encoding, http::field::te, http::field::trailer,
        http::field::upgrade, http::field::proxy_authorization,
        http::field::proxy_authenticate, http::field::proxy_connection,
        http::field::expect})
    Fields.erase(Name);
}

std::string serializeRequest(const RequestMessage &Message) {
  std::string Out;
  constexpr size_t HeadBytes = 512; // Most message heads are shorter.
  Out.reserve(HeadBytes + Message.body().size());
  absl::StrAppend(&Out, toView(Message.method_string()), " ",
                  toView(Message.target()), " HTTP/1.1\r\n");
  appendFields(Out, Message, false);
  bool TakesBody = Message.method() != http::verb::get &&
                   Message.method() != http::verb::head;
  if (TakesBody || !Message.body().empty())
    absl::StrAppend(&Out, "Content-Length: ", Message.body().size(), "\r\n");
  absl::StrAppend(&Out, "\r\n", Message.body());
  return Out;
}

std::string serializeResponse(const ResponseMessage &Message, bool ToHead,
                              bool Close) {
  std::string Out;
  constexpr size_t HeadBytes = 512;
  Out.reserve(HeadBytes + Message.body().size());
  absl::StrAppend(&Out, "HTTP/1.1 ", Message.result_int(), " ",
                  toView(Message.reason()), "\r\n");
  appendFields(Out, Message, ToHead);
  if (Close)
    Out += "Connection: close\r\n";
  if (!ToHead && !isBodiless(Message.result_int()))
    absl::StrAppend(&Out, "Content-Length: ", Message.body().size(), "\r\n");
  Out += "\r\n";
  if (!ToHead && !isBodiless(Message.result_int()))
    Out += Message.body();
  return Out;
}

ResponseMessage makeResponse(unsigned Status, std::string Body,
                             std::string_view ContentType) {
  ResponseMessage Message;
  Message.result(Status);
  if (!Body.empty())
    Message.set(
        http::field::content_type,
        boost::beast::string_view(ContentType.data(), ContentType.size()));
  Message.body() = std::move(Body);
  return Message;
}

} // namespace cranberry
