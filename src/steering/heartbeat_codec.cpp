/// \file heartbeat_codec.cpp JSON encoding of heartbeats between entry VMs.
#include "steering/heartbeat_codec_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

using nlohmann::json;

namespace cranberry {

namespace {

json encodeDemand(const std::vector<ServiceDemand> &Demand) {
  json Result = json::object();
  // Tenths of a slot are exact enough, and short.
  for (const ServiceDemand &Each : Demand)
    Result[Each.Service_] = std::llround(Each.Slots_ * 10);
  return Result;
}

std::vector<ServiceDemand> decodeDemand(const json &Value) {
  std::vector<ServiceDemand> Result;
  for (const auto &[Service, Tenths] : Value.items())
    Result.push_back({Service, std::max(0.0, Tenths.get<double>() / 10)});
  return Result;
}

/// Longest age that is told and believed, so that sums don't overflow.
constexpr int64_t MaxAgeMs = 3600000;

std::optional<Duration> decodeConfigAge(const json &Sender) {
  // A VM of an earlier release doesn't send it.
  auto Found = Sender.find("configAgeMs");
  if (Found == Sender.end())
    return std::nullopt;
  double Age = std::clamp(Found->get<double>(), 0.0, double{MaxAgeMs});
  return milliseconds(static_cast<int64_t>(std::ceil(Age)));
}

json encodeMember(const Member &Vm) {
  return {{"vm", Vm.Vm_},
          {"region", Vm.Region_},
          {"zone", Vm.Zone_},
          {"http", Vm.HttpAddress_},
          {"peer", Vm.PeerAddress_},
          {"incarnation", Vm.Incarnation_},
          {"sequence", Vm.Sequence_},
          {"state", static_cast<unsigned>(Vm.State_)},
          {"revision", Vm.Revision_},
          {"strength", Vm.Strength_},
          {"busy", Vm.IsBusy_}};
}

Member decodeMember(const json &Value) {
  constexpr unsigned States = std::size(MemberStateNames);
  Member Result;
  Result.Vm_ = Value.at("vm");
  Result.Region_ = Value.at("region");
  Result.Zone_ = Value.at("zone");
  Result.HttpAddress_ = Value.at("http");
  Result.PeerAddress_ = Value.at("peer");
  Result.Incarnation_ = Value.at("incarnation");
  Result.Sequence_ = Value.at("sequence");
  Result.State_ = static_cast<MemberState>(
      std::min(Value.at("state").get<unsigned>(), States - 1));
  Result.Revision_ = Value.at("revision");
  // A VM of an earlier release doesn't send these.
  Result.Strength_ = Value.value("strength", Result.Strength_);
  Result.IsBusy_ = Value.value("busy", Result.IsBusy_);
  if (auto Found = Value.find("demand"); Found != Value.end())
    Result.Demand_ = decodeDemand(*Found);
  return Result;
}

} // namespace

std::string encodeHeartbeat(const HeartbeatBody &Body) {
  json Updates = json::array();
  for (const Member &Vm : Body.Updates_)
    Updates.push_back(encodeMember(Vm));
  json Sender = encodeMember(Body.Sender_);
  if (!Body.Sender_.Demand_.empty())
    Sender["demand"] = encodeDemand(Body.Sender_.Demand_);
  if (Body.ConfigAge_)
    Sender["configAgeMs"] =
        std::min(toMilliseconds(*Body.ConfigAge_) + 1, MaxAgeMs);
  return json{{"sender", Sender},
              {"updates", Updates},
              {"wantsAll", Body.IsFullListRequested_}}
      .dump();
}

std::optional<HeartbeatBody> decodeHeartbeat(const std::string &Text) {
  // The JSON library throws if a field is missing or has another type.
  try {
    json Root = json::parse(Text);
    HeartbeatBody Result;
    Result.Sender_ = decodeMember(Root.at("sender"));
    Result.ConfigAge_ = decodeConfigAge(Root.at("sender"));
    for (const json &Vm : Root.at("updates"))
      Result.Updates_.push_back(decodeMember(Vm));
    Result.IsFullListRequested_ = Root.at("wantsAll");
    return Result;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace cranberry
