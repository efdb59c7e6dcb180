#include "decisions/pool_share.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace wisteriayoke {
namespace {

/// Part of the other daemons' shares that isn't borrowed, so that their next
/// requests find a slot before the next exchange of counts.
constexpr double kUnborrowedShare = 0.1;

/// Slots of the usable upstreams that hold one layer, and their use.
struct LayerUse {
  std::uint32_t slots = 0;
  std::uint32_t others = 0;  ///< Requests of other daemons in flight.
};

PoolShare ShareOf(const LayerUse& use, std::size_t daemons) {
  const auto even_slots =
      static_cast<std::uint32_t>((use.slots + daemons - 1) / daemons);
  const auto kept = static_cast<std::uint32_t>(std::ceil(
      kUnborrowedShare * even_slots * static_cast<double>(daemons - 1)));
  const std::uint32_t taken = use.others + kept;
  const std::uint32_t free = use.slots > taken ? use.slots - taken : 0;
  return {std::max(even_slots, free), even_slots};
}

bool Holds(const Pool& pool, const UpstreamSpec& upstream,
           std::uint32_t layer) {
  if (pool.kind == RouteKind::kService) return true;
  return upstream.layers.first <= layer && layer < upstream.layers.end;
}

}  // namespace

PoolShare ComputePoolShare(const Pool& pool, const UpstreamTracker& tracker,
                           const PeerLoads& peer_loads, TimePoint now) {
  std::set<std::uint32_t> layers{0};
  for (const auto& upstream : pool.upstreams) {
    layers.insert(upstream.layers.first);
  }
  const auto usable = tracker.ListUsable(pool, {}, now);
  const std::size_t daemons = peer_loads.CountPeers() + 1;
  std::optional<PoolShare> least;
  for (const std::uint32_t layer : layers) {
    LayerUse use;
    for (const auto* upstream : usable) {
      if (!Holds(pool, *upstream, layer)) continue;
      use.slots += tracker.CountSlots(*upstream, now);
      use.others += peer_loads.InFlightOf(upstream->name);
    }
    const PoolShare share = ShareOf(use, daemons);
    if (!least || share.slots < least->slots) least = share;
  }
  return least.value_or(PoolShare{});
}

}  // namespace wisteriayoke
