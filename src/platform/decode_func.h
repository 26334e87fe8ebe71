/// \file decode_func.h Decoding and encoding of the platform's messages.
#ifndef CRANBERRY_PLATFORM_DECODE_FUNC_H
#define CRANBERRY_PLATFORM_DECODE_FUNC_H

#include "core/result_type.h"
#include "net/http_message_type.h"
#include "platform/store_type.h"
#include "request/balancer_type.h"
#include "version/routing_type.h"
#include "version/server_record_type.h"
#include "workspace/client_key_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberry::platform {

/// Header fields of a client's request.
struct ClientRequestInfo {
  std::string AttemptId_;           ///< Client's id of the attempt, or empty.
  std::string AffinityKey_;         ///< Key for session affinity, or empty.
  std::optional<Duration> Timeout_; ///< Client's timeout.
};

/// Header fields of a server's response.
struct ServerResponseInfo {
  std::string AttemptId_;          ///< Attempt that it responds to, or empty.
  bool IsSigned_ = false;          ///< Whether it has the server's signature.
  bool IsNotExecuted_ = false;     ///< Whether the server skipped execution.
  std::optional<LoadReport> Load_; ///< Load, if reported.
  std::optional<Duration>
      ColdRemaining_;      ///< Remaining cold phase, if reported.
  bool IsLeaving_ = false; ///< Whether the server is about to stop.
  /// Time for which the server wants no more requests, if it refused this one.
  std::optional<Duration> RetryAfter_;
  /// Requests per second that the server accepts in total, if limited.
  std::optional<double> RateLimit_;
};

/// Longest time for which a server can keep requests away. A server that needs
/// longer says so again.
inline constexpr Duration MaxServerRetryAfter = seconds(60);

/// Parameters of a client's look-up of entry VMs.
struct LookupQuery {
  std::string Host_;   ///< Host that the client connects to.
  std::string Region_; ///< Client's region.
  std::string Zone_;   ///< Client's availability zone.
};

/// \return Whether the platform's protocol defines the header field \p Name.
bool isPlatformField(std::string_view Name);

/// Reads the header fields of a client's request. The attempt's id is empty if
/// the request has several.
ClientRequestInfo decodeClientRequest(const RequestMessage &Request);
/// Reads the header fields of a server's response.
ServerResponseInfo decodeServerResponse(const ResponseMessage &Response);

/// Reads the API key of a client's request and removes all fields with keys.
ClientKey takeClientKey(RequestMessage &Request);
/// Names the workspace of a request for the server, in place of any name that
/// the client sent, also if "_" is written for "-", as some servers read both.
/// \param Name Name of the workspace, or empty for none.
void setWorkspaceName(RequestMessage &Request, const std::string &Name);

/// Sets the header fields that this system adds to a request for a server.
/// \param Left Time until the client's deadline.
/// \param Instance Id of the server instance that the request is meant for.
void setAttemptHeaders(RequestMessage &Request, Duration Left,
                       const std::string &Instance);

/// \return The parameters, or nothing if \p Target is not a look-up.
std::optional<LookupQuery> decodeLookupQuery(const std::string &Target);
/// \param Addresses Addresses of the entry VMs that the client may use.
/// \param Ttl How long the client may cache them.
ResponseMessage encodeLookupResponse(const std::vector<std::string> &Addresses,
                                     Duration Ttl);

/// Sets the Retry-After field of a response.
/// \param Wait Time after which the client may retry.
void setRetryAfter(ResponseMessage &Response, Duration Wait);

/// Sets the era of a response that relays objects of the store.
void setEra(ResponseMessage &Response, StoreEra Era);

/// Sets the time since the objects of such a response were read from the store.
void setRelayAge(ResponseMessage &Response, Duration Age);

/// \return That time, or nothing if \p Text isn't a number.
std::optional<Duration> decodeRelayAge(const std::string &Text);

/// Decodes the routing configuration.
/// \param[out] Why Invalid field and reason, if there is no result.
std::optional<RoutingConfig> decodeRouting(const StoreObject &Object,
                                           Reason &Why);
/// Decodes the workspaces of a configuration. An invalid one is left out, with
/// its keys, and recorded in RoutingConfig::RefusedWorkspaces_.
/// \return Whether \p Body has a list of workspaces or none at all.
bool decodeWorkspaces(const nlohmann::json &Body, RoutingConfig &Result);
/// Decodes the entry of a backend server.
/// \param[out] Why Invalid field and reason, if there is no result.
std::optional<ServerRecord> decodeServer(const StoreObject &Object,
                                         Reason &Why);

/// \return The object in the response to a call on a single object, or nothing.
/// It has no body if only its name and revision can be read.
std::optional<StoreObject> decodeObjectBody(const std::string &Body,
                                            Reason &Why);

/// \return Objects of a list response, or nothing if \p Body is not one.
/// Items that can't be decoded are skipped. One whose bytes can't be read has
/// no body, so that it replaces what was known under its name.
std::optional<StorePage> decodePage(const std::string &Body, Reason &Why);

/// \return Parameters of a list or watch request, or nothing if \p Target is
/// neither. Entry VMs use the store's protocol among themselves.
std::optional<StoreQuery> decodeStoreQuery(const std::string &Target);

/// Encodes a list response in the store's format.
std::string encodePage(const StorePage &Page);
/// Encodes a watch response in the store's format.
std::string encodeChanges(const StoreChanges &Changes);

/// \return Whether \p After only renews the server entry \p Before, without
/// any other change.
bool isRenewal(const nlohmann::json &Before, const nlohmann::json &After);

/// \return Changes of a watch response, or nothing if \p Body is not one.
/// Events that can't be decoded are skipped, or have no body, as in
/// decodePage().
std::optional<StoreChanges> decodeChanges(const std::string &Body, Reason &Why);

} // namespace cranberry::platform

#endif
