/// \file link_budget_base.h Token bucket for traffic to another region.
#ifndef CRANBERRY_PROCESS_LINK_BUDGET_BASE_H
#define CRANBERRY_PROCESS_LINK_BUDGET_BASE_H

#include "core/time_type.h"

#include <algorithm>
#include <cstddef>

namespace cranberry {

/// Token bucket that limits the bytes this VM sends to one region.
///
/// Invariant: the bytes consumed in any window of T seconds are at most
/// rate * (T + BurstSeconds) plus one message. A message may take the balance
/// below zero; further messages wait until it is positive again, so a message
/// larger than the burst can still be sent.
class LinkBudget {
public:
  LinkBudget() = default;

  /// Changes the rate; tokens above the new burst size are dropped.
  /// \param BytesPerSecond This VM's share of the link's cap.
  void setRate(double BytesPerSecond, Time Now) {
    refill(Now);
    Rate_ = BytesPerSecond;
    Tokens_ = std::min(Tokens_, getBurst());
  }

  /// Consumes \p Bytes tokens if the balance is positive.
  /// \return Whether the bytes may be sent now.
  bool tryConsume(size_t Bytes, Time Now) {
    refill(Now);
    if (Tokens_ <= 0)
      return false;
    Tokens_ -= static_cast<double>(Bytes);
    return true;
  }

  /// \return Earliest time at which tryConsume() can succeed; \p Now if the
  /// rate is zero.
  Time getReadyTime(Time Now) {
    refill(Now);
    if (Tokens_ > 0 || Rate_ <= 0)
      return Now;
    constexpr double MicrosPerSecond = 1e6;
    auto Micros = static_cast<int64_t>(-Tokens_ / Rate_ * MicrosPerSecond);
    return Now + Duration(Micros + 1);
  }

private:
  /// Burst size, in seconds of traffic at the current rate.
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

  double Rate_ = 0;   ///< Refill rate, in bytes per second.
  double Tokens_ = 0; ///< Balance in bytes; may be negative.
  Time LastRefill_;   ///< Time of the last refill.
};

} // namespace cranberry

#endif
