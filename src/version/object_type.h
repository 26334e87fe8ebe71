/// \file object_type.h Versioned objects of the resource API.
#ifndef CRANBERRY_VERSION_OBJECT_TYPE_H
#define CRANBERRY_VERSION_OBJECT_TYPE_H

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace cranberry {

/// Kinds of objects that the platform holds for us.
enum class ObjectKind : uint8_t {
  Region,  ///< A group of availability zones.
  Zone,    ///< An availability zone.
  Service, ///< What callers ask for.
  Pool,    ///< Backend servers of one service in one availability zone.
  Link,    ///< One direction between two regions.
  Limit,   ///< Most concurrent requests of a service in a region.
  Blocks,  ///< Part of the table of client blocks.
  Drain,   ///< A backend server or entry VM that is to get no new work.
  Status,  ///< What the system has done; operators only read it.
};

/// Platform-wide order of all writes; 0 means "none yet".
using Revision = uint64_t;

/// Identifies an object.
struct ObjectId {
  ObjectKind Kind_ = ObjectKind::Region; ///< Kind.
  std::string Name_;                     ///< Name, unique within the kind.

  friend bool operator==(const ObjectId &, const ObjectId &) = default;
  friend bool operator<(const ObjectId &A, const ObjectId &B) {
    return std::tie(A.Kind_, A.Name_) < std::tie(B.Kind_, B.Name_);
  }
};

/// One version of one object.
struct Object {
  ObjectId Id_;            ///< Kind and name.
  Revision Revision_ = 0;  ///< Platform's revision of this version.
  bool IsDeleted_ = false; ///< Whether this version is a deletion.
  std::string Body_;       ///< JSON text; empty when deleted.
};

/// Consecutive changes: everything after a revision, up to another.
struct ObjectChanges {
  Revision EndRevision_ = 0;    ///< Revision reached when all are applied.
  std::vector<Object> Objects_; ///< In any order.
};

} // namespace cranberry

#endif
