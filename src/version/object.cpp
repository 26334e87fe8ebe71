/// \file object.cpp Validates the names and bodies of objects.
#include "version/object_func.h"

#include "version/client_block_func.h"
#include "version/table/object_kind_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

using nlohmann::json;

namespace cranberry {

namespace {

/// Sets \p Why. The return value lets a caller fail in one statement.
std::nullopt_t fail(Reason &Why, ResultCode Code, std::string Field,
                    std::string Text) {
  Why = Reason{Code, std::move(Field), std::move(Text)};
  return std::nullopt;
}

const FieldRow *findField(ObjectKind Kind, std::string_view Name) {
  for (const FieldRow &Row : FieldTable)
    if (Row.Kind_ == Kind && Row.Name_ == Name)
      return &Row;
  return nullptr;
}

std::string describeRange(const FieldRow &Row) {
  json Minimum = Row.Minimum_;
  json Maximum = Row.Maximum_;
  return "must be from " + Minimum.dump() + " to " + Maximum.dump();
}

bool isInRange(const FieldRow &Row, double Value) {
  return Value >= Row.Minimum_ && Value <= Row.Maximum_;
}

ResultCode checkNumber(const FieldRow &Row, const json &Value, Reason &Why) {
  bool TypeFits = Row.Type_ == FieldType::Integer ? Value.is_number_integer()
                                                  : Value.is_number();
  if (!TypeFits) {
    fail(Why, ResultCode::ObjectWrongType, Row.Name_, "must be a number");
    return Why.Code_;
  }
  if (!isInRange(Row, Value.get<double>()))
    fail(Why, ResultCode::ObjectOutOfRange, Row.Name_, describeRange(Row));
  return Why.Code_;
}

ResultCode checkText(const FieldRow &Row, const json &Value,
                     const ObjectExists &Exists, Reason &Why) {
  if (!Value.is_string() || Value.get_ref<const std::string &>().empty()) {
    fail(Why, ResultCode::ObjectWrongType, Row.Name_,
         "must be a string that is not empty");
    return Why.Code_;
  }
  if (Row.Type_ != FieldType::Reference)
    return Why.Code_;
  ObjectId Target{Row.Target_, Value.get<std::string>()};
  if (!Exists(Target))
    fail(Why, ResultCode::ObjectDanglingReference, Row.Name_,
         std::string("no ") + getName(Target.Kind_) + " is called '" +
             Target.Name_ + "'");
  return Why.Code_;
}

ResultCode checkBlock(const std::string &Field, const json &Value,
                      const ObjectExists &Exists, Reason &Why) {
  if (!Value.is_object() || Value.size() != 2 || !Value.contains("prefix") ||
      !Value.contains("zone") || !Value["prefix"].is_string() ||
      !Value["zone"].is_string()) {
    fail(Why, ResultCode::ObjectWrongType, Field,
         "must be an object with the strings 'prefix' and 'zone'");
    return Why.Code_;
  }
  if (!parseClientBlock(Value["prefix"].get_ref<const std::string &>())) {
    fail(Why, ResultCode::ObjectOutOfRange, Field + ".prefix",
         "must be an IPv4 prefix such as 10.2.0.0/16 with no host bits set");
    return Why.Code_;
  }
  ObjectId Zone{ObjectKind::Zone, Value["zone"].get<std::string>()};
  if (!Exists(Zone))
    fail(Why, ResultCode::ObjectDanglingReference, Field + ".zone",
         "no zone is called '" + Zone.Name_ + "'");
  return Why.Code_;
}

ResultCode checkList(const FieldRow &Row, const json &Value,
                     const ObjectExists &Exists, Reason &Why) {
  if (!Value.is_array()) {
    fail(Why, ResultCode::ObjectWrongType, Row.Name_, "must be a list");
    return Why.Code_;
  }
  if (!isInRange(Row, static_cast<double>(Value.size()))) {
    fail(Why, ResultCode::ObjectOutOfRange, Row.Name_,
         "number of entries " + describeRange(Row));
    return Why.Code_;
  }
  for (size_t I = 0; I < Value.size() && Why.Code_ == ResultCode::Ok; ++I) {
    std::string Field = std::string(Row.Name_) + "[" + std::to_string(I) + "]";
    const json &Entry = Value[I];
    if (Row.Type_ == FieldType::BlockList)
      checkBlock(Field, Entry, Exists, Why);
    else if (!Entry.is_string())
      fail(Why, ResultCode::ObjectWrongType, Field, "must be a string");
    else if (Row.Type_ == FieldType::ServerList &&
             !isServerAddress(Entry.get_ref<const std::string &>()))
      fail(Why, ResultCode::ObjectOutOfRange, Field,
           "must be an IPv4 address with a port, such as 10.0.0.7:8080");
  }
  return Why.Code_;
}

ResultCode checkField(const FieldRow &Row, const json &Value,
                      const ObjectExists &Exists, Reason &Why) {
  switch (Row.Type_) {
  case FieldType::Integer:
  case FieldType::Number:
    return checkNumber(Row, Value, Why);
  case FieldType::Text:
  case FieldType::Reference:
    return checkText(Row, Value, Exists, Why);
  case FieldType::TextList:
  case FieldType::ServerList:
  case FieldType::BlockList:
    return checkList(Row, Value, Exists, Why);
  }
  return Why.Code_;
}

/// Checks rules that involve more than one field.
ResultCode checkFieldCombination(const ObjectId &Id, const json &Body,
                                 Reason &Why) {
  if (Id.Kind_ == ObjectKind::Drain &&
      Body.contains("server") == Body.contains("vm"))
    fail(Why, ResultCode::ObjectMissingField, "server",
         "a drain names either a server or a vm");
  if (Id.Kind_ == ObjectKind::Link && Body["from"] == Body["to"])
    fail(Why, ResultCode::ObjectOutOfRange, "to",
         "a link joins two different regions");
  return Why.Code_;
}

} // namespace

const char *getName(ObjectKind Kind) {
  return ObjectKindNames[static_cast<size_t>(Kind)];
}

std::optional<ObjectKind> findObjectKind(std::string_view Name) {
  for (size_t I = 0; I < std::size(ObjectKindNames); ++I)
    if (Name == ObjectKindNames[I])
      return static_cast<ObjectKind>(I);
  return std::nullopt;
}

bool isValidObjectName(std::string_view Name) {
  constexpr size_t MaxNameBytes = 128;
  if (Name.empty() || Name.size() > MaxNameBytes)
    return false;
  return std::all_of(Name.begin(), Name.end(), [](unsigned char C) {
    return std::isalnum(C) || C == '.' || C == '-' || C == '_' || C == ':';
  });
}

bool isServerAddress(std::string_view Text) {
  size_t Colon = Text.find(':');
  if (Colon == std::string_view::npos)
    return false;
  std::string_view Port = Text.substr(Colon + 1);
  unsigned Number = 0;
  auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Number);
  if (Error != std::errc() || End != Port.data() + Port.size())
    return false;
  constexpr unsigned MaxPort = 65535;
  return Number >= 1 && Number <= MaxPort &&
         parseIpv4(Text.substr(0, Colon)).has_value();
}

