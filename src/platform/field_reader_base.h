/// \file field_reader_base.h Reads fields of JSON objects that others wrote.
#ifndef CRANBERRY_PLATFORM_FIELD_READER_BASE_H
#define CRANBERRY_PLATFORM_FIELD_READER_BASE_H

#include "core/duration_func.h"
#include "core/result_type.h"
#include "version/object_type.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <string>

namespace cranberry::platform {

/// Reads fields of one JSON object and records the first error.
class FieldReader {
public:
  FieldReader(const nlohmann::json &Object, Reason &Why)
      : Object_(Object), Why_(Why) {
    if (!Object.is_object())
      reportError("", "not an object");
  }

  std::string getString(const char *Name) {
    const nlohmann::json *Value = find(Name);
    if (Value && Value->is_string())
      return Value->get<std::string>();
    reportError(Name, "not a string");
    return {};
  }

  double getNumber(const char *Name) {
    const nlohmann::json *Value = find(Name);
    if (Value && Value->is_number())
      return Value->get<double>();
    reportError(Name, "not a number");
    return 0;
  }

  unsigned getCount(const char *Name) {
    const nlohmann::json *Value = find(Name);
    constexpr int64_t Most = std::numeric_limits<int32_t>::max();
    // An unsigned value above the range of int64_t is negative here.
    if (Value && Value->is_number_integer() && Value->get<int64_t>() >= 0 &&
        Value->get<int64_t>() <= Most)
      return Value->get<unsigned>();
    reportError(Name, "not an integer from 0 to 2147483647");
    return 0;
  }

  /// \return The whole number, limited to those that a double can hold.
  int64_t getInteger(const char *Name) {
    constexpr double Most = 9007199254740992; // 2^53
    return static_cast<int64_t>(std::clamp(getNumber(Name), -Most, Most));
  }

  /// \return The revision, which is never negative.
  Revision getRevision(const char *Name) {
    return static_cast<Revision>(std::max<int64_t>(getInteger(Name), 0));
  }

  bool getBool(const char *Name) {
    const nlohmann::json *Value = find(Name);
    if (Value && Value->is_boolean())
      return Value->get<bool>();
    reportError(Name, "not a boolean");
    return false;
  }

  Duration getDuration(const char *Name) {
    std::optional<Duration> Value = parseDuration(getString(Name));
    if (!Value)
      reportError(Name, "not a duration");
    return Value.value_or(Duration(0));
  }

  /// \return The array, or an empty one on error.
  const nlohmann::json &getList(const char *Name) {
    static const nlohmann::json Empty = nlohmann::json::array();
    const nlohmann::json *Value = find(Name);
    if (Value && Value->is_array())
      return *Value;
    reportError(Name, "not an array");
    return Empty;
  }

  /// \return Whether the field is an array.
  bool checkList(const char *Name) {
    getList(Name);
    return IsValid_;
  }

  bool has(const char *Name) const {
    auto Found = Object_.is_object() ? Object_.find(Name) : Object_.end();
    return Object_.is_object() && Found != Object_.end() && !Found->is_null();
  }

  void reportError(const std::string &Name, const char *Text) {
    if (IsValid_)
      Why_ = {ResultCode::ObjectWrongType, Name, Text};
    IsValid_ = false;
  }

  bool isValid() const { return IsValid_; }

private:
  const nlohmann::json *find(const char *Name) const {
    if (!Object_.is_object())
      return nullptr;
    auto Found = Object_.find(Name);
    return Found == Object_.end() ? nullptr : &*Found;
  }

  const nlohmann::json &Object_; ///< Object that is read.
  Reason &Why_;                  ///< Receives the first error.
  bool IsValid_ = true;          ///< Whether no error occurred so far.
};

} // namespace cranberry::platform

#endif
