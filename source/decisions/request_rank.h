#ifndef WISTERIAYOKE_DECISIONS_REQUEST_RANK_H_
#define WISTERIAYOKE_DECISIONS_REQUEST_RANK_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>

namespace wisteriayoke {

/// Priorities that the operator gave to the workspace and to the route of a
/// request; 0 is the most urgent. The workspace's is compared first.
struct PriorityPair {
  std::uint32_t workspace = 0;
  std::uint32_t route = 0;

  friend auto operator<=>(const PriorityPair&, const PriorityPair&) = default;
};

/// Returns the pair of a request, or nothing if it has no priority at all. A
/// request whose workspace has none counts with its route's in both places; a
/// route without one counts as kDefaultRoutePriority.
std::optional<PriorityPair> CombinePriorities(
    std::optional<std::uint32_t> workspace, std::optional<std::uint32_t> route);

/// Priority of a route that has none, if its request's workspace has one: that
/// of an ordinary route, between the urgent and the deferrable.
inline constexpr std::uint32_t kDefaultRoutePriority = 1;

/// Position of a request among the distinct priorities of its pool; 0 is the
/// most urgent.
struct RequestRank {
  /// Largest urgency number that upstreams accept.
  static constexpr std::uint32_t kMaxUrgency = 9;
  /// Urgency that upstreams assume of a request without a number.
  static constexpr std::uint32_t kDefaultUrgency = 5;

  std::uint32_t index = 0;

  /// Returns the number that upstreams are sent.
  std::uint32_t urgency() const { return std::min(index, kMaxUrgency); }

  friend auto operator<=>(const RequestRank&, const RequestRank&) = default;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_REQUEST_RANK_H_
