/// \file strong_index_type.h Index types that can't be mixed up.
#ifndef CRANBERRY_CORE_STRONG_INDEX_TYPE_H
#define CRANBERRY_CORE_STRONG_INDEX_TYPE_H

#include <cstdint>
#include <limits>
#include <utility>

namespace cranberry {

/// An integer identifier of one kind of thing.
/// \tparam Tag Makes the type distinct.
/// \tparam Rep Underlying unsigned integer.
template <typename Tag, typename Rep = uint32_t> class StrongIndex {
public:
  constexpr StrongIndex() = default;
  constexpr explicit StrongIndex(Rep Value) : Value_(Value) {}

  /// \return The index that names nothing.
  static constexpr StrongIndex invalid() { return StrongIndex(); }

  constexpr bool isValid() const { return Value_ != InvalidValue; }
  constexpr Rep get() const { return Value_; }

  friend constexpr bool operator==(StrongIndex, StrongIndex) = default;
  friend constexpr bool operator<(StrongIndex A, StrongIndex B) {
    return A.Value_ < B.Value_;
  }
  friend constexpr bool operator>(StrongIndex A, StrongIndex B) {
    return B < A;
  }

  // The name is Abseil's. NOLINTNEXTLINE(readability-identifier-naming)
  template <typename H> friend H AbslHashValue(H State, StrongIndex Index) {
    return H::combine(std::move(State), Index.Value_);
  }

private:
  static constexpr Rep InvalidValue = std::numeric_limits<Rep>::max();

  Rep Value_ = InvalidValue; ///< The number itself.
};

} // namespace cranberry

#endif
