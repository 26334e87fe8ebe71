/// \file overload_type.h Builds a variant visitor out of lambdas.
#ifndef CRANBERRY_CORE_OVERLOAD_TYPE_H
#define CRANBERRY_CORE_OVERLOAD_TYPE_H

namespace cranberry {

/// A visitor made of one callable for each alternative.
template <typename... Callables> struct Overload : Callables... {
  using Callables::operator()...;
};
template <typename... Callables>
Overload(Callables...) -> Overload<Callables...>;

} // namespace cranberry

#endif
