/// \file client_block_table_base.h Longest-prefix search over client blocks.
#ifndef CRANBERRY_VERSION_CLIENT_BLOCK_TABLE_BASE_H
#define CRANBERRY_VERSION_CLIENT_BLOCK_TABLE_BASE_H

#include "version/client_block_type.h"

#include <cstddef>
#include <vector>

namespace cranberry {

/// Immutable table from client address to home availability zone.
///
/// Nested prefixes are flattened into disjoint ranges when the table is built,
/// so that a look-up is one binary search.
class ClientBlockTable {
public:
  ClientBlockTable() = default;

  /// \param Routes Blocks in any order; the last of equal blocks counts.
  explicit ClientBlockTable(std::vector<ClientBlockRoute> Routes);

  /// \param Address IPv4 address in host byte order.
  /// \return Zone of the longest block that holds \p Address, or invalid.
  ZoneIndex findZone(uint32_t Address) const;

  /// \return Number of blocks that the table was built from.
  size_t getBlockCount() const { return BlockCount_; }

  /// \return Bytes that the table occupies.
  size_t getByteSize() const;

private:
  void appendRange(uint64_t Begin, ZoneIndex Zone);

  std::vector<uint32_t>
      RangeStarts_; ///< First address of each range, ascending.
  std::vector<ZoneIndex> RangeZones_; ///< Zone of each range; may be invalid.
  size_t BlockCount_ = 0;             ///< Blocks before flattening.
};

} // namespace cranberry

#endif
