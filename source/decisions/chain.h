#ifndef WISTERIAYOKE_DECISIONS_CHAIN_H_
#define WISTERIAYOKE_DECISIONS_CHAIN_H_

#include <optional>
#include <vector>

#include "base/ids.h"
#include "decisions/layer_range.h"
#include "decisions/table_spec.h"
#include "decisions/upstream_book.h"

namespace wisteriayoke {

/// One engine of a chain and the layers that it runs in it.
struct Stage {
  UpstreamName upstream;
  Endpoint endpoint;
  LayerRange layers;
};

/// Engines that together run every layer of a model once, in order.
using Chain = std::vector<Stage>;

/// Chooses the chain with the lowest cost over `usable` engines, where the cost
/// counts load on each engine and the links between data centres. Returns
/// nothing if the engines can't cover the pool's layers.
std::optional<Chain> ChooseChain(const Pool& pool,
                                 const std::vector<const UpstreamSpec*>& usable,
                                 const UpstreamBook& book);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_CHAIN_H_
