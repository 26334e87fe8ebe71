/// \file idempotency_table_base.h Runs a keyed request at most once.
#ifndef CRANBERRY_REQUEST_IDEMPOTENCY_TABLE_BASE_H
#define CRANBERRY_REQUEST_IDEMPOTENCY_TABLE_BASE_H

#include "core/result_type.h"
#include "request/idempotency_key_func.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cranberry {

/// A complete response from a backend server.
struct RecordedResponse {
  int Status_ = 0;                                           ///< HTTP status.
  std::vector<std::pair<std::string, std::string>> Headers_; ///< Name, value.
  std::string Body_;                                         ///< Complete body.
};
using RecordedResponsePtr = std::shared_ptr<const RecordedResponse>;

/// The key is new: the caller starts the request now and then records its
/// response, an unknown result, or that it did not run.
struct KeyIsNew {};
/// The request is already running; the caller waits for its result.
struct KeyIsRunning {};
/// The request has completed.
struct KeyIsDone {
  RecordedResponsePtr Response_; ///< Recorded response.
};
/// The request is refused and not started.
struct KeyIsRefused {
  ResultCode Code_; ///< Reason for the refusal.
};
using KeyState = std::variant<KeyIsNew, KeyIsRunning, KeyIsDone, KeyIsRefused>;

/// Stores every key whose request this incarnation has started.
///
/// Keys carry the epoch in which they were created. The table keeps keys of the
/// current epoch and of the RememberedEpochs before it, and refuses older keys
/// that it does not hold. So expiry can't lead to a second run, and no shared
/// clock is needed. A full table refuses new keys; it never evicts one.
class IdempotencyTable {
public:
  /// Number of epochs before the current one whose keys are kept.
  static constexpr uint64_t RememberedEpochs = 2;

  /// \param Vm Name of this entry VM.
  /// \param Incarnation Incarnation of this process.
  /// \param MaxKeys Maximum number of stored keys.
  /// \param MaxResponseBytes Maximum size of all stored response bodies in
  /// bytes.
  IdempotencyTable(std::string Vm, uint64_t Incarnation, size_t MaxKeys,
                   size_t MaxResponseBytes);

  /// Advances to \p Epoch and drops the keys that have expired.
  void setEpoch(uint64_t Epoch);

  /// Handles a request with \p Key that has arrived at its home VM.
  /// \param Fingerprint Hash of method, path and body.
  KeyState begin(const IdempotencyKey &Key, uint64_t Fingerprint);

  /// Records the response of a request that has run.
  void recordResponse(const IdempotencyKey &Key, RecordedResponsePtr Response);

  /// Removes the key of a request that provably did not run; a retry may start
  /// it again.
  void remove(const IdempotencyKey &Key);

  /// Records that the request may or may not have run; it is never started
  /// again.
  void recordUnknown(const IdempotencyKey &Key, ResultCode Code);

  size_t getSize() const { return Entries_.size(); }

private:
  struct Running {};
  struct Unknown {
    ResultCode Code_; ///< Result that left the outcome unknown.
  };
  struct Entry {
    uint64_t Epoch_;       ///< Epoch in which the key was created.
    uint64_t Fingerprint_; ///< Detects a different request with the same key.
    /// Progress or result.
    std::variant<Running, RecordedResponsePtr, Unknown> State_;
  };

  Entry *find(const IdempotencyKey &Key);

  std::string Vm_;           ///< Name of this entry VM.
  uint64_t Incarnation_;     ///< Incarnation of this process.
  size_t MaxKeys_;           ///< Maximum number of keys.
  size_t MaxResponseBytes_;  ///< Maximum size of stored responses in bytes.
  size_t ResponseBytes_ = 0; ///< Current size of stored responses in bytes.
  uint64_t Epoch_ = 0;       ///< Current epoch.
  absl::flat_hash_map<std::string, Entry> Entries_; ///< By "epoch/nonce".
};

} // namespace cranberry

#endif
