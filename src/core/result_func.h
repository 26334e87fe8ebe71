/// \file result_func.h Looks up properties of result codes.
#ifndef CRANBERRY_CORE_RESULT_FUNC_H
#define CRANBERRY_CORE_RESULT_FUNC_H

#include "core/result_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberry {

/// \return Name of \p Code as it appears in logs and JSON.
const char *getName(ResultCode Code);

/// \return Default human-readable message for \p Code.
const char *getSummary(ResultCode Code);

/// Classifies a result code. Every component uses this classification, so that
/// the same code never has two outcomes.
/// \return Whether a request that ended with \p Code was executed.
Outcome getOutcome(ResultCode Code);

/// \return HTTP status of a response that carries \p Code.
int getHttpStatus(ResultCode Code);

/// \return Name of \p Value as it appears in logs and JSON.
const char *getName(Outcome Value);

/// \return The code with number \p Number, or std::nullopt if there is none.
std::optional<ResultCode> findResultCode(unsigned Number);

/// Formats a reason for logs and terminals.
/// \return "312 deadline-before-start: field: message". The field is omitted if
/// it is empty; an empty message is replaced by the summary of the code.
std::string formatReason(const Reason &Why);

} // namespace cranberry

#endif
