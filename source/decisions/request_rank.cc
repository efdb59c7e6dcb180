#include "decisions/request_rank.h"

namespace wisteriayoke {

std::optional<PriorityPair> CombinePriorities(
    std::optional<std::uint32_t> workspace,
    std::optional<std::uint32_t> route) {
  if (!workspace && !route) return std::nullopt;
  const std::uint32_t of_route = route.value_or(kDefaultRoutePriority);
  return PriorityPair{workspace.value_or(of_route), of_route};
}

}  // namespace wisteriayoke
