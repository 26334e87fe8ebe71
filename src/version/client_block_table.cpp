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
  return Block.Address_ + (uint64_t{1} << (AddressBits - Block.Length_));
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
  Begins_.reserve(Routes.size());
  Zones_.reserve(Routes.size());
  std::vector<OpenBlock> Open;
  auto CloseUpto = [&](uint64_t Address) {
    while (!Open.empty() && Open.back().End_ <= Address) {
      uint64_t End = Open.back().End_;
      Open.pop_back();
      addRange(End, Open.empty() ? ZoneIndex::invalid() : Open.back().Zone_);
    }
  };
  for (const ClientBlockRoute &Route : Routes) {
    CloseUpto(Route.Block_.Address_);
    addRange(Route.Block_.Address_, Route.Zone_);
    Open.push_back({getEnd(Route.Block_), Route.Zone_});
  }
  CloseUpto(AddressCount);
  Begins_.shrink_to_fit();
  Zones_.shrink_to_fit();
}

void ClientBlockTable::addRange(uint64_t Begin, ZoneIndex Zone) {
  if (Begin >= AddressCount)
    return;
  auto Address = static_cast<uint32_t>(Begin);
  if (!Begins_.empty() && Begins_.back() == Address) {
    Zones_.back() = Zone;
    return;
  }
  if (!Zones_.empty() && Zones_.back() == Zone)
    return;
  Begins_.push_back(Address);
  Zones_.push_back(Zone);
}

ZoneIndex ClientBlockTable::findZone(uint32_t Address) const {
  auto After = std::upper_bound(Begins_.begin(), Begins_.end(), Address);
  if (After == Begins_.begin())
    return ZoneIndex::invalid();
  return Zones_[static_cast<size_t>(After - Begins_.begin()) - 1];
}

size_t ClientBlockTable::getByteSize() const {
  return Begins_.capacity() * sizeof(uint32_t) +
         Zones_.capacity() * sizeof(ZoneIndex);
}

} // namespace cranberry
