/// \file settings_reload.cpp Reloads settings at run time.
#include "daemon/settings_reload_base.h"

#include "daemon/settings_func.h"
#include "daemon/table/settings_table.h"

#include <utility>

namespace cranberry {

SettingsChange applyReloadable(Settings &Current, const Settings &Next) {
  SettingsChange Result;
  for (const SettingsRow &Row : SettingsTable)
    std::visit(
        [&](auto Field) {
          if (Current.*Field == Next.*Field)
            return;
          if (!Row.IsReloadable_) {
            Result.NeedRestart_.emplace_back(Row.Key_);
            return;
          }
          Current.*Field = Next.*Field;
          Result.Applied_.emplace_back(Row.Key_);
        },
        Row.Field_);
  return Result;
}

SettingsFile::SettingsFile(std::string Path) : Path_(std::move(Path)) {
  Text_ = readSettingsText(Path_).value_or("");
}

SettingsChange SettingsFile::applyChanges(Settings &Current) {
  std::optional<std::string> Text = readSettingsText(Path_);
  // A file that is being replaced may be missing; the next call reads it.
  if (!Text || *Text == Text_)
    return {};
  Text_ = *Text;
  SettingsChange Result;
  std::optional<Settings> Next = parseSettings(Text_, Result.Faults_);
  return Next ? applyReloadable(Current, *Next) : Result;
}

} // namespace cranberry
