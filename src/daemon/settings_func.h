/// \file settings_func.h Reading and checking the settings file.
#ifndef CRANBERRY_DAEMON_SETTINGS_FUNC_H
#define CRANBERRY_DAEMON_SETTINGS_FUNC_H

#include "core/result_type.h"
#include "daemon/settings_type.h"

#include <optional>
#include <string>

namespace cranberry {

/// Checks settings as a whole before anything starts.
/// \param Text JSON text.
/// \param[out] Why Code, key and text when the result is empty.
std::optional<Settings> parseSettings(const std::string &Text, Reason &Why);

/// Reads and checks a settings file.
std::optional<Settings> readSettings(const std::string &Path, Reason &Why);

} // namespace cranberry

#endif
