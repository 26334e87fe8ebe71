/// \file retry_budget_base.h Limits the load that retries and hedges add.
#ifndef CRANBERRY_REQUEST_RETRY_BUDGET_BASE_H
#define CRANBERRY_REQUEST_RETRY_BUDGET_BASE_H

#include "core/time_type.h"

#include <algorithm>
#include <optional>

namespace cranberry {

/// Budget for the running time that retries and hedges may add.
///
/// The budget counts running time and not attempts, because long attempts are
/// the ones that are hedged: 10% more attempts can add 50% more load. A first
/// attempt earns a share of its running time; an added one is charged its
/// estimate when it starts and the difference when it ends.
class RetryBudget {
public:
  /// \param Ratio Running time that may be added per unit of first attempts.
  /// \param BurstAttempts Largest balance, in mean running times.
  RetryBudget(double Ratio, int BurstAttempts)
      : Ratio_(Ratio), BurstAttempts_(BurstAttempts) {}

  /// Records a first attempt that ended after \p Ran.
  void earn(Duration Ran) {
    Mean_ += (Ran - Mean_) / MeanWeight;
    Duration Earned(
        static_cast<int64_t>(Ratio_ * static_cast<double>(Ran.count())));
    Balance_ = std::min(Balance_ + Earned, BurstAttempts_ * Mean_);
  }

  /// Charges one added attempt if the balance allows it.
  /// \param Estimate Expected running time of the attempt.
  /// \return The charge, or nothing if the attempt may not start.
  std::optional<Duration> trySpend(Duration Estimate) {
    Duration Charge = std::max({Estimate, Mean_, Duration(1)});
    if (Balance_ < Charge)
      return std::nullopt;
    Balance_ -= Charge;
    ++AddedAttempts_;
    return Charge;
  }

  /// Corrects the charge of an added attempt that ended after \p Ran.
  void settle(Duration Ran, Duration Charge) { Balance_ -= Ran - Charge; }

  /// \return Number of attempts added so far.
  unsigned long getAddedAttempts() const { return AddedAttempts_; }

private:
  static constexpr int MeanWeight = 32; ///< A new sample counts for 1/32.

  double Ratio_;        ///< Share of running time that is earned.
  int BurstAttempts_;   ///< Largest balance, in mean running times.
  Duration Mean_{0};    ///< Smoothed running time of first attempts.
  Duration Balance_{0}; ///< Running time left; negative if overdrawn.
  unsigned long AddedAttempts_ = 0; ///< Number of added attempts.
};

} // namespace cranberry

#endif