std::optional<json> parseObject(const ObjectId &Id, std::string_view Body,
                                const ObjectExists &Exists, Reason &Why) {
  Why = Reason{};
  if (!isValidObjectName(Id.Name_))
    return fail(Why, ResultCode::ObjectNameInvalid, "name", "");
  if (Body.size() > MaxObjectBytes)
    return fail(Why, ResultCode::ObjectTooLarge, "", "");
  json Parsed = json::parse(Body, nullptr, false);
  if (Parsed.is_discarded() || !Parsed.is_object())
    return fail(Why, ResultCode::ObjectNotJson, "", "");
  if (Id.Kind_ == ObjectKind::Status)
    return Parsed;
  for (const auto &[Key, Value] : Parsed.items()) {
    const FieldRow *Row = findField(Id.Kind_, Key);
    if (!Row)
      return fail(Why, ResultCode::ObjectUnknownField, Key, "");
    if (checkField(*Row, Value, Exists, Why) != ResultCode::Ok)
      return std::nullopt;
  }
  for (const FieldRow &Row : FieldTable)
    if (Row.Kind_ == Id.Kind_ && Row.IsRequired_ && !Parsed.contains(Row.Name_))
      return fail(Why, ResultCode::ObjectMissingField, Row.Name_, "");
  if (checkFieldCombination(Id, Parsed, Why) != ResultCode::Ok)
    return std::nullopt;
  return Parsed;
}

std::vector<ObjectId> getReferences(ObjectKind Kind, const json &Body) {
  std::vector<ObjectId> Result;
  for (const FieldRow &Row : FieldTable)
    if (Row.Kind_ == Kind && Row.Type_ == FieldType::Reference &&
        Body.contains(Row.Name_) && Body[Row.Name_].is_string())
      Result.push_back({Row.Target_, Body[Row.Name_].get<std::string>()});
  if (Kind != ObjectKind::Blocks || !Body.contains("blocks"))
    return Result;
  for (const json &Block : Body["blocks"])
    Result.push_back({ObjectKind::Zone, Block.value("zone", "")});
  return Result;
}

} // namespace cranberry
