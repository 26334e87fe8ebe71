/// \file idempotency_table_base.h Runs a request that may not be repeated once.
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

/// A whole answer from a backend server.
struct RecordedResponse {
  int Status_ = 0;                                           ///< HTTP status.
  std::vector<std::pair<std::string, std::string>> Headers_; ///< Name, value.
  std::string Body_;                                         ///< Whole body.
};
using RecordedResponsePtr = std::shared_ptr<const RecordedResponse>;

/// The request must be started now; end it with record() or forget().
struct KeyIsNew {};
/// The request is running; wait for its end.
struct KeyIsRunning {};
/// The request has run.
struct KeyIsDone {
  RecordedResponsePtr Response_; ///< Recorded answer.
};
/// The request is not started.
struct KeyIsRefused {
  ResultCode Code_; ///< Why.
};
using KeyState = std::variant<KeyIsNew, KeyIsRunning, KeyIsDone, KeyIsRefused>;

/// Remembers every key that this incarnation has started.
///
/// Keys carry the epoch in which they were made. The table remembers the
/// current epoch and RememberedEpochs before it, and refuses older keys as
/// unknown, so that forgetting can't lead to a second run and no clock is
/// shared. A full table refuses new keys; it never evicts.
class IdempotencyTable {
public:
  /// Epochs before the current one whose keys are remembered.
  static constexpr uint64_t RememberedEpochs = 2;

  /// \param Vm Name of this entry VM.
  /// \param Incarnation Incarnation of this process.
  /// \param MaxKeys Most keys that are remembered.
  /// \param MaxAnswerBytes Most bytes of answers that are remembered.
  IdempotencyTable(std::string Vm, uint64_t Incarnation, size_t MaxKeys,
                   size_t MaxAnswerBytes);

  /// Moves to \p Epoch and forgets keys that are too old.
  void setEpoch(uint64_t Epoch);

  /// A request with \p Key has arrived at its home.
  /// \param Fingerprint Hash of method, path and body.
  KeyState begin(const IdempotencyKey &Key, uint64_t Fingerprint);

  /// The request has run, and this is its answer.
  void recordResponse(const IdempotencyKey &Key, RecordedResponsePtr Answer);

  /// The request provably did not run; a repeat may start it.
  void remove(const IdempotencyKey &Key);

  /// It is not known whether the request ran; it is never started again.
  void recordUnknown(const IdempotencyKey &Key, ResultCode Code);

  size_t getSize() const { return Entries_.size(); }

private:
  struct Running {};
  struct Unknown {
    ResultCode Code_; ///< Why nothing is known.
  };
  struct Entry {
    uint64_t Epoch_;       ///< Epoch in which the key was made.
    uint64_t Fingerprint_; ///< Tells another request with the same key.
    std::variant<Running, RecordedResponsePtr, Unknown>
        State_; ///< Where it stands.
  };

  Entry *find(const IdempotencyKey &Key);

  std::string Vm_;           ///< Name of this entry VM.
  uint64_t Incarnation_;     ///< Incarnation of this process.
  size_t MaxKeys_;           ///< Most keys.
  size_t MaxResponseBytes_;  ///< Most bytes of answers.
  size_t ResponseBytes_ = 0; ///< Bytes of answers now.
  uint64_t Epoch_ = 0;       ///< Current epoch.
  absl::flat_hash_map<std::string, Entry> Entries_; ///< By "epoch/nonce".
};

} // namespace cranberry

#endif
