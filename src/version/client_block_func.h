/// \file client_block_func.h Reading blocks of client addresses.
#ifndef CRANBERRY_VERSION_CLIENT_BLOCK_FUNC_H
#define CRANBERRY_VERSION_CLIENT_BLOCK_FUNC_H

#include "version/client_block_type.h"

#include <optional>
#include <string_view>

namespace cranberry {

/// \return The address in host byte order, or nothing if \p Text is not a
/// dotted IPv4 address.
std::optional<uint32_t> parseIpv4(std::string_view Text);

/// \return The block, or nothing if \p Text is not "a.b.c.d/length" or has
/// host bits set.
std::optional<ClientBlock> parseClientBlock(std::string_view Text);

} // namespace cranberry

#endif
