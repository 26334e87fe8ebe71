/// \file client_block_type.h Blocks of client addresses.
#ifndef CRANBERRY_VERSION_CLIENT_BLOCK_TYPE_H
#define CRANBERRY_VERSION_CLIENT_BLOCK_TYPE_H

#include "core/strong_index_type.h"

#include <cstdint>
#include <utility>

namespace cranberry {

/// Index of an availability zone within one configuration.
using ZoneIndex = StrongIndex<struct ZoneTag, uint16_t>;

/// An IPv4 prefix.
struct ClientBlock {
  uint32_t Address_ = 0;     ///< Network address in host byte order.
  uint8_t PrefixLength_ = 0; ///< Number of leading bits that count.

  friend bool operator<(const ClientBlock &A, const ClientBlock &B) {
    return std::pair(A.Address_, A.PrefixLength_) <
           std::pair(B.Address_, B.PrefixLength_);
  }
};

/// A block and where its clients are steered to.
struct ClientBlockRoute {
  ClientBlock Block_; ///< Block of clients.
  ZoneIndex Zone_;    ///< Home availability zone.
};

} // namespace cranberry

#endif
