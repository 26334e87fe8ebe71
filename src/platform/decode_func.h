/// \file decode_func.h The platform's messages as the project's types.
#ifndef CRANBERRY_PLATFORM_DECODE_FUNC_H
#define CRANBERRY_PLATFORM_DECODE_FUNC_H

#include "core/result_type.h"
#include "net/http_message_type.h"
#include "platform/store_type.h"
#include "request/balancer_type.h"
#include "version/routing_type.h"
#include "version/server_record_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberry::platform {

/// What a client's request says of itself.
struct ClientRequestInfo {
  std::string AttemptId_;           ///< Empty if absent.
  std::string AffinityKey_;         ///< Empty if absent.
  std::optional<Duration> Timeout_; ///< How long the client waits.
};

/// What a server's response says of its request.
struct ServerResponseInfo {
  std::string AttemptId_;          ///< Request that it answers; may be empty.
  bool IsSigned_ = false;          ///< Whether it bears the server's signature.
  bool IsNotExecuted_ = false;     ///< Whether the server did not run it.
  std::optional<LoadReport> Load_; ///< Load, if told.
  std::optional<Duration> ColdRemaining_; ///< Rest of the cold phase, if told.
};

/// A client's question where to connect.
struct LookupQuery {
  std::string Host_;   ///< Host that it wants to reach.
  std::string Region_; ///< Client's region.
  std::string Zone_;   ///< Client's availability zone.
};

ClientRequestInfo decodeClientRequest(const RequestMessage &Request);
ServerResponseInfo decodeServerResponse(const ResponseMessage &Response);

/// Sets the fields that a server gets from this system.
/// \param Left What is left of the client's time.
void setAttemptHeaders(RequestMessage &Request, Duration Left,
                       const std::string &Instance);

/// \return The question, or nothing if \p Target is not a look-up.
std::optional<LookupQuery> decodeLookupQuery(const std::string &Target);
ResponseMessage encodeLookupResponse(const std::vector<std::string> &Addresses,
                                     Duration Ttl);

/// Tells a client when to come back.
void setRetryAfter(ResponseMessage &Response, Duration Wait);

/// \param[out] Why Field at fault, if there is no result.
std::optional<RoutingConfig> decodeRouting(const StoreObject &Object,
                                           Reason &Why);
std::optional<ServerRecord> decodeServer(const StoreObject &Object,
                                         Reason &Why);

/// \return The object in the answer to a call on one, or nothing.
std::optional<StoreObject> decodeObjectBody(const std::string &Body,
                                            Reason &Why);

/// \return Objects of a list, or nothing if \p Body is not one.
std::optional<StorePage> decodePage(const std::string &Body, Reason &Why);

/// \return What a call for \p Target asks, or nothing if it is neither a list
/// nor a watch. Entry VMs ask each other as they ask the store.
std::optional<StoreQuery> decodeStoreQuery(const std::string &Target);

std::string encodePage(const StorePage &Page);
std::string encodeChanges(const StoreChanges &Changes);

/// \return Whether a server's entry was renewed and tells nothing new.
bool isRenewal(const nlohmann::json &Before, const nlohmann::json &After);

/// \return Changes of a watch, or nothing if \p Body is not one.
std::optional<StoreChanges> decodeChanges(const std::string &Body, Reason &Why);

} // namespace cranberry::platform

#endif
