/// \file idempotency_key_func.h Idempotency keys and their parser.
#ifndef CRANBERRY_REQUEST_IDEMPOTENCY_KEY_FUNC_H
#define CRANBERRY_REQUEST_IDEMPOTENCY_KEY_FUNC_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberry {

/// Key of a request that is not safe to run twice.
///
/// Its text form is "vm/incarnation/epoch/nonce". The caller builds it from a
/// lookup response; only that incarnation of that entry VM may start the
/// request.
struct IdempotencyKey {
  std::string Vm_;           ///< Home entry VM.
  uint64_t Incarnation_ = 0; ///< Incarnation of the home VM's process.
  uint64_t Epoch_ = 0;       ///< Home VM's key epoch when the key was made.
  std::string Nonce_;        ///< Random part chosen by the caller, 8 to 64
                             ///< alphanumeric characters.
};

/// \return The key, or nothing if \p Text is malformed.
std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view Text);

} // namespace cranberry

#endif
