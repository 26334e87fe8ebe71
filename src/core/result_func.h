/// \file result_func.h Look-ups in the table of results.
#ifndef CRANBERRY_CORE_RESULT_FUNC_H
#define CRANBERRY_CORE_RESULT_FUNC_H

#include "core/result_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberry {

/// \return Name of \p Code as written in logs and JSON.
const char *getName(ResultCode Code);

/// \return One-line summary of \p Code.
const char *getSummary(ResultCode Code);

/// Classifies a result; the only place where that is decided.
/// \return What \p Code says of the request's effect.
Outcome getOutcome(ResultCode Code);

/// \return HTTP status that goes with \p Code.
int getHttpStatus(ResultCode Code);

/// \return Name of \p Value.
const char *getName(Outcome Value);

/// \return The code with number \p Number, or nothing if there is none.
std::optional<ResultCode> findResultCode(unsigned Number);

/// \return "312 deadline-before-start: field: text" for logs and terminals.
std::string formatReason(const Reason &Why);

} // namespace cranberry

#endif
