/// \file client_block_table.cpp Longest-prefix search over client blocks.
#include "version/client_block_table_base.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr uint64_t AddressCount = uint64_t{1} << 32;

uint64_t getEnd(const ClientBlock &Block) {
  constexpr int AddressBits = 32;
  return Block.Address_ + (uint64_t{1} << (AddressBits - Block.PrefixLength_));
}

/// A block whose end has not been reached yet.
struct OpenBlock {
  uint64_t End_;   ///< First address after the block.
  ZoneIndex Zone_; ///< Zone of the block.
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
  std::vector<OpenBlock> Open;
  auto CloseUpto = [&](uint64_t Address) {
    while (!Open.empty() && Open.back().End_ <= Address) {
      uint64_t End = Open.back().End_;
      Open.pop_back();
      appendRange(End, Open.empty() ? ZoneIndex::invalid() : Open.back().Zone_);
    }
  };
  for (const ClientBlockRoute &Route : Routes) {
    CloseUpto(Route.Block_.Address_);
    appendRange(Route.Block_.Address_, Route.Zone_);
    Open.push_back({getEnd(Route.Block_), Route.Zone_});
  }
  CloseUpto(AddressCount);
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
