#pragma once

namespace teaselwalk {

/// One visitor for `std::visit` from several lambdas.
///
/// ```cpp
/// std::visit(Overloaded{[](int Value) { ... }, [](const auto &) { ... }}, V);
/// ```
template <typename... Kinds> struct Overloaded : Kinds... {
  using Kinds::operator()...;
};
template <typename... Kinds> Overloaded(Kinds...) -> Overloaded<Kinds...>;

} // namespace teaselwalk
