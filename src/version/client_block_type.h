/// \file client_block_type.h IPv4 prefixes of clients and their home zones.
#ifndef CRANBERRY_VERSION_CLIENT_BLOCK_TYPE_H
#define CRANBERRY_VERSION_CLIENT_BLOCK_TYPE_H

#include "core/strong_index_type.h"

#include <cstdint>
#include <utility>

namespace cranberry {

/// Index of an availability zone within one configuration.
using ZoneIndex = StrongIndex<struct ZoneTag, uint16_t>;

/// An IPv4 prefix. Ordered by address, and a prefix before those nested in it.
struct ClientBlock {
  uint32_t Address_ = 0;     ///< Network address in host byte order.
  uint8_t PrefixLength_ = 0; ///< Prefix length, in bits.

  friend bool operator<(const ClientBlock &A, const ClientBlock &B) {
    return std::pair(A.Address_, A.PrefixLength_) <
           std::pair(B.Address_, B.PrefixLength_);
  }
};

/// Assigns the clients of a block to a home availability zone.
struct ClientBlockRoute {
  ClientBlock Block_; ///< Addresses of the clients.
  ZoneIndex Zone_;    ///< Home availability zone of the clients.
};

} // namespace cranberry

#endif
