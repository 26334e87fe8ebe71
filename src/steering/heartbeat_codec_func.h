/// \file heartbeat_codec_func.h JSON encoding of heartbeats between entry VMs.
#ifndef CRANBERRY_STEERING_HEARTBEAT_CODEC_FUNC_H
#define CRANBERRY_STEERING_HEARTBEAT_CODEC_FUNC_H

#include "process/membership_base.h"

#include <optional>
#include <string>

namespace cranberry {

/// Encodes a heartbeat or the response to one.
std::string encodeHeartbeat(const HeartbeatBody &Body);

/// \return The heartbeat, or nothing if \p Text is not one.
std::optional<HeartbeatBody> decodeHeartbeat(const std::string &Text);

} // namespace cranberry

#endif
