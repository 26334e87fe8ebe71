/// \file object_func.h Names and validation of objects.
#ifndef CRANBERRY_VERSION_OBJECT_FUNC_H
#define CRANBERRY_VERSION_OBJECT_FUNC_H

#include "core/result_type.h"
#include "version/object_type.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <optional>
#include <string_view>

namespace cranberry {

/// Largest body that is written to the platform, in bytes.
inline constexpr size_t MaxObjectBytes = 1000000;

/// \return Name of \p Kind in paths and JSON.
const char *getName(ObjectKind Kind);

/// \return The kind called \p Name, or nothing.
std::optional<ObjectKind> findObjectKind(std::string_view Name);

/// Tells whether an object exists.
using ObjectExists = std::function<bool(const ObjectId &)>;

/// Checks a body that an operator wants to write.
/// \param Id Kind and name.
/// \param Body JSON text as received.
/// \param Exists Looks up references.
/// \param[out] Why Code, field and text when the result is empty.
/// \return The parsed body, or nothing.
std::optional<nlohmann::json> parseObject(const ObjectId &Id,
                                          std::string_view Body,
                                          const ObjectExists &Exists,
                                          Reason &Why);

/// Lists the objects that \p Body of kind \p Kind refers to.
std::vector<ObjectId> getReferences(ObjectKind Kind,
                                    const nlohmann::json &Body);

/// \return Whether \p Name may be used for an object: 1 to 128 of letters,
/// digits, dot, dash, underscore and colon.
bool isValidObjectName(std::string_view Name);

/// Splits "address:port".
/// \return Whether \p Text is an IPv4 address with a port of 1 to 65535.
bool isServerAddress(std::string_view Text);

} // namespace cranberry

#endif
