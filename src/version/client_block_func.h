/// \file client_block_func.h Parses IPv4 addresses and prefixes.
#ifndef CRANBERRY_VERSION_CLIENT_BLOCK_FUNC_H
#define CRANBERRY_VERSION_CLIENT_BLOCK_FUNC_H

#include "version/client_block_type.h"

#include <optional>
#include <string_view>

namespace cranberry {

/// Parses an IPv4 address in dotted decimal notation.
/// \return The address in host byte order, or std::nullopt if \p Text is
/// invalid.
std::optional<uint32_t> parseIpv4(std::string_view Text);

/// Parses an IPv4 prefix in CIDR notation, "a.b.c.d/length".
/// \return The block, or std::nullopt if \p Text is invalid or has host bits
/// set.
std::optional<ClientBlock> parseClientBlock(std::string_view Text);

} // namespace cranberry

#endif
