/// \file http_target.cpp Parsing of HTTP request targets.
#include "net/http_target_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace cranberry {

namespace {

std::string decodeField(std::string Text) {
  std::replace(Text.begin(), Text.end(), '+', ' ');
  return decodePercent(Text);
}

} // namespace

std::string encodePercent(std::string_view Text) {
  constexpr char Digits[] = "0123456789ABCDEF";
  constexpr unsigned DigitBits = 4;
  constexpr unsigned DigitMask = 15;
  std::string Out;
  for (char C : Text) {
    auto Byte = static_cast<unsigned char>(C);
    if (absl::ascii_isalnum(Byte) ||
        std::string_view("-._~").find(C) != std::string_view::npos)
      Out += C;
    else
      Out += {'%', Digits[Byte >> DigitBits], Digits[Byte & DigitMask]};
  }
  return Out;
}

std::string decodePercent(std::string_view Text) {
  constexpr size_t EscapeLength = 3;
  constexpr int Hex = 16;
  std::string Out;
  while (!Text.empty()) {
    uint8_t Byte = 0;
    bool IsEscape = Text.front() == '%' && Text.size() >= EscapeLength;
    if (IsEscape) {
      const char *Digits = Text.data() + 1;
      auto [End, Error] = std::from_chars(Digits, Digits + 2, Byte, Hex);
      IsEscape = Error == std::errc() && End == Digits + 2;
    }
    Out += IsEscape ? static_cast<char>(Byte) : Text.front();
    Text.remove_prefix(IsEscape ? EscapeLength : 1);
  }
  return Out;
}

std::map<std::string, std::string> parseQuery(std::string_view Query) {
  std::map<std::string, std::string> Values;
  for (absl::string_view Part :
       absl::StrSplit(absl::string_view(Query.data(), Query.size()), '&',
                      absl::SkipEmpty())) {
    std::pair<std::string, std::string> Field =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    Values[decodeField(Field.first)] = decodeField(Field.second);
  }
  return Values;
}

} // namespace cranberry
