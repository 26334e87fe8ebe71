/// \file overload_type.h Builds a std::variant visitor from lambdas.
#ifndef CRANBERRY_CORE_OVERLOAD_TYPE_H
#define CRANBERRY_CORE_OVERLOAD_TYPE_H

namespace cranberry {

/// Visitor for std::visit that inherits one callable per alternative.
template <typename... Callables> struct Overload : Callables... {
  using Callables::operator()...;
};
template <typename... Callables>
Overload(Callables...) -> Overload<Callables...>;

} // namespace cranberry

#endif
