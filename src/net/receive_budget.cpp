/// \file receive_budget.cpp Bounds the memory of responses in transit.
#include "net/receive_budget_base.h"

#include <algorithm>

namespace cranberry {

void ReceiveBudget::update(ServerConnection *Connection, size_t Bytes) {
  auto Known = Buffered_.try_emplace(Connection).first;
  Total_ = Total_ - Known->second + Bytes;
  Known->second = Bytes;
  if (Bytes == 0)
    Buffered_.erase(Known);
}

ServerConnection *ReceiveBudget::findExcess() const {
  if (Total_ <= MaxBytes)
    return nullptr;
  return std::max_element(
             Buffered_.begin(), Buffered_.end(),
             [](const auto &A, const auto &B) { return A.second < B.second; })
      ->first;
}

} // namespace cranberry
