/// \file settings_func.h Reading and checking the settings file.
#ifndef CRANBERRY_DAEMON_SETTINGS_FUNC_H
#define CRANBERRY_DAEMON_SETTINGS_FUNC_H

#include "core/result_type.h"
#include "daemon/settings_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Checks settings as a whole before anything starts.
/// \param Text JSON text.
/// \param[out] Faults Code, key and text of all faults when the result is
/// empty.
std::optional<Settings> parseSettings(const std::string &Text,
                                      std::vector<Reason> &Faults);

/// Reads and checks a settings file.
/// \param[out] Faults As for parseSettings(), or that the file can't be read.
std::optional<Settings> readSettings(const std::string &Path,
                                     std::vector<Reason> &Faults);

/// \return A file's text, or nothing if it can't be read.
std::optional<std::string> readSettingsText(const std::string &Path);

} // namespace cranberry

#endif
