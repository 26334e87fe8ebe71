/// \file workspace_key.cpp Digest that stands for a workspace's API key.
#include "version/workspace_key_type.h"

#include <sodium.h>

#include <stdexcept>

namespace cranberry {

namespace {

/// Secret of the digests of this process.
class DigestSecret {
public:
  DigestSecret() {
    if (sodium_init() < 0)
      throw std::runtime_error("the cryptography library can't be initialized");
    crypto_generichash_keygen(Value_.data());
  }

  const unsigned char *getData() const { return Value_.data(); }
  static constexpr size_t Bytes = crypto_generichash_KEYBYTES;

private:
  std::array<unsigned char, Bytes> Value_; ///< Random bytes.
};

const unsigned char *toBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

WorkspaceKeyDigest::WorkspaceKeyDigest(std::string_view Key) {
  static const DigestSecret Secret;
  crypto_generichash(Value_.data(), Value_.size(), toBytes(Key), Key.size(),
                     Secret.getData(), DigestSecret::Bytes);
}

bool operator==(const WorkspaceKeyDigest &A, const WorkspaceKeyDigest &B) {
  return sodium_memcmp(A.Value_.data(), B.Value_.data(),
                       WorkspaceKeyDigest::Bytes) == 0;
}

std::string getKeyFingerprint(std::string_view Key) {
  constexpr size_t ShownBytes = 4;
  std::array<unsigned char, crypto_generichash_BYTES> Digest;
  crypto_generichash(Digest.data(), Digest.size(), toBytes(Key), Key.size(),
                     nullptr, 0);
  std::array<char, 2 * ShownBytes + 1> Hex;
  sodium_bin2hex(Hex.data(), Hex.size(), Digest.data(), ShownBytes);
  return Hex.data();
}

} // namespace cranberry
