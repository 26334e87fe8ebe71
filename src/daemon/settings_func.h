/// \file settings_func.h Reads and validates the settings file.
#ifndef CRANBERRY_DAEMON_SETTINGS_FUNC_H
#define CRANBERRY_DAEMON_SETTINGS_FUNC_H

#include "core/result_type.h"
#include "daemon/settings_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Parses and validates settings.
/// \param Text JSON text.
/// \param[out] Faults All errors with code, key and text, if the result is
/// empty.
std::optional<Settings> parseSettings(const std::string &Text,
                                      std::vector<Reason> &Faults);

/// Reads and validates a settings file.
/// \param[out] Faults Errors of parseSettings(), or that the file can't be
/// read.
std::optional<Settings> readSettings(const std::string &Path,
                                     std::vector<Reason> &Faults);

/// \return Content of a file, or nothing if it can't be read.
std::optional<std::string> readSettingsText(const std::string &Path);

} // namespace cranberry

#endif
