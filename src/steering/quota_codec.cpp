/// \file quota_codec.cpp JSON encoding of messages about quotas.
#include "steering/quota_codec_func.h"

#include <nlohmann/json.hpp>

#include <cmath>

using nlohmann::json;

namespace cranberry {

namespace {

/// \return A number that is finite and not negative.
double decodeAmount(const json &Value) {
  auto Result = Value.get<double>();
  if (!std::isfinite(Result) || Result < 0)
    throw json::other_error::create(501, "not an amount", &Value);
  return Result;
}

json encodeAsk(const QuotaAsk &Ask) {
  return {{"workspace", Ask.Workspace_},
          {"limit", Ask.Quota_.RatePerSecond_},
          {"burst", Ask.Quota_.Burst_},
          {"version", Ask.Version_},
          {"demand", Ask.Demand_},
          {"tokens", Ask.Tokens_},
          {"leased", Ask.LeasedRate_},
          {"lease", {Ask.Lease_.Issuer_, Ask.Lease_.Number_}}};
}

QuotaAsk decodeAsk(const json &Value) {
  QuotaAsk Result;
  Result.Workspace_ = Value.at("workspace");
  Result.Quota_ = {decodeAmount(Value.at("limit")),
                   decodeAmount(Value.at("burst"))};
  Result.Version_ = Value.at("version");
  Result.Demand_ = decodeAmount(Value.at("demand"));
  Result.Tokens_ = decodeAmount(Value.at("tokens"));
  Result.LeasedRate_ = decodeAmount(Value.at("leased"));
  Result.Lease_ = {Value.at("lease").at(0), Value.at("lease").at(1)};
  return Result;
}

json encodeLease(const QuotaLease &Lease) {
  return {{"workspace", Lease.Workspace_},
          {"lease", {Lease.Id_.Issuer_, Lease.Id_.Number_}},
          {"rate", Lease.Rate_},
          {"capacity", Lease.Capacity_},
          {"tokens", Lease.Tokens_},
          {"lifeMs", toMilliseconds(Lease.Life_)}};
}

QuotaLease decodeLease(const json &Value) {
  QuotaLease Result;
  Result.Workspace_ = Value.at("workspace");
  Result.Id_ = {Value.at("lease").at(0), Value.at("lease").at(1)};
  Result.Rate_ = decodeAmount(Value.at("rate"));
  Result.Capacity_ = decodeAmount(Value.at("capacity"));
  Result.Tokens_ = decodeAmount(Value.at("tokens"));
  Result.Life_ = milliseconds(Value.at("lifeMs").get<unsigned>());
  return Result;
}

} // namespace

std::string encodeQuotaReport(const QuotaReport &Report) {
  json Asks = json::array();
  for (const QuotaAsk &Each : Report.Asks_)
    Asks.push_back(encodeAsk(Each));
  return json{{"vm", Report.Vm_}, {"asks", Asks}}.dump();
}

std::string encodeQuotaLeases(const std::vector<QuotaLease> &Leases) {
  json List = json::array();
  for (const QuotaLease &Each : Leases)
    List.push_back(encodeLease(Each));
  return json{{"leases", List}}.dump();
}

std::optional<QuotaReport> decodeQuotaReport(const std::string &Text) {
  // The JSON library throws if a field is missing or has another type.
  try {
    json Root = json::parse(Text);
    QuotaReport Result;
    Result.Vm_ = Root.at("vm");
    for (const json &Value : Root.at("asks"))
      Result.Asks_.push_back(decodeAsk(Value));
    return Result;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::optional<std::vector<QuotaLease>>
decodeQuotaLeases(const std::string &Text) {
  try {
    json Root = json::parse(Text);
    std::vector<QuotaLease> Result;
    for (const json &Value : Root.at("leases"))
      Result.push_back(decodeLease(Value));
    return Result;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace cranberry
