/// \file idempotency_key.cpp Parses idempotency keys.
#include "request/idempotency_key_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cctype>
#include <vector>

namespace cranberry {

std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view Text) {
  constexpr size_t Parts = 4;
  constexpr size_t MinNonce = 8;
  constexpr size_t MaxNonce = 64;
  std::vector<std::string> Fields =
      absl::StrSplit(absl::string_view(Text.data(), Text.size()), '/');
  if (Fields.size() != Parts || Fields[0].empty())
    return std::nullopt;
  IdempotencyKey Key;
  Key.Vm_ = Fields[0];
  Key.Nonce_ = Fields[3];
  bool IsPlain = std::all_of(Key.Nonce_.begin(), Key.Nonce_.end(),
                             [](unsigned char C) { return std::isalnum(C); });
  if (!absl::SimpleAtoi(Fields[1], &Key.Incarnation_) ||
      !absl::SimpleAtoi(Fields[2], &Key.Epoch_) || !IsPlain ||
      Key.Nonce_.size() < MinNonce || Key.Nonce_.size() > MaxNonce)
    return std::nullopt;
  return Key;
}

} // namespace cranberry
