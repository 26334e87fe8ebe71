/// \file settings_table.h Type and range of each settings key.
#ifndef CRANBERRY_DAEMON_TABLE_SETTINGS_TABLE_H
#define CRANBERRY_DAEMON_TABLE_SETTINGS_TABLE_H

#include "daemon/settings_type.h"

#include <cstdint>
#include <variant>

namespace cranberry {

/// Member that receives a key's value; its type determines the JSON type.
using SettingsField =
    std::variant<std::string Settings::*, std::vector<std::string> Settings::*,
                 std::map<std::string, std::string> Settings::*,
                 unsigned Settings::*, double Settings::*, Duration Settings::*,
                 bool Settings::*>;

/// Settings key.
struct SettingsRow {
  const char *Key_;     ///< Key; the key of a duration ends in its unit.
  SettingsField Field_; ///< Member that receives the value.
  bool IsRequired_;     ///< Whether it must be present.
  bool IsAddress_;      ///< Whether a string must be "address:port".
  bool IsReloadable_;   ///< Whether it may change while the process runs.
  int64_t Minimum_;     ///< Smallest value; milliseconds for a duration.
  int64_t Maximum_;     ///< Largest value; milliseconds for a duration.
};

// clang-format off
inline const SettingsRow SettingsTable[] = {
    {"vm", &Settings::Vm_, true, false, false, 0, 0},
    {"region", &Settings::Region_, true, false, false, 0, 0},
    {"zone", &Settings::Zone_, true, false, false, 0, 0},
    {"http", &Settings::Http_, true, true, false, 0, 0},
    {"peer", &Settings::Peer_, true, true, false, 0, 0},
    {"httpAdvertise", &Settings::HttpAdvertise_, false, true, false, 0, 0},
    {"peerAdvertise", &Settings::PeerAdvertise_, false, true, false, 0, 0},
    {"platform", &Settings::Platform_, true, true, false, 0, 0},
    {"peers", &Settings::Peers_, false, true, false, 0, 0},
    {"httpThreads", &Settings::HttpThreads_, false, false, false, 1, 64},
    {"trafficThreads", &Settings::TrafficThreads_, false, false, false, 1, 64},
    {"maxConnections", &Settings::MaxConnections_, false, false, false, 1, 1000000},
    {"maxBodyKb", &Settings::MaxBodyKb_, false, false, false, 1, 32768},
    {"lookupTtlMs", &Settings::LookupTtl_, false, false, true, 100, 600000},
    {"heartbeatMs", &Settings::HeartbeatPeriod_, false, false, true, 20, 10000},
    {"healthMs", &Settings::HealthPeriod_, false, false, false, 20, 1500},
    {"keyEpochMs", &Settings::KeyEpochLength_, false, false, false, 1000, 86400000},
    {"drainLimitMs", &Settings::DrainLimit_, false, false, false, 100, 3600000},
    {"maxKeys", &Settings::MaxKeys_, false, false, false, 1, 10000000},
    {"maxAnswerMb", &Settings::MaxAnswerMb_, false, false, false, 1, 4096},
    {"readiness", &Settings::Readiness_, false, true, false, 0, 0},
    {"directory", &Settings::Directory_, false, true, false, 0, 0},
    {"metrics", &Settings::Metrics_, false, true, false, 0, 0},
    {"zones", &Settings::Zones_, false, false, true, 0, 0},
    {"stopGraceMs", &Settings::StopGrace_, false, false, true, 500, 600000},
    {"repeatRatio", &Settings::RepeatRatio_, false, false, true, 0, 10},
    {"repeatSlack", &Settings::RepeatSlack_, false, false, true, 0, 1000000},
    {"repeatWindowMs", &Settings::RepeatWindow_, false, false, true, 100, 600000},
    {"serverDrainMs", &Settings::ServerDrain_, false, false, true, 200, 60000},
    {"configPropagationMs", &Settings::ConfigPropagation_, false, false, true, 200, 600000},
    {"maxRegionShift", &Settings::MaxRegionShift_, false, false, true, 0, 1},
    {"logLinesPerSecond", &Settings::LogLinesPerSecond_, false, false, true, 0, 100000},
    {"processorShare", &Settings::ProcessorShare_, false, false, false, 0, 1024},
    {"linkMbps", &Settings::LinkMbps_, false, false, false, 0, 1000000},
    {"firstStart", &Settings::IsFirstStart_, false, false, false, 0, 0},
    {"quotaWindowMs", &Settings::QuotaWindow_, false, false, true, 100, 600000},
    {"quotaSlack", &Settings::QuotaSlack_, false, false, true, 0, 1000000},
    {"coldBurstFactor", &Settings::ColdBurstFactor_, false, false, true, 0, 100},
};
// clang-format on

} // namespace cranberry

#endif
