/// \file rate_report_codec_func.h JSON encoding of rate reports.
#ifndef CRANBERRY_STEERING_RATE_REPORT_CODEC_FUNC_H
#define CRANBERRY_STEERING_RATE_REPORT_CODEC_FUNC_H

#include "steering/rate_report_type.h"

#include <optional>
#include <string>

namespace cranberry {

/// Times of limits are encoded as ages, as clocks of VMs differ.
/// \param Now Time of the encoding.
std::string encodeRateReport(const RateReport &Report, Time Now);
std::string encodeRateReply(const RateReply &Reply, Time Now);

/// \param Now Time of the decoding.
/// \return The message, or nothing if \p Text is not one.
std::optional<RateReport> decodeRateReport(const std::string &Text, Time Now);
std::optional<RateReply> decodeRateReply(const std::string &Text, Time Now);

} // namespace cranberry

#endif
