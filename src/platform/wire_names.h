/// \file wire_names.h Names, paths and kinds that the users' platform speaks.
#ifndef CRANBERRY_PLATFORM_WIRE_NAMES_H
#define CRANBERRY_PLATFORM_WIRE_NAMES_H

namespace cranberry::platform {

/// Header fields.
namespace header {
inline constexpr const char *AttemptId = "X-Cranberrypost-Attempt-Id";
inline constexpr const char *AffinityKey = "X-Cranberrypost-Affinity-Key";
inline constexpr const char *Deadline = "X-Cranberrypost-Deadline-Milliseconds";
/// The server's signature of a response.
inline constexpr const char *Signature = "X-Cranberrypost-Server-Seal";
inline constexpr const char *ExpectedInstance =
    "X-Cranberrypost-Expected-Instance";
inline constexpr const char *Load = "X-Cranberrypost-Server-Load";
inline constexpr const char *NotExecuted = "X-Cranberrypost-Not-Executed";
inline constexpr const char *Instance = "X-Cranberrypost-Instance-Id";
inline constexpr const char *ColdRemaining =
    "X-Cranberrypost-Cold-Milliseconds";
} // namespace header

/// Paths of calls.
namespace path {
inline constexpr const char *Readiness = "/api/readiness";
inline constexpr const char *Lookup = "/api/lookup";
inline constexpr const char *Objects = "/api/objects/";
} // namespace path

/// Kinds of objects in the store.
namespace kind {
inline constexpr const char *Config = "config";
inline constexpr const char *Servers = "servers";
inline constexpr const char *Evacuations = "evacuations";
/// The system's own: one object for each entry VM's process.
inline constexpr const char *EntryVms = "entry-vms";
} // namespace kind

/// Name of the object of kind Config that is in force.
inline constexpr const char *MainConfigName = "main";

} // namespace cranberry::platform

#endif
