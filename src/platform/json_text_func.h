/// \file json_text_func.h Reads JSON that others wrote, entry by entry.
#ifndef CRANBERRY_PLATFORM_JSON_TEXT_FUNC_H
#define CRANBERRY_PLATFORM_JSON_TEXT_FUNC_H

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberry::platform {

/// Maximum nesting of a value; copies and comparisons of values are recursive.
inline constexpr unsigned MaxJsonDepth = 64;

/// An entry of a list.
struct ListEntry {
  nlohmann::json Value_;  ///< Discarded if the entry can't be read.
  std::string_view Text_; ///< Bytes of an entry that can't be read.
};

/// A list with the object around it.
struct EntryList {
  nlohmann::json Envelope_;        ///< Object, with an empty list.
  std::vector<ListEntry> Entries_; ///< Entries in their order.
};

/// \return Whether a value has the form of an entry.
using EntryCheck = bool (*)(const nlohmann::json &Value);

/// Reads an object that has a list. Bytes of one entry that aren't JSON cost
/// that entry only: the next one is the first value from which on the rest of
/// the list can be read, or if there is none, the first entry.
/// \param Text Outlives the result.
/// \param ListName Name of the list.
/// \param IsEntry Used to find the next entry after one that can't be read.
/// \return The list, or nothing if the object around it can't be read.
std::optional<EntryList> readEntryList(std::string_view Text,
                                       std::string_view ListName,
                                       EntryCheck IsEntry);

/// \return The value; discarded if \p Text isn't JSON or is nested deeper than
/// MaxJsonDepth.
nlohmann::json parseForeignJson(std::string_view Text);

/// Finds a field of an object that can't be read as a whole.
/// \param Name Name of a field that the object's writer doesn't fill.
/// \param OtherName Name of the field with the content of its writer.
/// \return Bytes of the value; empty if it can't be told.
std::string_view findFieldText(std::string_view Text, std::string_view Name,
                               std::string_view OtherName);

/// As findFieldText().
/// \return The value; discarded if it can't be told.
nlohmann::json findField(std::string_view Text, std::string_view Name,
                         std::string_view OtherName);

/// Reads a string that may not be valid JSON. Bytes that aren't UTF-8 are kept,
/// and an unpaired surrogate becomes the three bytes of its code point.
/// \param Text Begins with the opening quote.
/// \return The bytes of the string, or nothing if it has no end.
std::optional<std::string> readStringBytes(std::string_view Text);

} // namespace cranberry::platform

#endif
