/// \file object_func.h Validates the names and bodies of objects.
#ifndef CRANBERRY_VERSION_OBJECT_FUNC_H
#define CRANBERRY_VERSION_OBJECT_FUNC_H

#include "core/result_type.h"
#include "version/object_type.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <optional>
#include <string_view>

namespace cranberry {

/// Maximum body size of an object, in bytes; larger ones are not written to the
/// platform.
inline constexpr size_t MaxObjectBytes = 1000000;

/// \return Name of \p Kind in URL paths and JSON.
const char *getName(ObjectKind Kind);

/// \return The kind with name \p Name, or std::nullopt if there is none.
std::optional<ObjectKind> findObjectKind(std::string_view Name);

/// Callback that returns whether an object exists.
using ObjectExists = std::function<bool(const ObjectId &)>;

/// Parses and validates the body of an object.
/// \param Id Kind and name of the object.
/// \param Body JSON text as received.
/// \param Exists Resolves references to other objects.
/// \param[out] Why Cause of the failure if the result is empty.
/// \return The parsed body, or std::nullopt if the name or the body is invalid.
std::optional<nlohmann::json> parseObject(const ObjectId &Id,
                                          std::string_view Body,
                                          const ObjectExists &Exists,
                                          Reason &Why);

/// \return Objects that a \p Body of kind \p Kind refers to; may hold
/// duplicates.
std::vector<ObjectId> getReferences(ObjectKind Kind,
                                    const nlohmann::json &Body);

/// \return Whether \p Name is allowed for an object: 1 to 128 letters, digits,
/// dots, dashes, underscores and colons.
bool isValidObjectName(std::string_view Name);

/// \return Whether \p Text is "address:port" with an IPv4 address and a port
/// from 1 to 65535.
bool isServerAddress(std::string_view Text);

} // namespace cranberry

#endif
