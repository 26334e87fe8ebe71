/// \file result_table.h Name, outcome, HTTP status and summary of each code.
#ifndef CRANBERRY_CORE_TABLE_RESULT_TABLE_H
#define CRANBERRY_CORE_TABLE_RESULT_TABLE_H

#include "core/result_type.h"

namespace cranberry {

/// Properties of one result code.
struct ResultRow {
  ResultCode Code_;     ///< Result code.
  const char *Name_;    ///< Name in logs and JSON.
  Outcome Outcome_;     ///< Whether the request was executed.
  int HttpStatus_;      ///< Status of the HTTP response.
  const char *Summary_; ///< Default one-line message.
};

// clang-format off
inline constexpr ResultRow ResultTable[] = {
    {ResultCode::Ok, "ok", Outcome::Answered, 200, "no error"},
    {ResultCode::SettingsFileMissing, "settings-file-missing", Outcome::NotRun, 500, "settings file can't be read"},
    {ResultCode::SettingsNotJson, "settings-not-json", Outcome::NotRun, 500, "settings file is not a JSON object"},
    {ResultCode::SettingsUnknownKey, "settings-unknown-key", Outcome::NotRun, 500, "unknown settings key"},
    {ResultCode::SettingsWrongType, "settings-wrong-type", Outcome::NotRun, 500, "settings value has the wrong type"},
    {ResultCode::SettingsOutOfRange, "settings-out-of-range", Outcome::NotRun, 500, "settings value is out of range"},
    {ResultCode::SettingsMissingKey, "settings-missing-key", Outcome::NotRun, 500, "required settings key is absent"},
    {ResultCode::FlagInvalid, "flag-invalid", Outcome::NotRun, 500, "command-line flag is unknown or wrong"},
    {ResultCode::PortUnavailable, "port-unavailable", Outcome::NotRun, 500, "listening port can't be opened"},
    {ResultCode::ObjectNotJson, "object-not-json", Outcome::NotRun, 400, "body is not a JSON object"},
    {ResultCode::ObjectUnknownKind, "object-unknown-kind", Outcome::NotRun, 404, "no such kind of object"},
    {ResultCode::ObjectUnknownField, "object-unknown-field", Outcome::NotRun, 422, "unknown field"},
    {ResultCode::ObjectWrongType, "object-wrong-type", Outcome::NotRun, 422, "field has the wrong type"},
    {ResultCode::ObjectOutOfRange, "object-out-of-range", Outcome::NotRun, 422, "field's value is out of range"},
    {ResultCode::ObjectMissingField, "object-missing-field", Outcome::NotRun, 422, "required field is absent"},
    {ResultCode::ObjectDanglingReference, "object-dangling-reference", Outcome::NotRun, 422, "field names an object that is absent"},
    {ResultCode::ObjectNotFound, "object-not-found", Outcome::NotRun, 404, "no such object"},
    {ResultCode::ObjectVersionConflict, "object-version-conflict", Outcome::NotRun, 412, "another write came first"},
    {ResultCode::ObjectTooLarge, "object-too-large", Outcome::NotRun, 413, "object is larger than the platform stores"},
    {ResultCode::ObjectNameInvalid, "object-name-invalid", Outcome::NotRun, 422, "object name is not allowed"},
    {ResultCode::ObjectStillReferenced, "object-still-referenced", Outcome::NotRun, 409, "another object still names this one"},
    {ResultCode::ObjectVersionInvalid, "object-version-invalid", Outcome::NotRun, 400, "If-Match is not a version"},
    {ResultCode::RequestMalformed, "request-malformed", Outcome::NotRun, 400, "request can't be understood"},
    {ResultCode::RequestTooLarge, "request-too-large", Outcome::NotRun, 413, "request body is too large"},
    {ResultCode::ServiceUnknown, "service-unknown", Outcome::NotRun, 404, "no such service"},
    {ResultCode::KeyRequired, "key-required", Outcome::NotRun, 428, "a request that may not be repeated needs an idempotency key"},
    {ResultCode::KeyMalformed, "key-malformed", Outcome::NotRun, 400, "idempotency key can't be parsed"},
    {ResultCode::KeyIncarnationGone, "key-incarnation-gone", Outcome::Unknown, 502, "the key's home VM has restarted since the key was made"},
    {ResultCode::KeyExpired, "key-expired", Outcome::Unknown, 502, "the key is older than what is remembered"},
    {ResultCode::KeyHomeUnreachable, "key-home-unreachable", Outcome::Unknown, 502, "the key's home VM can't be reached"},
    {ResultCode::KeyTableFull, "key-table-full", Outcome::NotRun, 503, "no room to remember another key"},
    {ResultCode::KeyReused, "key-reused", Outcome::NotRun, 409, "the key was used for a different request"},
    {ResultCode::DeadlineInvalid, "deadline-invalid", Outcome::NotRun, 400, "deadline is not a positive number of milliseconds"},
    {ResultCode::DeadlineBeforeStart, "deadline-before-start", Outcome::NotRun, 503, "deadline can't be met"},
    {ResultCode::QueueFull, "queue-full", Outcome::NotRun, 503, "queue is full"},
    {ResultCode::NoServer, "no-server", Outcome::NotRun, 503, "no backend server can take the request"},
    {ResultCode::ServerConnectFailed, "server-connect-failed", Outcome::NotRun, 503, "no connection to the backend server"},
    {ResultCode::ServerRefused, "server-refused", Outcome::NotRun, 503, "backend server refused without running"},
    {ResultCode::ServerAnswerLost, "server-answer-lost", Outcome::Unknown, 502, "sent, but no answer came"},
    {ResultCode::ServerAnswerTruncated, "server-answer-truncated", Outcome::Unknown, 502, "answer ended early"},
    {ResultCode::ServerAnswerCrossed, "server-answer-crossed", Outcome::Unknown, 502, "answer belongs to another request"},
    {ResultCode::ConnectionSilent, "connection-silent", Outcome::Unknown, 504, "connection made no progress"},
    {ResultCode::DeadlineAfterStart, "deadline-after-start", Outcome::Unknown, 504, "deadline passed while running"},
    {ResultCode::RetryBudgetSpent, "retry-budget-spent", Outcome::Unknown, 502, "no retry left in the budget"},
    {ResultCode::Stopping, "stopping", Outcome::NotRun, 503, "this entry VM is stopping"},
    {ResultCode::ClientAddressInvalid, "client-address-invalid", Outcome::NotRun, 400, "client address is not an IPv4 address"},
    {ResultCode::PathUnknown, "path-unknown", Outcome::NotRun, 404, "no such path"},
    {ResultCode::MethodUnsupported, "method-unsupported", Outcome::NotRun, 405, "path does not take this method"},
    {ResultCode::GrantStale, "grant-stale", Outcome::NotRun, 503, "grant has lapsed"},
    {ResultCode::PeerUnreachable, "peer-unreachable", Outcome::NotRun, 503, "no byte was sent to the other entry VM"},
    {ResultCode::PeerAnswerLost, "peer-answer-lost", Outcome::Unknown, 502, "the other entry VM did not answer"},
    {ResultCode::LinkCapReached, "link-cap-reached", Outcome::NotRun, 503, "link to that region has no room"},
    {ResultCode::Cancelled, "cancelled", Outcome::Unknown, 504, "attempt was cancelled"},
    {ResultCode::NoEntryVm, "no-entry-vm", Outcome::NotRun, 503, "no entry VM is known to be alive"},
    {ResultCode::RouteUnknown, "route-unknown", Outcome::NotRun, 404, "no route takes the host and path"},
    {ResultCode::ClientGone, "client-gone", Outcome::Unknown, 504, "client left before the answer"},
    {ResultCode::StoppedAfterStart, "stopped-after-start", Outcome::Unknown, 504, "this entry VM stopped before the answer"},
    {ResultCode::WorkspaceKeyMissing, "workspace-key-missing", Outcome::NotRun, 401, "the request has no API key of a workspace"},
    {ResultCode::WorkspaceKeyUnknown, "workspace-key-unknown", Outcome::NotRun, 401, "no workspace holds the API key"},
    {ResultCode::WorkspaceKeyUnverified, "workspace-key-unverified", Outcome::NotRun, 503, "the API key is unknown here, and the configuration may be out of date"},
    {ResultCode::HomesDisjoint, "homes-disjoint", Outcome::NotRun, 503, "no region is a home of both route and workspace"},
    {ResultCode::QuotaExceeded, "quota-exceeded", Outcome::NotRun, 429, "the workspace's quota is used up for the moment"},
    {ResultCode::RouteUnverified, "route-unverified", Outcome::NotRun, 503, "no route takes the host and path, and the configuration may be out of date"},
    {ResultCode::ConfigOutdated, "config-outdated", Outcome::NotRun, 503, "other entry VMs have a newer configuration in force, which this one couldn't get"},
    {ResultCode::HomesUnconfirmed, "homes-unconfirmed", Outcome::NotRun, 503, "the request has homes, and nobody has confirmed the configuration for too long"},
    {ResultCode::PlatformUnreachable, "platform-unreachable", Outcome::NotRun, 503, "the platform did not take the call; nothing was written"},
    {ResultCode::PlatformOutcomeUnknown, "platform-outcome-unknown", Outcome::Unknown, 502, "the write may have taken effect"},
    {ResultCode::PlatformRefused, "platform-refused", Outcome::NotRun, 502, "the platform refused the call"},
    {ResultCode::NotReady, "not-ready", Outcome::NotRun, 503, "no configuration is in force yet"},
};
// clang-format on

/// Names of outcomes, indexed by Outcome.
inline constexpr const char *OutcomeNames[] = {"answered", "not-run",
                                               "unknown"};

} // namespace cranberry

#endif
