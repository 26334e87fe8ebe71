/// \file weighted_round_robin_base.h Splits the requests of a route by weight.
#ifndef CRANBERRY_REQUEST_WEIGHTED_ROUND_ROBIN_BASE_H
#define CRANBERRY_REQUEST_WEIGHTED_ROUND_ROBIN_BASE_H

#include <cstddef>
#include <vector>

namespace cranberry {

/// Smooth weighted round robin: after any number of requests each target has
/// had its share, to within one request.
class WeightedRoundRobin {
public:
  /// \param Weights Weight of each target; a change restarts the rotation.
  /// \return Index of the target of the next request.
  size_t pick(const std::vector<double> &Weights) {
    if (Weights != Weights_) {
      Weights_ = Weights;
      Credit_.assign(Weights.size(), 0);
    }
    double Sum = 0;
    size_t Best = 0;
    for (size_t I = 0; I < Weights.size(); ++I) {
      Sum += Weights[I];
      Credit_[I] += Weights[I];
      if (Credit_[I] > Credit_[Best])
        Best = I;
    }
    Credit_[Best] -= Sum;
    return Best;
  }

private:
  std::vector<double> Weights_; ///< Weight of each target.
  std::vector<double> Credit_; ///< Share that each target has not yet received.
};

} // namespace cranberry

#endif
