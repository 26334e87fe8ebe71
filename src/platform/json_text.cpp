/// \file json_text.cpp Prepares JSON that others wrote for the parser.
#include "platform/json_text_func.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <optional>
#include <string_view>

namespace cranberry::platform {

namespace {

/// Shorter numbers are in the range of double: "1e309" is the shortest that
/// isn't.
constexpr size_t MinOverflowLength = 5;

/// Length of an escaped code unit, such as "\u00e9".
constexpr size_t UnitLength = 6;

/// Rewrites a text in place; all replacements have the length of the original.
class JsonRewriter {
public:
  explicit JsonRewriter(std::string &Text) : Text_(Text) {}

  void rewrite() {
    while (At_ < Text_.size())
      rewriteNext();
    if (Depth_ > MaxJsonDepth)
      blank(DeepFrom_, Text_.size());
  }

private:
  void rewriteNext() {
    char C = Text_[At_];
    if (C == '"') {
      rewriteString();
    } else if (C == '[' || C == '{') {
      if (++Depth_ == MaxJsonDepth + 1)
        DeepFrom_ = At_;
      ++At_;
    } else if (C == ']' || C == '}') {
      ++At_;
      if (Depth_ > 0 && Depth_-- == MaxJsonDepth + 1)
        blank(DeepFrom_, At_);
    } else if (C == '-' || isDigit(C)) {
      rewriteNumber();
    } else {
      if (!isPrintable(C) && C != '\n' && C != '\r' && C != '\t')
        Text_[At_] = ' ';
      ++At_;
    }
  }

  static bool isDigit(char C) { return C >= '0' && C <= '9'; }

  static bool isPrintable(char C) {
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char LastAscii = 0x7e;
    auto Byte = static_cast<unsigned char>(C);
    return Byte >= FirstPrintable && Byte <= LastAscii;
  }

  /// Writes an empty string and spaces; deep values have at least two bytes.
  void blank(size_t From, size_t To) {
    std::fill(Text_.begin() + static_cast<std::ptrdiff_t>(From),
              Text_.begin() + static_cast<std::ptrdiff_t>(To), ' ');
    if (To - From < 2)
      return;
    Text_[From] = '"';
    Text_[From + 1] = '"';
  }

  void rewriteNumber() {
    size_t From = At_;
    while (At_ < Text_.size() &&
           (isDigit(Text_[At_]) || std::string_view("+-.eE").find(Text_[At_]) !=
                                       std::string_view::npos))
      ++At_;
    if (At_ - From < MinOverflowLength)
      return;
    std::string Number = Text_.substr(From, At_ - From);
    if (!std::isfinite(std::strtod(Number.c_str(), nullptr)))
      blank(From, At_);
  }

  /// \return The code unit escaped at \p From, or nothing.
  std::optional<unsigned> getUnit(size_t From) const {
    constexpr int Hexadecimal = 16;
    constexpr size_t PrefixLength = 2;
    if (From + UnitLength > Text_.size() || Text_[From] != '\\' ||
        Text_[From + 1] != 'u')
      return std::nullopt;
    std::string Digits =
        Text_.substr(From + PrefixLength, UnitLength - PrefixLength);
    char *End = nullptr;
    auto Unit =
        static_cast<unsigned>(std::strtoul(Digits.c_str(), &End, Hexadecimal));
    return End == Digits.c_str() + Digits.size() ? std::optional(Unit)
                                                 : std::nullopt;
  }

  void rewriteEscape() {
    constexpr unsigned FirstHigh = 0xd800;
    constexpr unsigned FirstLow = 0xdc00;
    constexpr unsigned AfterLow = 0xe000;
    std::optional<unsigned> Unit = getUnit(At_);
    if (!Unit || *Unit < FirstHigh || *Unit >= AfterLow) {
      At_ += 2;
      return;
    }
    std::optional<unsigned> Next = getUnit(At_ + UnitLength);
    bool IsPair =
        *Unit < FirstLow && Next && *Next >= FirstLow && *Next < AfterLow;
    if (IsPair) {
      At_ += 2 * UnitLength;
      return;
    }
    std::fill_n(Text_.begin() + static_cast<std::ptrdiff_t>(At_), UnitLength,
                '?');
    At_ += UnitLength;
  }

  void rewriteString() {
    ++At_;
    while (At_ < Text_.size() && Text_[At_] != '"') {
      if (Text_[At_] == '\\') {
        rewriteEscape();
        continue;
      }
      if (!isPrintable(Text_[At_]))
        Text_[At_] = '?';
      ++At_;
    }
    ++At_;
  }

  std::string &Text_;   ///< Text that is rewritten.
  size_t At_ = 0;       ///< Position of the next byte.
  unsigned Depth_ = 0;  ///< Open arrays and objects.
  size_t DeepFrom_ = 0; ///< Start of the value that is nested too deep.
};

} // namespace

std::string makeParsable(std::string Text) {
  JsonRewriter(Text).rewrite();
  return Text;
}

nlohmann::json parseForeignJson(std::string Text) {
  return nlohmann::json::parse(makeParsable(std::move(Text)), nullptr, false);
}

} // namespace cranberry::platform
