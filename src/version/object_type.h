/// \file object_type.h Versioned objects of the platform's resource API.
#ifndef CRANBERRY_VERSION_OBJECT_TYPE_H
#define CRANBERRY_VERSION_OBJECT_TYPE_H

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace cranberry {

/// Kinds of objects stored on the platform.
enum class ObjectKind : uint8_t {
  Region,  ///< Group of availability zones.
  Zone,    ///< Availability zone.
  Service, ///< Service that clients send requests to.
  Pool,    ///< Backend servers of one service in one availability zone.
  Link,    ///< Network link from one region to another.
  Limit,   ///< Limit on concurrent requests of a service in a region.
  Blocks,  ///< Client blocks and their home zones.
  Drain,   ///< Excludes a backend server or entry VM from new requests.
  Status,  ///< Status report of the system; read-only for operators.
};

/// Position in the platform-wide order of writes; 0 precedes the first write.
using Revision = uint64_t;

/// Identifies an object by kind and name.
struct ObjectId {
  ObjectKind Kind_ = ObjectKind::Region; ///< Kind of the object.
  std::string Name_;                     ///< Name, unique within its kind.

  friend bool operator==(const ObjectId &, const ObjectId &) = default;
  friend bool operator<(const ObjectId &A, const ObjectId &B) {
    return std::tie(A.Kind_, A.Name_) < std::tie(B.Kind_, B.Name_);
  }
};

/// One version of one object.
struct Object {
  ObjectId Id_;            ///< Kind and name.
  Revision Revision_ = 0;  ///< Revision of the write that created it.
  bool IsDeleted_ = false; ///< Whether the write deleted the object.
  std::string Body_;       ///< JSON text; empty if deleted.
};

/// All changes after one revision, up to and including another.
struct ObjectChanges {
  Revision EndRevision_ = 0;    ///< Revision after all changes are applied.
  std::vector<Object> Objects_; ///< Changed objects, in any order.
};

} // namespace cranberry

#endif
