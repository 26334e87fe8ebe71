/// \file duration.cpp Parses durations from text.
#include "core/duration_func.h"

#include <absl/strings/numbers.h>

namespace cranberry {

std::optional<Duration> parseDuration(const std::string &Text) {
  size_t Digits = Text.find_first_not_of("0123456789.");
  if (Digits == std::string::npos || Digits == 0)
    return std::nullopt;
  std::string Suffix = Text.substr(Digits);
  constexpr double Millisecond = 1000; // Microseconds per millisecond.
  double Unit = 0;
  if (Suffix == "ms")
    Unit = Millisecond;
  else if (Suffix == "s")
    Unit = Millisecond * Millisecond;
  double Value = 0;
  if (Unit == 0 || !absl::SimpleAtod(Text.substr(0, Digits), &Value))
    return std::nullopt;
  constexpr double Most = 1e15; // 31 years.
  if (Value * Unit > Most)
    return std::nullopt;
  return Duration(static_cast<int64_t>(Value * Unit));
}

} // namespace cranberry
