/// \file workspace_key_type.h Digest that stands for a workspace's API key.
#ifndef CRANBERRY_VERSION_WORKSPACE_KEY_TYPE_H
#define CRANBERRY_VERSION_WORKSPACE_KEY_TYPE_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace cranberry {

/// Keyed digest of an API key. It replaces the key wherever the key would be
/// stored. The digest's secret is drawn by each process, so that digests mean
/// nothing elsewhere and hash tables of them can't be flooded.
class WorkspaceKeyDigest {
public:
  static constexpr size_t Bytes = 32;

  /// Computes the digest of \p Key.
  explicit WorkspaceKeyDigest(std::string_view Key);

  /// Compares in a time that depends on neither digest.
  friend bool operator==(const WorkspaceKeyDigest &A,
                         const WorkspaceKeyDigest &B);

  /// Hashes the digest for Abseil's tables, which look for this name.
  template <typename H>
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend H AbslHashValue(H State, const WorkspaceKeyDigest &Digest) {
    return H::combine(std::move(State), Digest.Value_);
  }

private:
  std::array<unsigned char, Bytes> Value_; ///< Digest.
};

/// \return Eight hexadecimal digits that identify \p Key in logs, the same on
/// every VM. The key can't be told from them.
std::string getKeyFingerprint(std::string_view Key);

} // namespace cranberry

#endif
