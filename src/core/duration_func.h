/// \file duration_func.h Durations as text.
#ifndef CRANBERRY_CORE_DURATION_FUNC_H
#define CRANBERRY_CORE_DURATION_FUNC_H

#include "core/time_type.h"

#include <optional>
#include <string>

namespace cranberry {

/// \return The duration that text such as "1500ms" or "2.5s" tells, or nothing.
std::optional<Duration> parseDuration(const std::string &Text);

/// \return \p Value times \p Factor.
inline Duration scaleDuration(Duration Value, double Factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(Value.count()) * Factor));
}

} // namespace cranberry

#endif
