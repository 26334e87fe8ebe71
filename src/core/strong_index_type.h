/// \file strong_index_type.h Type-safe integer identifiers.
#ifndef CRANBERRY_CORE_STRONG_INDEX_TYPE_H
#define CRANBERRY_CORE_STRONG_INDEX_TYPE_H

#include <cstdint>
#include <limits>
#include <utility>

namespace cranberry {

/// Integer identifier that does not convert to identifiers of other kinds.
/// \tparam Tag Type that distinguishes this kind of identifier.
/// \tparam Rep Underlying unsigned integer type.
template <typename Tag, typename Rep = uint32_t> class StrongIndex {
public:
  constexpr StrongIndex() = default;
  constexpr explicit StrongIndex(Rep Value) : Value_(Value) {}

  /// \return The reserved value that identifies nothing.
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

  // Abseil prescribes the name. NOLINTNEXTLINE(readability-identifier-naming)
  template <typename H> friend H AbslHashValue(H State, StrongIndex Index) {
    return H::combine(std::move(State), Index.Value_);
  }

private:
  static constexpr Rep InvalidValue = std::numeric_limits<Rep>::max();

  Rep Value_ = InvalidValue;
};

} // namespace cranberry

#endif
