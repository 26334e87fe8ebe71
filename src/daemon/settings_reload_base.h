/// \file settings_reload_base.h Settings that change while a process runs.
#ifndef CRANBERRY_DAEMON_SETTINGS_RELOAD_BASE_H
#define CRANBERRY_DAEMON_SETTINGS_RELOAD_BASE_H

#include "core/result_type.h"
#include "daemon/settings_type.h"

#include <string>
#include <vector>

namespace cranberry {

/// What a changed settings file brought.
struct SettingsChange {
  std::vector<Reason> Faults_;           ///< Why nothing was taken, if so.
  std::vector<std::string> Applied_;     ///< Keys with a new value.
  std::vector<std::string> NeedRestart_; ///< Keys that keep the old one.
};

/// Takes over the keys of \p Next that may change at run time.
SettingsChange applyReloadable(Settings &Current, const Settings &Next);

/// A settings file that may change with or without a signal. Reading it costs
/// some 50 us, so that the file's text is compared and not its times, which two
/// changes within a tick of the clock share.
class SettingsFile {
public:
  /// \param Path The file that the process was started with.
  explicit SettingsFile(std::string Path);

  /// Takes over what the file has changed to since the last call.
  /// \return Nothing but empty lists if it has not changed. A faulty file is
  /// told once and changes nothing.
  SettingsChange applyChanges(Settings &Current);

private:
  std::string Path_; ///< Path.
  std::string Text_; ///< What was read last.
};

} // namespace cranberry

#endif
