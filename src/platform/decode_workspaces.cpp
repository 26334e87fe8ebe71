/// \file decode_workspaces.cpp Workspaces of a configuration, and API keys of
/// requests.
#include "platform/decode_func.h"
#include "platform/field_reader_base.h"
#include "platform/wire_names.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <cmath>

using nlohmann::json;

namespace cranberry::platform {

namespace {

/// Names are sent to servers in a header field.
bool isFieldValue(const std::string &Text) {
  constexpr size_t MaxLength = 256;
  return !Text.empty() && Text.size() <= MaxLength && Text.front() != ' ' &&
         Text.back() != ' ' &&
         std::all_of(Text.begin(), Text.end(), absl::ascii_isprint);
}

/// Decodes one entry of the wire's "tenants".
/// \param[out] Why Invalid field and reason, if there is no result.
std::optional<WorkspaceConfig> decodeWorkspace(const json &Value, Reason &Why) {
  FieldReader Fields(Value, Why);
  WorkspaceConfig Result;
  Result.Name_ = Fields.getString("name");
  if (!isFieldValue(Result.Name_))
    Fields.reportError("name", "not printable ASCII of 1 to 256 characters");
  for (const json &Key : Fields.getList("apiKeys"))
    if (Key.is_string() && !Key.get_ref<const std::string &>().empty())
      Result.Keys_.emplace_back(Key.get_ref<const std::string &>());
    else
      Fields.reportError("apiKeys", "not a list of keys");
  if (Fields.has("priority"))
    Result.Priority_ = Fields.getCount("priority");
  WorkspaceQuota Quota;
  if (Fields.has("ratePerS"))
    Quota.RatePerSecond_ = Fields.getNumber("ratePerS");
  if (Fields.has("burst"))
    Quota.Burst_ = Fields.getNumber("burst");
  if (!(Quota.RatePerSecond_ >= 0) || !std::isfinite(Quota.RatePerSecond_))
    Fields.reportError("ratePerS", "not a rate");
  if (!(Quota.Burst_ >= 0) || !std::isfinite(Quota.Burst_))
    Fields.reportError("burst", "not a number of requests");
  if (Quota.RatePerSecond_ > 0)
    Result.Quota_ = Quota;
  if (Fields.has("homeRegions")) {
    for (const json &Region : Fields.getList("homeRegions")) {
      if (Region.is_string())
        Result.HomeRegions_.push_back(Region);
      else
        Fields.reportError("homeRegions", "not a list of regions");
    }
  }
  if (!Fields.isValid())
    return std::nullopt;
  return Result;
}

/// \return The key of a "Bearer KEY" value, or an empty string.
std::string_view getBearerKey(std::string_view Value) {
  constexpr std::string_view Scheme = "bearer ";
  absl::string_view Text(Value.data(), Value.size());
  if (!absl::StartsWithIgnoreCase(Text, {Scheme.data(), Scheme.size()}))
    return {};
  Text.remove_prefix(Scheme.size());
  Text = absl::StripAsciiWhitespace(Text);
  if (Text.find_first_of(" \t,") != absl::string_view::npos)
    return {};
  return {Text.data(), Text.size()};
}

ClientKey decodeClientKey(const RequestMessage &Request) {
  namespace http = boost::beast::http;
  auto [First, End] = Request.equal_range(http::field::authorization);
  ClientKey Result;
  if (First == End)
    return Result;
  Result.Form_ = ClientKeyForm::Malformed;
  if (std::next(First) != End)
    return Result;
  std::string_view Key =
      getBearerKey({First->value().data(), First->value().size()});
  if (Key.empty())
    return Result;
  Result.Form_ = ClientKeyForm::Key;
  Result.Digest_ = WorkspaceKeyDigest(Key);
  Result.Fingerprint_ = getKeyFingerprint(Key);
  return Result;
}

} // namespace

bool decodeWorkspaces(const json &Body, RoutingConfig &Result) {
  auto List = Body.find("tenants");
  if (List == Body.end() || List->is_null())
    return true;
  if (!List->is_array())
    return false;
  Result.HasWorkspaces_ = !List->empty();
  for (const json &Value : *List) {
    Reason Why;
    if (std::optional<WorkspaceConfig> Each = decodeWorkspace(Value, Why))
      Result.Workspaces_.push_back(std::move(*Each));
    else
      Result.RefusedWorkspaces_.push_back(std::move(Why));
  }
  return true;
}

ClientKey takeClientKey(RequestMessage &Request) {
  ClientKey Result = decodeClientKey(Request);
  Request.erase(boost::beast::http::field::authorization);
  return Result;
}

void setWorkspaceName(RequestMessage &Request, const std::string &Name) {
  for (auto Field = Request.begin(); Field != Request.end();) {
    std::string Plain(Field->name_string());
    std::replace(Plain.begin(), Plain.end(), '_', '-');
    Field = absl::EqualsIgnoreCase(Plain, header::WorkspaceName)
                ? Request.erase(Field)
                : std::next(Field);
  }
  if (!Name.empty())
    Request.set(header::WorkspaceName, Name);
}

} // namespace cranberry::platform
