/// \file part_picker_base.h Splits a route's requests by weight.
#ifndef CRANBERRY_REQUEST_PART_PICKER_BASE_H
#define CRANBERRY_REQUEST_PART_PICKER_BASE_H

#include <cstddef>
#include <vector>

namespace cranberry {

/// Picks parts in turn so that at any time each has had its share, to within
/// one request.
class WeightedRoundRobin {
public:
  /// \param Weights Shares; starts anew if they differ from the last call's.
  /// \return Index of the part that gets the next request.
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
  std::vector<double> Weights_; ///< Shares.
  std::vector<double> Credit_;  ///< What each part is owed.
};

} // namespace cranberry

#endif
