/// \file retry_budget_base.h Bounds added load to a share of useful load.
#ifndef CRANBERRY_REQUEST_RETRY_BUDGET_BASE_H
#define CRANBERRY_REQUEST_RETRY_BUDGET_BASE_H

#include "core/time_type.h"

#include <algorithm>
#include <optional>

namespace cranberry {

/// Running time that retries and hedges may add.
///
/// It is counted in running time and not in attempts, because the attempts
/// that are hedged are the long ones: a tenth more attempts can be half as much
/// load again. A first attempt earns a share of its running time; an added one
/// is charged its estimate when it starts and the difference when it ends.
class RetryBudget {
public:
  /// \param Ratio Added running time for each unit of first attempts.
  /// \param BurstAttempts Most estimates that are saved up.
  RetryBudget(double Ratio, int BurstAttempts)
      : Ratio_(Ratio), BurstAttempts_(BurstAttempts) {}

  /// A first attempt has ended after \p Ran.
  void earn(Duration Ran) {
    Mean_ += (Ran - Mean_) / MeanWeight;
    Duration Earned(
        static_cast<int64_t>(Ratio_ * static_cast<double>(Ran.count())));
    Balance_ = std::min(Balance_ + Earned, BurstAttempts_ * Mean_);
  }

  /// Pays for one more attempt if the balance allows it.
  /// \param Estimate Expected running time of the attempt.
  /// \return What was charged, or nothing if it may not start.
  std::optional<Duration> trySpend(Duration Estimate) {
    Duration Charge = std::max({Estimate, Mean_, Duration(1)});
    if (Balance_ < Charge)
      return std::nullopt;
    Balance_ -= Charge;
    ++AddedAttempts_;
    return Charge;
  }

  /// An added attempt that was charged \p Charge has ended after \p Ran.
  void settle(Duration Ran, Duration Charge) { Balance_ -= Ran - Charge; }

  /// \return Attempts added so far.
  unsigned long getAddedAttempts() const { return AddedAttempts_; }

private:
  static constexpr int MeanWeight = 32; ///< A new value counts for 1/32.

  double Ratio_;        ///< Earned for each unit of running time.
  int BurstAttempts_;   ///< Most estimates saved up.
  Duration Mean_{0};    ///< Smoothed running time of first attempts.
  Duration Balance_{0}; ///< Running time that may be added; may be debt.
  unsigned long AddedAttempts_ = 0; ///< Attempts added in all.
};

} // namespace cranberry

#endif
