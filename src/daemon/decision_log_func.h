/// \file decision_log_func.h Logs routing and placement decisions.
#ifndef CRANBERRY_DAEMON_DECISION_LOG_FUNC_H
#define CRANBERRY_DAEMON_DECISION_LOG_FUNC_H

#include "version/object_type.h"

#include <string_view>

namespace cranberry {

/// Logs a routing or placement decision as one line of key=value pairs. These
/// lines are not rate limited.
/// \param Kind Kind of decision, such as "route" or "owner".
/// \param Id Id of the request, or name of the placed object.
/// \param Service Name of the service, or "-".
/// \param Choice Chosen target or action.
/// \param Why Reason for the choice.
/// \param Version Active configuration version.
void logDecision(std::string_view Kind, std::string_view Id,
                 std::string_view Service, std::string_view Choice,
                 std::string_view Why, Revision Version);

} // namespace cranberry

#endif
