/// \file decode_fields.cpp Header fields and look-ups of the platform's
/// messages.
#include "platform/decode_func.h"

#include "core/duration_func.h"
#include "platform/wire_names.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cmath>

using nlohmann::json;

namespace cranberry::platform {

namespace {

/// Limits of values that others write, far above those in use.
constexpr unsigned MaxReportedLoad = 100000;
constexpr double MaxClientTimeoutMs = 24 * 3600 * 1000.0;
constexpr int64_t MaxColdMs = 3600 * 1000;

std::string toString(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Decodes "running,waiting,slots" and an optional fourth part, the current
/// execution time in percent of the normal one.
std::optional<LoadReport> decodeLoad(const std::string &Text) {
  std::vector<std::string> Parts = absl::StrSplit(Text, ',');
  LoadReport Result;
  constexpr size_t InterferencePart = 3;
  if (Parts.size() < InterferencePart ||
      !absl::SimpleAtoi(Parts[0], &Result.Running_) ||
      !absl::SimpleAtoi(Parts[1], &Result.Queued_))
    return std::nullopt;
  Result.Running_ = std::min(Result.Running_, MaxReportedLoad);
  Result.Queued_ = std::min(Result.Queued_, MaxReportedLoad);
  double Percent = 0;
  constexpr double Whole = 100;
  if (Parts.size() > InterferencePart &&
      absl::SimpleAtod(Parts[InterferencePart], &Percent) &&
      std::isfinite(Percent) && Percent > 0)
    Result.Interference_ = Percent / Whole;
  return Result;
}

/// Decodes a Retry-After field in seconds, with or without a fraction.
/// \return The time, at most MaxServerRetryAfter; nothing for a date, a
/// negative number or anything else.
std::optional<Duration> decodeRetryAfter(const std::string &Text) {
  double Wait = 0;
  if (!absl::SimpleAtod(Text, &Wait) || std::isnan(Wait) || Wait < 0)
    return std::nullopt;
  double Most = std::chrono::duration<double>(MaxServerRetryAfter).count();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Wait, Most)));
}

/// \return The requests per second, or nothing if \p Text is not a valid rate.
std::optional<double> decodeRate(const std::string &Text) {
  double Rate = 0;
  if (!absl::SimpleAtod(Text, &Rate) || !std::isfinite(Rate) || Rate < 0)
    return std::nullopt;
  return Rate;
}

} // namespace

bool isPlatformField(std::string_view Name) {
  absl::string_view Text(Name.data(), Name.size());
  return absl::StartsWithIgnoreCase(Text, header::Prefix) ||
         absl::EqualsIgnoreCase(Text, header::RateLimit) ||
         absl::EqualsIgnoreCase(Text, header::Leaving) ||
         absl::EqualsIgnoreCase(Text, header::Era);
}

ClientRequestInfo decodeClientRequest(const RequestMessage &Request) {
  ClientRequestInfo Result;
  // A server could take another one of several ids.
  if (Request.count(header::AttemptId) == 1)
    Result.AttemptId_ = toString(Request[header::AttemptId]);
  Result.AffinityKey_ = toString(Request[header::AffinityKey]);
  double Patience = 0;
  if (absl::SimpleAtod(toString(Request[header::Deadline]), &Patience) &&
      Patience >= 0)
    Result.Timeout_ = milliseconds(
        static_cast<int64_t>(std::min(Patience, MaxClientTimeoutMs)));
  return Result;
}

ServerResponseInfo decodeServerResponse(const ResponseMessage &Response) {
  ServerResponseInfo Result;
  Result.AttemptId_ = toString(Response[header::AttemptId]);
  Result.IsSigned_ = Response.count(header::Signature) > 0;
  constexpr unsigned Misdirected = 421;
  Result.IsNotExecuted_ = Response.count(header::NotExecuted) > 0 ||
                          Response.result_int() == Misdirected;
  Result.Load_ = decodeLoad(toString(Response[header::Load]));
  Result.RateLimit_ = decodeRate(toString(Response[header::RateLimit]));
  int64_t Cold = 0;
  if (absl::SimpleAtoi(toString(Response[header::ColdRemaining]), &Cold))
    Result.ColdRemaining_ =
        milliseconds(std::clamp<int64_t>(Cold, 0, MaxColdMs));
  Result.IsLeaving_ = Response[header::Leaving] == "1";
  constexpr unsigned Unavailable = 503;
  if (Response.result_int() == Unavailable)
    Result.RetryAfter_ = decodeRetryAfter(
        toString(Response[boost::beast::http::field::retry_after]));
  return Result;
}

void setAttemptHeaders(RequestMessage &Request, Duration Left,
                       const std::string &Instance) {
  Request.set(header::Deadline, std::to_string(toMilliseconds(Left)));
  Request.set(header::ExpectedInstance, Instance);
}

std::optional<LookupQuery> decodeLookupQuery(const std::string &Target) {
  std::pair<std::string, std::string> Parts =
      absl::StrSplit(Target, absl::MaxSplits('?', 1));
  if (Parts.first != path::Lookup)
    return std::nullopt;
  LookupQuery Result;
  for (absl::string_view Field : absl::StrSplit(Parts.second, '&')) {
    std::pair<std::string, std::string> Pair =
        absl::StrSplit(Field, absl::MaxSplits('=', 1));
    if (Pair.first == "name")
      Result.Host_ = Pair.second;
    else if (Pair.first == "region")
      Result.Region_ = Pair.second;
    else if (Pair.first == "zone")
      Result.Zone_ = Pair.second;
  }
  return Result;
}

ResponseMessage encodeLookupResponse(const std::vector<std::string> &Addresses,
                                     Duration Ttl) {
  json Body = {{"addresses", Addresses},
               {"ttl", absl::StrCat(toMilliseconds(Ttl), "ms")}};
  ResponseMessage Response;
  Response.result(boost::beast::http::status::ok);
  Response.set(boost::beast::http::field::content_type, "application/json");
  Response.body() = Body.dump();
  return Response;
}

void setRetryAfter(ResponseMessage &Response, Duration Wait) {
  Response.set(boost::beast::http::field::retry_after,
               absl::StrCat(std::chrono::duration<double>(Wait).count()));
}

void setEra(ResponseMessage &Response, StoreEra Era) {
  Response.set(header::Era, std::to_string(Era));
}

void setRelayAge(ResponseMessage &Response, Duration Age) {
  Response.set(header::RelayAge, std::to_string(toMilliseconds(Age)));
}

std::optional<Duration> decodeRelayAge(const std::string &Text) {
  // Longest age that is believed, so that sums don't overflow.
  constexpr int64_t MaxAgeMs = 3600000;
  int64_t Age = 0;
  if (!absl::SimpleAtoi(Text, &Age))
    return std::nullopt;
  return milliseconds(std::clamp<int64_t>(Age, 0, MaxAgeMs));
}

} // namespace cranberry::platform
