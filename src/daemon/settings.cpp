/// \file settings.cpp Reads and validates the settings file.
#include "daemon/settings_func.h"

#include "core/duration_func.h"
#include "core/overload_type.h"
#include "daemon/table/settings_table.h"
#include "version/client_block_func.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <sstream>

using nlohmann::json;

namespace cranberry {

namespace {

/// \return Whether \p Text is "address:port". Port 0 lets the kernel choose
/// one.
bool isListenAddress(const std::string &Text) {
  constexpr unsigned MaxPort = 65535;
  size_t Colon = Text.find(':');
  if (Colon == std::string::npos || !parseIpv4(Text.substr(0, Colon)))
    return false;
  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  unsigned Port = 0;
  auto [End, Error] = std::from_chars(First, Last, Port);
  return Error == std::errc() && End == Last && Port <= MaxPort;
}

/// Validates the value of one key and stores it in the settings.
class FieldSetter {
public:
  FieldSetter(Settings &Target, const SettingsRow &Row, const json &Value,
              Reason &Why)
      : Target_(Target), Row_(Row), Value_(Value), Why_(Why) {}

  bool set() {
    return std::visit([this](auto Field) { return setField(Field); },
                      Row_.Field_);
  }

private:
  bool fail(ResultCode Code, const std::string &Text) {
    Why_ = {Code, Row_.Key_, Text};
    return false;
  }

  bool setField(std::string Settings::*Field) {
    if (!Value_.is_string() || Value_.get_ref<const std::string &>().empty())
      return fail(ResultCode::SettingsWrongType, "must be a non-empty string");
    std::string Text = Value_;
    if (Row_.IsAddress_ && !isListenAddress(Text))
      return fail(ResultCode::SettingsOutOfRange,
                  "must be an IPv4 address with a port");
    Target_.*Field = Text;
    return true;
  }

  bool setField(std::vector<std::string> Settings::*Field) {
    if (!Value_.is_array())
      return fail(ResultCode::SettingsWrongType, "must be a list of strings");
    for (const json &Entry : Value_) {
      if (!Entry.is_string())
        return fail(ResultCode::SettingsWrongType, "must be a list of strings");
      if (!isListenAddress(Entry))
        return fail(ResultCode::SettingsOutOfRange,
                    "each entry must be an IPv4 address with a port");
      (Target_.*Field).push_back(Entry);
    }
    return true;
  }

  bool setField(std::map<std::string, std::string> Settings::*Field) {
    if (!Value_.is_object())
      return fail(ResultCode::SettingsWrongType, "must be a table of strings");
    for (const auto &[Name, Entry] : Value_.items()) {
      if (!Entry.is_string())
        return fail(ResultCode::SettingsWrongType,
                    "must be a table of strings");
      (Target_.*Field)[Name] = Entry;
    }
    return true;
  }

  bool setField(bool Settings::*Field) {
    if (!Value_.is_boolean())
      return fail(ResultCode::SettingsWrongType, "must be true or false");
    Target_.*Field = Value_;
    return true;
  }

  bool setField(double Settings::*Field) {
    if (!Value_.is_number())
      return fail(ResultCode::SettingsWrongType, "must be a number");
    auto Number = Value_.get<double>();
    if (Number < static_cast<double>(Row_.Minimum_) ||
        Number > static_cast<double>(Row_.Maximum_))
      return failRange();
    Target_.*Field = Number;
    return true;
  }

  bool failRange() {
    return fail(ResultCode::SettingsOutOfRange,
                "must be from " + std::to_string(Row_.Minimum_) + " to " +
                    std::to_string(Row_.Maximum_));
  }

  std::optional<int64_t> readNumber() {
    if (!Value_.is_number_integer()) {
      fail(ResultCode::SettingsWrongType, "must be an integer");
      return std::nullopt;
    }
    auto Number = Value_.get<int64_t>();
    if (Number >= Row_.Minimum_ && Number <= Row_.Maximum_)
      return Number;
    failRange();
    return std::nullopt;
  }

  bool setField(unsigned Settings::*Field) {
    std::optional<int64_t> Number = readNumber();
    if (Number)
      Target_.*Field = static_cast<unsigned>(*Number);
    return Number.has_value();
  }

  /// Accepts an integer in milliseconds, or a string such as "1500ms" or
  /// "2.5s".
  bool setField(Duration Settings::*Field) {
    if (Value_.is_string()) {
      std::optional<Duration> Value = parseDuration(Value_);
      if (!Value)
        return fail(ResultCode::SettingsWrongType, "must be a duration");
      int64_t Count = toMilliseconds(*Value);
      if (Count < Row_.Minimum_ || Count > Row_.Maximum_)
        return failRange();
      Target_.*Field = *Value;
      return true;
    }
    std::optional<int64_t> Number = readNumber();
    if (Number)
      Target_.*Field = milliseconds(*Number);
    return Number.has_value();
  }

  Settings &Target_;       ///< Settings to write to.
  const SettingsRow &Row_; ///< Row of the key.
  const json &Value_;      ///< Value of the key.
  Reason &Why_;            ///< Receives the error.
};

const SettingsRow *findRow(const std::string &Key) {
  for (const SettingsRow &Row : SettingsTable)
    if (Row.Key_ == Key)
      return &Row;
  return nullptr;
}

} // namespace

std::optional<Settings> parseSettings(const std::string &Text,
                                      std::vector<Reason> &Faults) {
  Faults.clear();
  json Root;
  try {
    Root = json::parse(Text);
  } catch (const json::exception &Error) { // A number may be out of range.
    Faults.push_back({ResultCode::SettingsNotJson, "", Error.what()});
    return std::nullopt;
  }
  if (!Root.is_object()) {
    Faults.push_back({ResultCode::SettingsNotJson, "", "not an object"});
    return std::nullopt;
  }
  Settings Result;
  for (const auto &[Key, Value] : Root.items()) {
    const SettingsRow *Row = findRow(Key);
    Reason Why;
    if (!Row)
      Faults.push_back({ResultCode::SettingsUnknownKey, Key, ""});
    else if (!FieldSetter(Result, *Row, Value, Why).set())
      Faults.push_back(Why);
  }
  for (const SettingsRow &Row : SettingsTable)
    if (Row.IsRequired_ && !Root.contains(Row.Key_))
      Faults.push_back({ResultCode::SettingsMissingKey, Row.Key_, ""});
  if (!Faults.empty())
    return std::nullopt;
  return Result;
}

std::optional<std::string> readSettingsText(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::optional<Settings> readSettings(const std::string &Path,
                                     std::vector<Reason> &Faults) {
  if (std::optional<std::string> Text = readSettingsText(Path))
    return parseSettings(*Text, Faults);
  Faults = {{ResultCode::SettingsFileMissing, "", Path}};
  return std::nullopt;
}

} // namespace cranberry
