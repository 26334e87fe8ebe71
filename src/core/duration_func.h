/// \file duration_func.h Parses and scales durations.
#ifndef CRANBERRY_CORE_DURATION_FUNC_H
#define CRANBERRY_CORE_DURATION_FUNC_H

#include "core/time_type.h"

#include <optional>
#include <string>

namespace cranberry {

/// Parses a non-negative number with the suffix "ms" or "s", such as "1500ms"
/// or "2.5s".
/// \return The duration, or std::nullopt if \p Text has another form or
/// the time exceeds 31 years.
std::optional<Duration> parseDuration(const std::string &Text);

/// \return \p Value multiplied by \p Factor, truncated to whole microseconds.
inline Duration scaleDuration(Duration Value, double Factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(Value.count()) * Factor));
}

} // namespace cranberry

#endif
