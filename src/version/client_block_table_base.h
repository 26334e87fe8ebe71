/// \file client_block_table_base.h Longest-prefix match over client blocks.
#ifndef CRANBERRY_VERSION_CLIENT_BLOCK_TABLE_BASE_H
#define CRANBERRY_VERSION_CLIENT_BLOCK_TABLE_BASE_H

#include "version/client_block_type.h"

#include <cstddef>
#include <vector>

namespace cranberry {

/// Immutable map from client address to home availability zone.
///
/// The constructor flattens nested prefixes into disjoint ranges, so that a
/// lookup is a single binary search.
class ClientBlockTable {
public:
  ClientBlockTable() = default;

  /// \param Routes Blocks in any order; the last of equal blocks takes effect.
  explicit ClientBlockTable(std::vector<ClientBlockRoute> Routes);

  /// Finds the home zone by longest-prefix match.
  /// \param Address IPv4 address in host byte order.
  /// \return Zone of the longest block that contains \p Address, or an invalid
  /// index if there is none.
  ZoneIndex findZone(uint32_t Address) const;

  /// \return Number of blocks passed to the constructor.
  size_t getBlockCount() const { return BlockCount_; }

  /// \return Memory used by the ranges, in bytes.
  size_t getByteSize() const;

private:
  /// Appends the range that starts at \p Begin, merged with the previous one if
  /// both have the same zone.
  void appendRange(uint64_t Begin, ZoneIndex Zone);

  std::vector<uint32_t>
      RangeStarts_; ///< First address of each range, ascending.
  std::vector<ZoneIndex> RangeZones_; ///< Zone of each range; invalid if none.
  size_t BlockCount_ = 0;             ///< Number of blocks before flattening.
};

} // namespace cranberry

#endif
