/// \file settings_reload_base.h Reloads settings at run time.
#ifndef CRANBERRY_DAEMON_SETTINGS_RELOAD_BASE_H
#define CRANBERRY_DAEMON_SETTINGS_RELOAD_BASE_H

#include "core/result_type.h"
#include "daemon/settings_type.h"

#include <string>
#include <vector>

namespace cranberry {

/// Result of reloading a settings file.
struct SettingsChange {
  std::vector<Reason> Faults_;       ///< Errors; if any, nothing was applied.
  std::vector<std::string> Applied_; ///< Keys whose new value was applied.
  std::vector<std::string> NeedRestart_; ///< Keys unchanged until a restart.
};

/// Applies the changed keys of \p Next that may change at run time.
SettingsChange applyReloadable(Settings &Current, const Settings &Next);

/// Detects changes of a settings file, with or without a signal. The content is
/// compared, because two changes within one clock tick have the same
/// modification time. Reading the file takes about 50 us.
class SettingsFile {
public:
  /// \param Path Settings file that the process was started with.
  explicit SettingsFile(std::string Path);

  /// Applies the changes of the file since the last call.
  /// \return Empty lists if the file has not changed. The errors of an invalid
  /// file are returned once, and none of its values are applied.
  SettingsChange applyChanges(Settings &Current);

private:
  std::string Path_; ///< Path of the file.
  std::string Text_; ///< Content at the last read.
};

} // namespace cranberry

#endif
