/// \file client_block_table.cpp Longest-prefix match over client blocks.
#include "version/client_block_table_base.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Number of IPv4 addresses.
constexpr uint64_t AddressCount = uint64_t{1} << 32;

/// \return First address after \p Block; AddressCount if there is none.
uint64_t getEnd(const ClientBlock &Block) {
  constexpr int AddressBits = 32;
  return Block.Address_ + (uint64_t{1} << (AddressBits - Block.PrefixLength_));
}

/// A block that contains the address reached by the sweep.
struct OpenBlock {
  uint64_t End_;   ///< First address after the block.
  ZoneIndex Zone_; ///< Home zone of the block.
};

} // namespace

ClientBlockTable::ClientBlockTable(std::vector<ClientBlockRoute> Routes)
    : BlockCount_(Routes.size()) {
  std::stable_sort(Routes.begin(), Routes.end(),
                   [](const ClientBlockRoute &A, const ClientBlockRoute &B) {
                     return A.Block_ < B.Block_;
                   });
  RangeStarts_.reserve(Routes.size());
  RangeZones_.reserve(Routes.size());
  std::vector<OpenBlock> OpenBlocks;
  auto CloseBlocksUpTo = [&](uint64_t Address) {
    while (!OpenBlocks.empty() && OpenBlocks.back().End_ <= Address) {
      uint64_t End = OpenBlocks.back().End_;
      OpenBlocks.pop_back();
      appendRange(End, OpenBlocks.empty() ? ZoneIndex::invalid()
                                          : OpenBlocks.back().Zone_);
    }
  };
  for (const ClientBlockRoute &Route : Routes) {
    CloseBlocksUpTo(Route.Block_.Address_);
    appendRange(Route.Block_.Address_, Route.Zone_);
    OpenBlocks.push_back({getEnd(Route.Block_), Route.Zone_});
  }
  CloseBlocksUpTo(AddressCount);
  RangeStarts_.shrink_to_fit();
  RangeZones_.shrink_to_fit();
}

void ClientBlockTable::appendRange(uint64_t Begin, ZoneIndex Zone) {
  if (Begin >= AddressCount)
    return;
  auto Address = static_cast<uint32_t>(Begin);
  if (!RangeStarts_.empty() && RangeStarts_.back() == Address) {
    RangeZones_.back() = Zone;
    return;
  }
  if (!RangeZones_.empty() && RangeZones_.back() == Zone)
    return;
  RangeStarts_.push_back(Address);
  RangeZones_.push_back(Zone);
}

ZoneIndex ClientBlockTable::findZone(uint32_t Address) const {
  auto After =
      std::upper_bound(RangeStarts_.begin(), RangeStarts_.end(), Address);
  if (After == RangeStarts_.begin())
    return ZoneIndex::invalid();
  return RangeZones_[static_cast<size_t>(After - RangeStarts_.begin()) - 1];
}

size_t ClientBlockTable::getByteSize() const {
  return RangeStarts_.capacity() * sizeof(uint32_t) +
         RangeZones_.capacity() * sizeof(ZoneIndex);
}

} // namespace cranberry
