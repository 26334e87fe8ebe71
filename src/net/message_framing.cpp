/// \file message_framing.cpp Checks of HTTP/1.1 heads (RFC 9112).
#include "net/message_framing_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned NotImplemented = 501;
constexpr unsigned VersionNotSupported = 505;
constexpr std::string_view LineEnd = "\r\n";
constexpr char Delete = 0x7f;

absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}

std::string_view trim(std::string_view Text) {
  size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

bool isTokenChar(char C) {
  return absl::ascii_isalnum(static_cast<unsigned char>(C)) ||
         std::string_view("!#$%&'*+-.^_`|~").find(C) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenChar);
}

bool isFieldValueChar(char C) {
  auto Byte = static_cast<unsigned char>(C);
  return C == '\t' || (Byte >= ' ' && C != Delete);
}

bool isTargetChar(char C) { return C > ' ' && C < Delete && C != '#'; }

bool isNumber(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return absl::ascii_isdigit(static_cast<unsigned char>(C));
  });
}

/// \return The minor version of "HTTP/1.x", or nothing.
std::optional<unsigned> parseVersion(std::string_view Text) {
  if (Text == "HTTP/1.1")
    return 1;
  if (Text == "HTTP/1.0")
    return 0;
  return std::nullopt;
}

bool isOtherVersion(std::string_view Text) {
  constexpr size_t Size = 8;
  constexpr size_t MajorAt = 5;
  return Text.size() == Size && Text.starts_with("HTTP/") &&
         isNumber(Text.substr(MajorAt, 1)) && Text[MajorAt + 1] == '.' &&
         isNumber(Text.substr(MajorAt + 2));
}

/// Fields of a head that determine its framing.
struct FramingFields {
  std::vector<std::string_view> Lengths_; ///< Content-Length values.
  std::vector<std::string_view> Codings_; ///< Transfer-Encoding values.
  std::vector<std::string_view> Hosts_;   ///< Host values.
  std::vector<std::string_view> Expects_; ///< Expect values.
  bool HasClose_ = false;                 ///< Connection names "close".
  bool HasKeepAlive_ = false;             ///< Connection names "keep-alive".
};

void addConnectionOptions(std::string_view Value, FramingFields &Result) {
  for (absl::string_view Option : absl::StrSplit(toAbsl(Value), ',')) {
    Option = absl::StripAsciiWhitespace(Option);
    Result.HasClose_ |= absl::EqualsIgnoreCase(Option, "close");
    Result.HasKeepAlive_ |= absl::EqualsIgnoreCase(Option, "keep-alive");
  }
}

void addField(std::string_view Name, std::string_view Value,
              FramingFields &Result) {
  auto Is = [Name](absl::string_view Known) {
    return absl::EqualsIgnoreCase(toAbsl(Name), Known);
  };
  if (Is("content-length"))
    Result.Lengths_.push_back(Value);
  else if (Is("transfer-encoding"))
    Result.Codings_.push_back(Value);
  else if (Is("host"))
    Result.Hosts_.push_back(Value);
  else if (Is("expect"))
    Result.Expects_.push_back(Value);
  else if (Is("connection"))
    addConnectionOptions(Value, Result);
}

/// \param Text Field lines of a head and the empty line after them.
std::optional<FramingFields> parseFields(std::string_view Text) {
  FramingFields Result;
  while (true) {
    size_t End = Text.find(LineEnd);
    if (End == std::string_view::npos)
      return std::nullopt;
    std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(End + LineEnd.size());
    if (Line.empty())
      return Text.empty() ? std::optional(std::move(Result)) : std::nullopt;
    // This includes lines that begin with whitespace (obs-fold).
    if (!isFieldLine(Line))
      return std::nullopt;
    size_t Colon = Line.find(':');
    addField(Line.substr(0, Colon), trim(Line.substr(Colon + 1)), Result);
  }
}

