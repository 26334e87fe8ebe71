/// \file rate_report_codec.cpp JSON encoding of rate reports.
#include "steering/rate_report_codec_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using nlohmann::json;

namespace cranberry {

namespace {

/// Older limits have expired long before.
constexpr int64_t MaxAgeMs = 3600 * 1000;

json encodeEntries(const std::vector<RateEntry> &Entries, Time Now) {
  json Result = json::array();
  for (const RateEntry &Each : Entries)
    Result.push_back(
        {{"server", Each.Server_},
         {"perSecond", Each.PerSecond_},
         {"limit",
          Each.Limit_.PerSecond_ ? json(*Each.Limit_.PerSecond_) : json()},
         {"ageMs", toMilliseconds(Now - Each.Limit_.NamedAt_)}});
  return Result;
}

std::vector<RateEntry> decodeEntries(const json &Entries, Time Now) {
  std::vector<RateEntry> Result;
  for (const json &Value : Entries) {
    RateEntry Each;
    Each.Server_ = Value.at("server");
    Each.PerSecond_ = Value.at("perSecond");
    if (const json &Limit = Value.at("limit"); !Limit.is_null())
      Each.Limit_.PerSecond_ = Limit.get<double>();
    auto AgeMs = Value.at("ageMs").get<int64_t>();
    Each.Limit_.NamedAt_ =
        Now - milliseconds(std::clamp<int64_t>(AgeMs, 0, MaxAgeMs));
    Result.push_back(std::move(Each));
  }
  return Result;
}

} // namespace

std::string encodeRateReport(const RateReport &Report, Time Now) {
  return json{{"vm", Report.Vm_},
              {"demands", encodeEntries(Report.Demands_, Now)}}
      .dump();
}

std::string encodeRateReply(const RateReply &Reply, Time Now) {
  return json{{"shares", encodeEntries(Reply.Shares_, Now)}}.dump();
}

std::optional<RateReport> decodeRateReport(const std::string &Text, Time Now) {
  // The JSON library throws if a field is missing or has another type.
  try {
    json Root = json::parse(Text);
    return RateReport{Root.at("vm"), decodeEntries(Root.at("demands"), Now)};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::optional<RateReply> decodeRateReply(const std::string &Text, Time Now) {
  try {
    json Root = json::parse(Text);
    return RateReply{decodeEntries(Root.at("shares"), Now)};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace cranberry
