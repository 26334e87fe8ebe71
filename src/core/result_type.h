/// \file result_type.h Numbered result codes, outcomes and the last reason.
#ifndef CRANBERRY_CORE_RESULT_TYPE_H
#define CRANBERRY_CORE_RESULT_TYPE_H

#include <cstdint>
#include <string>

namespace cranberry {

/// What is known of a request's effect on the backend servers.
enum class Outcome : uint8_t {
  Answered, ///< A backend server ran it and the whole answer is here.
  NotRun,   ///< No backend server ran it, and none will.
  Unknown,  ///< It may have run; it must not be repeated unless repeatable.
};

/// Every result that a caller, an operator or a peer can be told.
enum class ResultCode : uint16_t {
  Ok = 0,                        ///< No error.
  SettingsFileMissing = 101,     ///< Settings file can't be read.
  SettingsNotJson = 102,         ///< Settings file is not a JSON object.
  SettingsUnknownKey = 103,      ///< A key that no setting has.
  SettingsWrongType = 104,       ///< A value of the wrong JSON type.
  SettingsOutOfRange = 105,      ///< A value outside its range.
  SettingsMissingKey = 106,      ///< A required key is absent.
  FlagInvalid = 107,             ///< A command-line flag is unknown or wrong.
  PortUnavailable = 108,         ///< A listening port can't be opened.
  ObjectNotJson = 201,           ///< An object's body is not a JSON object.
  ObjectUnknownKind = 202,       ///< No such kind of object.
  ObjectUnknownField = 203,      ///< A field that the kind does not have.
  ObjectWrongType = 204,         ///< A field of the wrong JSON type.
  ObjectOutOfRange = 205,        ///< A field's value is outside its range.
  ObjectMissingField = 206,      ///< A required field is absent.
  ObjectDanglingReference = 207, ///< A field names an object that is absent.
  ObjectNotFound = 208,          ///< No object of that name.
  ObjectVersionConflict = 209,   ///< Another write came first.
  ObjectTooLarge = 210,          ///< Body exceeds what the platform stores.
  ObjectNameInvalid = 211,       ///< Name has characters that are not allowed.
  ObjectStillReferenced = 212,   ///< Another object still names it.
  ObjectVersionInvalid = 213,    ///< If-Match is not a version.
  RequestMalformed = 301,        ///< Request can't be understood.
  RequestTooLarge = 302,         ///< Request body exceeds the limit.
  ServiceUnknown = 303,          ///< No such service is declared.
  KeyRequired = 304,             ///< A non-repeatable request without a key.
  KeyMalformed = 305,            ///< Idempotency key can't be parsed.
  KeyIncarnationGone = 306,      ///< The key's home VM has restarted since.
  KeyExpired = 307,              ///< The key is older than what is remembered.
  KeyHomeUnreachable = 308,      ///< The key's home VM can't be reached.
  KeyTableFull = 309,            ///< No room to remember another key.
  KeyReused = 310,               ///< The key was used for another request.
  DeadlineInvalid = 311,         ///< Deadline is not a positive number.
  DeadlineBeforeStart = 312,     ///< Deadline can't be met; nothing started.
  QueueFull = 313,               ///< The service's queue is full.
  NoServer = 314,                ///< No backend server can take the request.
  ServerConnectFailed = 315,     ///< No connection to the backend server.
  ServerRefused = 316,           ///< Backend server refused without running.
  ServerAnswerLost = 317,        ///< Sent, but no answer came.
  ServerAnswerTruncated = 318,   ///< The answer ended early.
  ServerAnswerCrossed = 319,     ///< The answer belongs to another request.
  ConnectionSilent = 320,        ///< The connection made no progress.
  DeadlineAfterStart = 321,      ///< Deadline passed while running.
  RetryBudgetSpent = 322,        ///< No retry left in the budget.
  Stopping = 323,                ///< This entry VM is stopping.
  ClientAddressInvalid = 324,    ///< Client address is not an IPv4 address.
  PathUnknown = 325,             ///< No such path on this port.
  MethodUnsupported = 326,       ///< The path does not take this method.
  GrantStale = 327,              ///< The grant has lapsed or is unknown.
  PeerUnreachable = 328,         ///< No byte was sent to the other entry VM.
  PeerAnswerLost = 329,          ///< The other entry VM did not answer.
  LinkCapReached = 330,          ///< The link to that region has no room.
  Cancelled = 331,               ///< The attempt was cancelled.
  NoEntryVm = 332,               ///< No entry VM is known to be alive.
  RouteUnknown = 333,            ///< No route takes the host and path.
  ClientGone = 334,              ///< The client left before the answer.
  PlatformUnreachable = 401,     ///< The platform did not take the call.
  PlatformOutcomeUnknown = 402,  ///< The write may have taken effect.
  PlatformRefused = 403,         ///< The platform refused the call.
  NotReady = 404,                ///< No configuration is in force yet.
};

/// Why the last operation gave no value; goes with an empty std::optional.
struct Reason {
  ResultCode Code_ = ResultCode::Ok; ///< Numbered code.
  std::string Field_;                ///< Field, flag or key at fault, if any.
  std::string Message_;              ///< One line for people.
};

} // namespace cranberry

#endif