/// Reads Transfer-Encoding and Content-Length. If both are missing, the result
/// is BodyEnd::None.
FramingResult readBodyEnd(const FramingFields &Fields, unsigned MinorVersion) {
  MessageFraming Result;
  Result.IsKeepAlive_ =
      !Fields.HasClose_ && (MinorVersion > 0 || Fields.HasKeepAlive_);
  if (!Fields.Codings_.empty()) {
    if (!Fields.Lengths_.empty())
      return FramingError{BadRequest, "both a length and a transfer coding"};
    if (MinorVersion == 0)
      return FramingError{BadRequest, "transfer coding in HTTP/1.0"};
    size_t Count = 0;
    size_t ChunkedCount = 0;
    bool IsLastChunked = false;
    for (std::string_view Value : Fields.Codings_)
      for (absl::string_view Each : absl::StrSplit(toAbsl(Value), ',')) {
        Each = absl::StripAsciiWhitespace(Each);
        absl::string_view Name = absl::StripAsciiWhitespace(
            Each.substr(0, std::min(Each.find(';'), Each.size())));
        if (!isToken({Name.data(), Name.size()}))
          return FramingError{BadRequest, "transfer coding without a name"};
        bool IsChunked = absl::EqualsIgnoreCase(Name, "chunked");
        // "chunked" has no parameters.
        IsLastChunked = IsChunked && Name.size() == Each.size();
        ChunkedCount += IsChunked ? 1 : 0;
        ++Count;
      }
    if (!IsLastChunked || ChunkedCount != 1)
      return FramingError{BadRequest, "chunked isn't the last transfer coding"};
    if (Count > 1)
      return FramingError{NotImplemented, "unknown transfer coding"};
    Result.End_ = BodyEnd::LastChunk;
    return Result;
  }
  if (Fields.Lengths_.empty())
    return Result;
  std::string_view Text = Fields.Lengths_.front();
  if (Fields.Lengths_.size() > 1 || !isNumber(Text))
    return FramingError{BadRequest, "Content-Length isn't one number"};
  Result.End_ = BodyEnd::Length;
  if (std::from_chars(Text.data(), Text.data() + Text.size(), Result.Length_)
          .ec != std::errc())
    Result.Length_ = UINT64_MAX; // Beyond any limit.
  return Result;
}

/// \return An error, or nothing if the form of \p Target suits \p Method.
std::optional<FramingError> checkTarget(std::string_view Method,
                                        std::string_view Target) {
  if (Method == "CONNECT")
    return FramingError{NotImplemented, "CONNECT"};
  if (Target.empty() ||
      !std::all_of(Target.begin(), Target.end(), isTargetChar))
    return FramingError{BadRequest, "request target"};
  if (Target.front() == '/' || (Target == "*" && Method == "OPTIONS"))
    return std::nullopt;
  constexpr absl::string_view Scheme = "http://";
  if (absl::StartsWithIgnoreCase(toAbsl(Target), Scheme)) {
    Target.remove_prefix(Scheme.size());
    std::string_view Authority = Target.substr(0, Target.find_first_of("/?"));
    if (!Authority.empty() && isHost(Authority))
      return std::nullopt;
  }
  return FramingError{BadRequest, "form of the request target"};
}

std::optional<FramingError> checkHosts(const FramingFields &Fields,
                                       unsigned MinorVersion) {
  if (Fields.Hosts_.size() > 1 || (Fields.Hosts_.empty() && MinorVersion > 0) ||
      (!Fields.Hosts_.empty() && !isHost(Fields.Hosts_.front())))
    return FramingError{BadRequest, "Host isn't one host"};
  return std::nullopt;
}

} // namespace

bool isFieldLine(std::string_view Line) {
  size_t Colon = Line.find(':');
  return Colon != std::string_view::npos && isToken(Line.substr(0, Colon)) &&
         std::all_of(Line.begin() + static_cast<std::ptrdiff_t>(Colon),
                     Line.end(), isFieldValueChar);
}

bool isHost(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return absl::ascii_isalnum(static_cast<unsigned char>(C)) ||
           std::string_view("-._~%!$&'()*+;=:[]").find(C) !=
               std::string_view::npos;
  });
}

