/// \file decision_log_func.h One structured log line for each decision.
#ifndef CRANBERRY_DAEMON_DECISION_LOG_FUNC_H
#define CRANBERRY_DAEMON_DECISION_LOG_FUNC_H

#include "version/object_type.h"

#include <string_view>

namespace cranberry {

/// Writes a line for a routing or placement decision. None is left out.
/// \param Kind What was decided, such as "route" or "owner".
/// \param Id Request id, or the thing that was placed.
/// \param Service Service, or "-".
/// \param Choice What was chosen.
/// \param Why Reason.
/// \param Version Configuration in force.
void logDecision(std::string_view Kind, std::string_view Id,
                 std::string_view Service, std::string_view Choice,
                 std::string_view Why, Revision Version);

} // namespace cranberry

#endif
