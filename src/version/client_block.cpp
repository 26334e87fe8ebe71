/// \file client_block.cpp Parses IPv4 addresses and prefixes.
#include "version/client_block_func.h"

#include <charconv>

namespace cranberry {

namespace {

/// Parses a decimal number at the start of \p Text and removes it from \p Text.
/// \return The number, or std::nullopt if there is none or it exceeds
/// \p Maximum.
std::optional<uint32_t> consumeNumber(std::string_view &Text,
                                      uint32_t Maximum) {
  uint32_t Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || Value > Maximum)
    return std::nullopt;
  Text.remove_prefix(static_cast<size_t>(End - Text.data()));
  return Value;
}

} // namespace

std::optional<uint32_t> parseIpv4(std::string_view Text) {
  constexpr int Octets = 4;
  constexpr uint32_t MaxOctet = 255;
  constexpr int BitsPerOctet = 8;
  uint32_t Address = 0;
  for (int I = 0; I < Octets; ++I) {
    if (I > 0) {
      if (Text.empty() || Text.front() != '.')
        return std::nullopt;
      Text.remove_prefix(1);
    }
    std::optional<uint32_t> Octet = consumeNumber(Text, MaxOctet);
    if (!Octet)
      return std::nullopt;
    Address = Address << BitsPerOctet | *Octet;
  }
  if (!Text.empty())
    return std::nullopt;
  return Address;
}

std::optional<ClientBlock> parseClientBlock(std::string_view Text) {
  constexpr uint32_t AddressBits = 32;
  size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  std::optional<uint32_t> Address = parseIpv4(Text.substr(0, Slash));
  std::string_view Rest = Text.substr(Slash + 1);
  std::optional<uint32_t> Length = consumeNumber(Rest, AddressBits);
  if (!Address || !Length || !Rest.empty())
    return std::nullopt;
  uint64_t HostMask = (uint64_t{1} << (AddressBits - *Length)) - 1;
  if ((*Address & HostMask) != 0)
    return std::nullopt;
  return ClientBlock{*Address, static_cast<uint8_t>(*Length)};
}

} // namespace cranberry
