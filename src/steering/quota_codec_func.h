/// \file quota_codec_func.h JSON encoding of messages about quotas.
#ifndef CRANBERRY_STEERING_QUOTA_CODEC_FUNC_H
#define CRANBERRY_STEERING_QUOTA_CODEC_FUNC_H

#include "workspace/quota_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Requests of an entry VM for leases.
struct QuotaReport {
  std::string Vm_;             ///< Name of the entry VM.
  std::vector<QuotaAsk> Asks_; ///< By workspace.
};

std::string encodeQuotaReport(const QuotaReport &Report);
std::string encodeQuotaLeases(const std::vector<QuotaLease> &Leases);

/// \return The message, or nothing if \p Text is not one.
std::optional<QuotaReport> decodeQuotaReport(const std::string &Text);
std::optional<std::vector<QuotaLease>>
decodeQuotaLeases(const std::string &Text);

} // namespace cranberry

#endif
