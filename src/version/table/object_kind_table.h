/// \file object_kind_table.h Names and body fields of the object kinds.
#ifndef CRANBERRY_VERSION_TABLE_OBJECT_KIND_TABLE_H
#define CRANBERRY_VERSION_TABLE_OBJECT_KIND_TABLE_H

#include "version/object_type.h"

#include <optional>

namespace cranberry {

/// Names of kinds, indexed by ObjectKind.
inline constexpr const char *ObjectKindNames[] = {"region", "zone",  "service",
                                                  "pool",   "link",  "limit",
                                                  "blocks", "drain", "status"};

/// JSON type and format of a field.
enum class FieldType : uint8_t {
  Integer,    ///< Integer within a range.
  Number,     ///< Number within a range.
  Text,       ///< Non-empty string.
  Reference,  ///< Name of another object.
  TextList,   ///< List of strings.
  ServerList, ///< List of "address:port" strings.
  BlockList,  ///< List of client blocks, each with a prefix and a zone.
};

/// Schema of one field of an object kind.
struct FieldRow {
  ObjectKind Kind_;   ///< Kind that has the field.
  const char *Name_;  ///< Key in the JSON body.
  FieldType Type_;    ///< Required JSON type.
  bool IsRequired_;   ///< Whether the field is mandatory.
  double Minimum_;    ///< Minimum value, or minimum length of a list.
  double Maximum_;    ///< Maximum value, or maximum length of a list.
  ObjectKind Target_; ///< Kind of the referenced object; else unused.
};

// clang-format off
inline constexpr FieldRow FieldTable[] = {
    {ObjectKind::Region, "headroom", FieldType::Number, false, 0.0, 0.9, ObjectKind::Region},
    {ObjectKind::Zone, "region", FieldType::Reference, true, 0, 0, ObjectKind::Region},
    {ObjectKind::Zone, "entryVms", FieldType::Integer, false, 1, 1000, ObjectKind::Region},
    {ObjectKind::Service, "repeatableMethods", FieldType::TextList, false, 0, 16, ObjectKind::Region},
    {ObjectKind::Service, "deadlineMs", FieldType::Integer, false, 1, 600000, ObjectKind::Region},
    {ObjectKind::Service, "maxQueue", FieldType::Integer, false, 0, 100000, ObjectKind::Region},
    {ObjectKind::Pool, "service", FieldType::Reference, true, 0, 0, ObjectKind::Service},
    {ObjectKind::Pool, "zone", FieldType::Reference, true, 0, 0, ObjectKind::Zone},
    {ObjectKind::Pool, "slots", FieldType::Integer, true, 1, 330, ObjectKind::Region},
    {ObjectKind::Pool, "servers", FieldType::ServerList, true, 0, 10000, ObjectKind::Region},
    {ObjectKind::Link, "from", FieldType::Reference, true, 0, 0, ObjectKind::Region},
    {ObjectKind::Link, "to", FieldType::Reference, true, 0, 0, ObjectKind::Region},
    {ObjectKind::Link, "capKbit", FieldType::Integer, true, 1, 1e9, ObjectKind::Region},
    {ObjectKind::Link, "latencyMs", FieldType::Integer, false, 0, 10000, ObjectKind::Region},
    {ObjectKind::Limit, "region", FieldType::Reference, true, 0, 0, ObjectKind::Region},
    {ObjectKind::Limit, "service", FieldType::Reference, true, 0, 0, ObjectKind::Service},
    {ObjectKind::Limit, "maxConcurrent", FieldType::Integer, true, 0, 1e6, ObjectKind::Region},
    {ObjectKind::Blocks, "blocks", FieldType::BlockList, true, 0, 4096, ObjectKind::Zone},
    {ObjectKind::Drain, "server", FieldType::Text, false, 0, 0, ObjectKind::Region},
    {ObjectKind::Drain, "vm", FieldType::Text, false, 0, 0, ObjectKind::Region},
};
// clang-format on

} // namespace cranberry

#endif
