/// \file server_slowness_base.h Estimates how slow a server is.
#ifndef CRANBERRY_REQUEST_SERVER_SLOWNESS_BASE_H
#define CRANBERRY_REQUEST_SERVER_SLOWNESS_BASE_H

#include <algorithm>
#include <cmath>

namespace cranberry {

/// Estimates the service time of a server relative to what the same work
/// usually takes.
///
/// A single sample moves the estimate little, as stragglers are common. What
/// two samples in a row agree on is followed fast, so that a few responses show
/// that a server has become slow, and that it has recovered.
class ServerSlowness {
public:
  double get() const { return Value_; }

  /// Records the service time of one request, relative to the usual.
  void record(double Observed) {
    double Step = std::log(std::clamp(Observed, MinValue, MaxValue) / Value_);
    double Agreed = 0;
    if (Step * LastStep_ > 0)
      Agreed =
          std::copysign(std::min(std::abs(Step), std::abs(LastStep_)), Step);
    LastStep_ = Step;
    double Single = std::clamp(Step, -MaxSingleStep, MaxSingleStep);
    Value_ *= std::exp(SingleGain * Single + AgreedGain * Agreed);
    Value_ = std::clamp(Value_, MinValue, MaxValue);
  }

  void reset() { *this = ServerSlowness(); }

private:
  /// Range of the estimate.
  static constexpr double MinValue = 0.5;
  static constexpr double MaxValue = 8;

  /// Bounds one sample, so that a straggler does not dominate; a factor of two.
  static constexpr double MaxSingleStep = 0.7;

  /// Weights of a sample, and of what two agree on.
  static constexpr double SingleGain = 0.1;
  static constexpr double AgreedGain = 0.6;

  double Value_ = 1;    ///< Smoothed ratio of actual to usual time.
  double LastStep_ = 0; ///< Deviation of the last sample, as a logarithm.
};

} // namespace cranberry

#endif
