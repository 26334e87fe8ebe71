/// \file heartbeat_codec_func.h Heartbeats between entry VMs as JSON.
#ifndef CRANBERRY_STEERING_HEARTBEAT_CODEC_FUNC_H
#define CRANBERRY_STEERING_HEARTBEAT_CODEC_FUNC_H

#include "process/membership_base.h"

#include <optional>
#include <string>

namespace cranberry {

std::string encodeHeartbeat(const HeartbeatBody &Body);

/// \return The heartbeat, or nothing if \p Text is not one.
std::optional<HeartbeatBody> decodeHeartbeat(const std::string &Text);

} // namespace cranberry

#endif
