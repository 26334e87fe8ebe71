/// \file link_budget_base.h This VM's share of a link's cap.
#ifndef CRANBERRY_PROCESS_LINK_BUDGET_BASE_H
#define CRANBERRY_PROCESS_LINK_BUDGET_BASE_H

#include "core/time_type.h"

#include <algorithm>
#include <cstddef>

namespace cranberry {

/// Token bucket of bytes towards one region.
///
/// Holds at all times: bytes taken in any window of length T are at most
/// rate * (T + BurstTime), and a message larger than the burst waits until the
/// debt of those before it is paid.
class LinkBudget {
public:
  LinkBudget() = default;

  /// \param BytesPerSecond This VM's share of the cap.
  void setRate(double BytesPerSecond, Time Now) {
    refill(Now);
    Rate_ = BytesPerSecond;
    Tokens_ = std::min(Tokens_, getBurst());
  }

  /// Takes \p Bytes if the bucket is not in debt.
  /// \return Whether they may be sent now.
  bool tryConsume(size_t Bytes, Time Now) {
    refill(Now);
    if (Tokens_ <= 0)
      return false;
    Tokens_ -= static_cast<double>(Bytes);
    return true;
  }

  /// \return When trySend() can next succeed.
  Time getReadyTime(Time Now) {
    refill(Now);
    if (Tokens_ > 0 || Rate_ <= 0)
      return Now;
    constexpr double MicrosPerSecond = 1e6;
    auto Micros = static_cast<int64_t>(-Tokens_ / Rate_ * MicrosPerSecond);
    return Now + Duration(Micros + 1);
  }

private:
  /// Share of a second that may be sent at once.
  static constexpr double BurstSeconds = 0.05;

  double getBurst() const { return Rate_ * BurstSeconds; }

  void refill(Time Now) {
    if (LastRefill_ != Time() && Now > LastRefill_)
      Tokens_ = std::min(
          getBurst(),
          Tokens_ +
              Rate_ * std::chrono::duration<double>(Now - LastRefill_).count());
    else if (LastRefill_ == Time())
      Tokens_ = getBurst();
    LastRefill_ = std::max(LastRefill_, Now);
  }

  double Rate_ = 0;   ///< Bytes a second.
  double Tokens_ = 0; ///< Bytes that may be sent; negative is debt.
  Time LastRefill_;   ///< Last refill.
};

} // namespace cranberry

#endif
