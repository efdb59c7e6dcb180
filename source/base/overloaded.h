#ifndef WISTERIAYOKE_BASE_OVERLOADED_H_
#define WISTERIAYOKE_BASE_OVERLOADED_H_

namespace wisteriayoke {

/// Combines lambdas into one visitor for `std::visit`.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_OVERLOADED_H_
