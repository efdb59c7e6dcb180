#ifndef WISTERIAYOKE_DECISIONS_POOL_SHARE_H_
#define WISTERIAYOKE_DECISIONS_POOL_SHARE_H_

#include <cstdint>

#include "decisions/peer_loads.h"
#include "decisions/table_set.h"
#include "decisions/upstream_tracker.h"

namespace wisteriayoke {

/// What one daemon may have in flight at a pool.
struct PoolShare {
  /// Its even share, or more where the other daemons leave slots free.
  std::uint32_t slots = 0;
  /// Its even share among the daemons that use the pool. Work that holds a
  /// slot for long keeps to it, since what is borrowed must come back soon.
  std::uint32_t even_slots = 0;
};

/// Computes the share of `pool`; for a model it is the least over all layers.
PoolShare ComputePoolShare(const Pool& pool, const UpstreamTracker& tracker,
                           const PeerLoads& peer_loads, TimePoint now);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_POOL_SHARE_H_
