#ifndef WISTERIAYOKE_DECISIONS_CHAIN_H_
#define WISTERIAYOKE_DECISIONS_CHAIN_H_

#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "decisions/chain_speeds.h"
#include "decisions/layer_range.h"
#include "decisions/peer_loads.h"
#include "decisions/table_spec.h"
#include "decisions/upstream_tracker.h"

namespace wisteriayoke {

/// One engine of a chain and the layers that it runs in it.
struct Stage {
  UpstreamName upstream;
  Endpoint endpoint;
  LayerRange layers;
};

/// Engines that together run every layer of a model once, in order.
using Chain = std::vector<Stage>;

/// Inputs to the choice of a chain besides the pool and its usable engines.
struct ChainInputs {
  const UpstreamTracker& tracker;
  const PeerLoads& peer_loads;
  const ChainSpeeds& speeds;
  /// Engines that hold the request's KV cache already.
  std::set<UpstreamName> warm;
  TimePoint now;
};

/// Chooses the chain of `usable` engines with the least expected time per
/// token: the sum of the engines' measured times, scaled by their loads, and
/// of the link times between their data centres. Returns nothing if the engines
/// can't cover the pool's layers.
std::optional<Chain> ChooseChain(const Pool& pool,
                                 const std::vector<const UpstreamSpec*>& usable,
                                 const ChainInputs& inputs);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_CHAIN_H_
