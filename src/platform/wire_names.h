/// \file wire_names.h Header names, paths and object kinds on the wire.
#ifndef CRANBERRY_PLATFORM_WIRE_NAMES_H
#define CRANBERRY_PLATFORM_WIRE_NAMES_H

namespace cranberry::platform {

/// Names of header fields.
namespace header {
/// Prefix of most names.
inline constexpr const char *Prefix = "X-Cranberrypost-";
inline constexpr const char *AttemptId = "X-Cranberrypost-Attempt-Id";
inline constexpr const char *AffinityKey = "X-Cranberrypost-Affinity-Key";
inline constexpr const char *Deadline = "X-Cranberrypost-Deadline-Milliseconds";
/// Marks a response as signed by the server.
inline constexpr const char *Signature = "X-Cranberrypost-Server-Seal";
inline constexpr const char *ExpectedInstance =
    "X-Cranberrypost-Expected-Instance";
inline constexpr const char *Load = "X-Cranberrypost-Server-Load";
/// Requests per second that the server accepts from all entry VMs together.
inline constexpr const char *RateLimit = "Server-Limit";
/// Set to 1 by a server that is about to stop, in all its responses.
inline constexpr const char *Leaving = "Server-Leaving";
/// Set by the store: increases each time that it is restored from a copy.
/// Lower case, as the HTTP client reports names that way.
inline constexpr const char *Era = "store-era";
/// Set by a VM that relays objects: milliseconds since they were read from the
/// store. Lower case as well.
inline constexpr const char *RelayAge = "relay-age";
inline constexpr const char *NotExecuted = "X-Cranberrypost-Not-Executed";
inline constexpr const char *Instance = "X-Cranberrypost-Instance-Id";
/// Name of the workspace that sent a request; set by this system only.
inline constexpr const char *WorkspaceName = "X-Cranberrypost-Tenant-Name";
inline constexpr const char *ColdRemaining =
    "X-Cranberrypost-Cold-Milliseconds";
} // namespace header

/// Request paths.
namespace path {
inline constexpr const char *Readiness = "/api/readiness";
inline constexpr const char *Lookup = "/api/lookup";
inline constexpr const char *Objects = "/api/objects/";
} // namespace path

/// Object kinds in the store.
namespace kind {
inline constexpr const char *Config = "config";
inline constexpr const char *Servers = "servers";
inline constexpr const char *Evacuations = "evacuations";
/// Written by this system: one object per entry VM.
inline constexpr const char *EntryVms = "entry-vms";
} // namespace kind

/// Name of the object of kind Config that holds the active configuration.
inline constexpr const char *MainConfigName = "main";

} // namespace cranberry::platform

#endif
