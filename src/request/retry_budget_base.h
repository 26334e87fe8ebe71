/// \file retry_budget_base.h Bounds added load to a share of recent requests.
#ifndef CRANBERRY_REQUEST_RETRY_BUDGET_BASE_H
#define CRANBERRY_REQUEST_RETRY_BUDGET_BASE_H

#include <algorithm>

namespace cranberry {

/// Token bucket that requests fill and added attempts empty.
class RetryBudget {
public:
  /// \param Ratio Added attempts allowed for each request.
  /// \param Burst Most tokens that are saved up.
  RetryBudget(double Ratio, double Burst) : Ratio_(Ratio), Burst_(Burst) {}

  /// Notes a request's first attempt.
  void onRequest() { Tokens_ = std::min(Burst_, Tokens_ + Ratio_); }

  /// \return Whether one more attempt may be added; if so it is paid for.
  bool trySpend() {
    if (Tokens_ < 1.0)
      return false;
    Tokens_ -= 1.0;
    ++Spent_;
    return true;
  }

  /// \return Attempts added so far.
  unsigned long getSpent() const { return Spent_; }

private:
  double Ratio_;            ///< Tokens earned by a request.
  double Burst_;            ///< Most tokens.
  double Tokens_ = 0;       ///< Tokens now.
  unsigned long Spent_ = 0; ///< Tokens spent in all.
};

} // namespace cranberry

#endif
