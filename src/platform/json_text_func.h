/// \file json_text_func.h Prepares JSON that others wrote for the parser.
#ifndef CRANBERRY_PLATFORM_JSON_TEXT_FUNC_H
#define CRANBERRY_PLATFORM_JSON_TEXT_FUNC_H

#include <nlohmann/json.hpp>

#include <string>

namespace cranberry::platform {

/// Maximum nesting of a value; copies and comparisons of values are recursive.
inline constexpr unsigned MaxJsonDepth = 64;

/// Replaces what makes the parser refuse the whole text or is unsafe
/// afterwards, so that one odd entry of a list costs that entry only: bytes
/// that aren't printable ASCII, half surrogate pairs, numbers beyond the range
/// of double, and values nested deeper than MaxJsonDepth. Such numbers and
/// values become strings, so that a field of them has the wrong type.
std::string makeParsable(std::string Text);

/// \return The parsed value; discarded if \p Text is not JSON.
nlohmann::json parseForeignJson(std::string Text);

} // namespace cranberry::platform

#endif
