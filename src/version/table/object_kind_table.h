/// \file object_kind_table.h Names and fields of each kind of object.
#ifndef CRANBERRY_VERSION_TABLE_OBJECT_KIND_TABLE_H
#define CRANBERRY_VERSION_TABLE_OBJECT_KIND_TABLE_H

#include "version/object_type.h"

#include <optional>

namespace cranberry {

/// Names of kinds, in the order of the enum.
inline constexpr const char *ObjectKindNames[] = {"region", "zone",  "service",
                                                  "pool",   "link",  "limit",
                                                  "blocks", "drain", "status"};

/// JSON type that a field must have.
enum class FieldType : uint8_t {
  Integer,    ///< Whole number within a range.
  Number,     ///< Number within a range.
  Text,       ///< String that is not empty.
  Reference,  ///< Name of another object.
  TextList,   ///< List of strings.
  ServerList, ///< List of "address:port" strings.
  BlockList,  ///< List of client blocks, each with a prefix and a zone.
};

/// One field of one kind.
struct FieldRow {
  ObjectKind Kind_;   ///< Kind that has the field.
  const char *Name_;  ///< Key in the JSON body.
  FieldType Type_;    ///< Type.
  bool IsRequired_;   ///< Whether it must be present.
  double Minimum_;    ///< Smallest number, or fewest entries of a list.
  double Maximum_;    ///< Largest number, or most entries of a list.
  ObjectKind Target_; ///< Kind that a reference names.
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
