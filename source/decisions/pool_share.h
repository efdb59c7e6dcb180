#ifndef WISTERIAYOKE_DECISIONS_POOL_SHARE_H_
#define WISTERIAYOKE_DECISIONS_POOL_SHARE_H_

#include <cstdint>

#include "decisions/peer_loads.h"
#include "decisions/table_set.h"
#include "decisions/upstream_tracker.h"

namespace wisteriayoke {

/// Number of requests that one daemon may have in flight at a pool.
struct PoolShare {
  /// The even share, or more if the other daemons leave slots free.
  std::uint32_t slots = 0;
  /// The slots divided evenly among the daemons. Work that holds a slot for
  /// long is limited to it, since borrowed slots must be returned soon.
  std::uint32_t even_slots = 0;
};

/// Computes this daemon's share of `pool`; for a model, the least of any layer.
PoolShare ComputePoolShare(const Pool& pool, const UpstreamTracker& tracker,
                           const PeerLoads& peer_loads, TimePoint now);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_POOL_SHARE_H_
