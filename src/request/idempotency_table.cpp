/// \file idempotency_table.cpp Runs a request that may not be repeated once.
#include "request/idempotency_table_base.h"

#include "core/overload_type.h"

#include <cassert>

namespace cranberry {

namespace {

std::string getId(const IdempotencyKey &Key) {
  return std::to_string(Key.Epoch_) + "/" + Key.Nonce_;
}

} // namespace

IdempotencyTable::IdempotencyTable(std::string Vm, uint64_t Incarnation,
                                   size_t MaxKeys, size_t MaxAnswerBytes)
    : Vm_(std::move(Vm)), Incarnation_(Incarnation), MaxKeys_(MaxKeys),
      MaxResponseBytes_(MaxAnswerBytes) {}

void IdempotencyTable::setEpoch(uint64_t Epoch) {
  if (Epoch <= Epoch_)
    return;
  Epoch_ = Epoch;
  absl::erase_if(Entries_, [this](const auto &Item) {
    const Entry &E = Item.second;
    bool IsRunning = std::holds_alternative<Running>(E.State_);
    if (IsRunning || E.Epoch_ + RememberedEpochs >= Epoch_)
      return false;
    if (const auto *Known = std::get_if<RecordedResponsePtr>(&E.State_))
      ResponseBytes_ -= (*Known)->Body_.size();
    return true;
  });
}

IdempotencyTable::Entry *IdempotencyTable::find(const IdempotencyKey &Key) {
  auto Found = Entries_.find(getId(Key));
  return Found == Entries_.end() ? nullptr : &Found->second;
}

KeyState IdempotencyTable::begin(const IdempotencyKey &Key,
                                 uint64_t Fingerprint) {
  assert(Key.Vm_ == Vm_);
  if (Key.Incarnation_ != Incarnation_)
    return KeyIsRefused{ResultCode::KeyIncarnationGone};
  if (Key.Epoch_ > Epoch_)
    return KeyIsRefused{ResultCode::KeyMalformed};
  if (Entry *Known = find(Key)) {
    if (Known->Fingerprint_ != Fingerprint)
      return KeyIsRefused{ResultCode::KeyReused};
    return std::visit(
        Overload{
            [](const Running &) -> KeyState { return KeyIsRunning{}; },
            [](const RecordedResponsePtr &A) -> KeyState {
              return KeyIsDone{A};
            },
            [](const Unknown &U) -> KeyState { return KeyIsRefused{U.Code_}; }},
        Known->State_);
  }
  if (Key.Epoch_ + RememberedEpochs < Epoch_)
    return KeyIsRefused{ResultCode::KeyExpired};
  if (Entries_.size() >= MaxKeys_ || ResponseBytes_ >= MaxResponseBytes_)
    return KeyIsRefused{ResultCode::KeyTableFull};
  Entries_[getId(Key)] = {Key.Epoch_, Fingerprint, Running{}};
  return KeyIsNew{};
}

void IdempotencyTable::recordResponse(const IdempotencyKey &Key,
                                      RecordedResponsePtr Answer) {
  Entry *Known = find(Key);
  assert(Known);
  ResponseBytes_ += Answer->Body_.size();
  Known->State_ = std::move(Answer);
}

void IdempotencyTable::remove(const IdempotencyKey &Key) {
  Entries_.erase(getId(Key));
}

void IdempotencyTable::recordUnknown(const IdempotencyKey &Key,
                                     ResultCode Code) {
  Entry *Known = find(Key);
  assert(Known);
  Known->State_ = Unknown{Code};
}

} // namespace cranberry
