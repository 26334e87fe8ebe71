/// \file result_type.h Result codes, request outcomes and error details.
#ifndef CRANBERRY_CORE_RESULT_TYPE_H
#define CRANBERRY_CORE_RESULT_TYPE_H

#include <cstdint>
#include <string>

namespace cranberry {

/// Whether a request was executed by a backend server.
enum class Outcome : uint8_t {
  Answered, ///< A backend server ran it; the response is complete.
  NotRun,   ///< No backend server ran it or will run it.
  Unknown,  ///< It may have run; only an idempotent request may be retried.
};

/// Result codes that are reported to callers, operators and peers. The numbers
/// are part of the interface and must not change.
enum class ResultCode : uint16_t {
  Ok = 0,                        ///< No error.
  SettingsFileMissing = 101,     ///< The settings file can't be read.
  SettingsNotJson = 102,         ///< The settings file is not a JSON object.
  SettingsUnknownKey = 103,      ///< A settings key is unknown.
  SettingsWrongType = 104,       ///< A settings value has the wrong JSON type.
  SettingsOutOfRange = 105,      ///< A settings value is out of range.
  SettingsMissingKey = 106,      ///< A required settings key is missing.
  FlagInvalid = 107,             ///< A command-line flag is unknown or wrong.
  PortUnavailable = 108,         ///< A listening port can't be opened.
  ObjectNotJson = 201,           ///< An object's body is not a JSON object.
  ObjectUnknownKind = 202,       ///< The object kind does not exist.
  ObjectUnknownField = 203,      ///< The object kind has no such field.
  ObjectWrongType = 204,         ///< A field has the wrong JSON type.
  ObjectOutOfRange = 205,        ///< A field's value is out of range.
  ObjectMissingField = 206,      ///< A required field is missing.
  ObjectDanglingReference = 207, ///< A field refers to a missing object.
  ObjectNotFound = 208,          ///< No object has that name.
  ObjectVersionConflict = 209,   ///< The object was modified concurrently.
  ObjectTooLarge = 210,        ///< The body exceeds the platform's size limit.
  ObjectNameInvalid = 211,     ///< The name is not allowed.
  ObjectStillReferenced = 212, ///< Another object still refers to it.
  ObjectVersionInvalid = 213,  ///< If-Match does not hold a valid version.
  RequestMalformed = 301,      ///< The request can't be parsed.
  RequestTooLarge = 302,       ///< The request body exceeds the size limit.
  ServiceUnknown = 303,        ///< The service is not configured.
  KeyRequired = 304,           ///< A non-repeatable request has no key.
  KeyMalformed = 305,          ///< The idempotency key can't be parsed.
  KeyIncarnationGone = 306,    ///< The key's home VM has restarted since.
  KeyExpired = 307,            ///< The key is older than the retention period.
  KeyHomeUnreachable = 308,    ///< The key's home VM can't be reached.
  KeyTableFull = 309,          ///< The table of idempotency keys is full.
  KeyReused = 310,             ///< The key was used with a different request.
  DeadlineInvalid = 311,       ///< The deadline is not a positive number.
  DeadlineBeforeStart = 312,   ///< The deadline can't be met; not started.
  QueueFull = 313,             ///< The service's queue is full.
  NoServer = 314,              ///< No backend server can accept the request.
  ServerConnectFailed = 315,   ///< Connecting to the backend server failed.
  ServerRefused = 316,         ///< The backend server did not run the request.
  ServerAnswerLost = 317,      ///< The request was sent; no response arrived.
  ServerAnswerTruncated = 318, ///< The response ended early.
  ServerAnswerCrossed = 319,   ///< The response belongs to another request.
  ConnectionSilent = 320,      ///< The connection made no progress.
  DeadlineAfterStart = 321,    ///< The deadline passed during execution.
  RetryBudgetSpent = 322,      ///< The retry budget is exhausted.
  Stopping = 323,              ///< This entry VM is shutting down.
  ClientAddressInvalid = 324,  ///< The client address is not an IPv4 address.
  PathUnknown = 325,           ///< The path does not exist on this port.
  MethodUnsupported = 326,     ///< The path does not support this method.
  GrantStale = 327,            ///< The grant has expired or is unknown.
  PeerUnreachable = 328,       ///< Nothing was sent to the other entry VM.
  PeerAnswerLost = 329,        ///< The other entry VM did not respond.
  LinkCapReached = 330,      ///< The link to that region has no capacity left.
  Cancelled = 331,           ///< The attempt was cancelled.
  NoEntryVm = 332,           ///< No entry VM is known to be alive.
  RouteUnknown = 333,        ///< No route matches the host and path.
  ClientGone = 334,          ///< The client disconnected before the response.
  StoppedAfterStart = 335,   ///< This entry VM stopped during execution.
  WorkspaceKeyMissing = 336, ///< The request needs an API key and has none.
  WorkspaceKeyUnknown = 337, ///< No workspace holds the API key.
  WorkspaceKeyUnverified =
      338,               ///< The API key is unknown here, but may be a new one.
  HomesDisjoint = 339,   ///< No region is a home of both route and workspace.
  QuotaExceeded = 340,   ///< The workspace's quota is used up for the moment.
  RouteUnverified = 341, ///< No route matches, but there may be a new one.
  ConfigOutdated = 342,  ///< A newer configuration is known and isn't here.
  HomesUnconfirmed = 343,       ///< The homes in force here may have changed.
  PlatformUnreachable = 401,    ///< The platform did not receive the call.
  PlatformOutcomeUnknown = 402, ///< The write may have been applied.
  PlatformRefused = 403,        ///< The platform rejected the call.
  NotReady = 404,               ///< No configuration has been loaded yet.
};

/// Error details of an operation that returned an empty std::optional.
struct Reason {
  ResultCode Code_ = ResultCode::Ok; ///< Result code.
  std::string Field_;   ///< Invalid field, flag or settings key, if any.
  std::string Message_; ///< One-line message; empty for the default.
};

} // namespace cranberry

#endif