FramingResult readRequestFraming(std::string_view Head) {
  size_t End = std::min(Head.find(LineEnd), Head.size());
  std::string_view Line = Head.substr(0, End);
  size_t First = Line.find(' ');
  size_t Last = Line.rfind(' ');
  if (First == std::string_view::npos || First == Last ||
      !isToken(Line.substr(0, First)))
    return FramingError{BadRequest, "request line"};
  std::string_view Method = Line.substr(0, First);
  std::string_view Version = Line.substr(Last + 1);
  std::optional<unsigned> Minor = parseVersion(Version);
  if (!Minor)
    return FramingError{
        isOtherVersion(Version) ? VersionNotSupported : BadRequest, "version"};
  if (std::optional<FramingError> Error =
          checkTarget(Method, Line.substr(First + 1, Last - First - 1)))
    return *Error;
  std::optional<FramingFields> Fields =
      parseFields(Head.substr(std::min(End + LineEnd.size(), Head.size())));
  if (!Fields)
    return FramingError{BadRequest, "header field"};
  if (std::optional<FramingError> Error = checkHosts(*Fields, *Minor))
    return *Error;
  FramingResult Result = readBodyEnd(*Fields, *Minor);
  if (auto *Framing = std::get_if<MessageFraming>(&Result)) {
    if (Method == "TRACE" && Framing->End_ != BodyEnd::None)
      return FramingError{BadRequest, "TRACE with a body"};
    Framing->IsContinueExpected_ =
        *Minor > 0 && Framing->End_ != BodyEnd::None &&
        std::any_of(Fields->Expects_.begin(), Fields->Expects_.end(),
                    [](std::string_view Value) {
                      return absl::EqualsIgnoreCase(toAbsl(Value),
                                                    "100-continue");
                    });
  }
  return Result;
}

FramingResult readResponseFraming(std::string_view Head, bool IsToHead) {
  constexpr size_t VersionSize = 8;
  constexpr size_t StatusSize = 3;
  constexpr size_t ReasonAt = VersionSize + 1 + StatusSize;
  constexpr unsigned BadGateway = 502;
  constexpr unsigned SwitchingProtocols = 101;
  constexpr unsigned FirstInterim = 100;
  constexpr unsigned FirstFinal = 200;
  constexpr unsigned LastStatus = 599; // RFC 9110, section 15.
  constexpr unsigned NoContent = 204;
  constexpr unsigned NotModified = 304;
  size_t End = std::min(Head.find(LineEnd), Head.size());
  std::string_view Line = Head.substr(0, End);
  std::optional<unsigned> Minor = parseVersion(Line.substr(0, VersionSize));
  if (!Minor || Line.size() < ReasonAt || Line[VersionSize] != ' ' ||
      !isNumber(Line.substr(VersionSize + 1, StatusSize)) ||
      (Line.size() > ReasonAt && Line[ReasonAt] != ' ') ||
      !std::all_of(Line.begin(), Line.end(), isFieldValueChar))
    return FramingError{BadGateway, "status line"};
  unsigned Status = 0;
  std::from_chars(Line.data() + VersionSize + 1, Line.data() + ReasonAt,
                  Status);
  // Upgrade isn't forwarded, so no server may accept one.
  if (Status < FirstInterim || Status > LastStatus ||
      Status == SwitchingProtocols)
    return FramingError{BadGateway, "status"};
  std::optional<FramingFields> Fields =
      parseFields(Head.substr(std::min(End + LineEnd.size(), Head.size())));
  if (!Fields)
    return FramingError{BadGateway, "header field"};
  FramingResult Result = readBodyEnd(*Fields, *Minor);
  auto *Framing = std::get_if<MessageFraming>(&Result);
  if (!Framing)
    return FramingError{BadGateway, std::get<FramingError>(Result).Text_};
  if (IsToHead || Status < FirstFinal || Status == NoContent ||
      Status == NotModified) {
    Framing->End_ = BodyEnd::None;
  } else if (Framing->End_ == BodyEnd::None) {
    Framing->End_ = BodyEnd::Close;
    Framing->IsKeepAlive_ = false;
  }
  return Result;
}

} // namespace cranberry
