#ifndef WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_
#define WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "decisions/layer_range.h"
#include "decisions/layered_model.h"

namespace wisteriayoke {

/// An upstream that can be told which layers to hold.
struct LayerCard {
  UpstreamName name;
  DataCentreName data_centre;
  double memory_mb = 0;
  LayerRange held;       ///< What it holds or is loading; empty if nothing.
  bool loading = false;  ///< Whether it takes no order now.
  std::uint32_t in_flight = 0;  ///< Requests that work on it.
};

/// Which layers each card is to hold.
using LayerPlan = std::map<UpstreamName, LayerRange>;

/// Spreads the layers of `model` over `cards`.
///
/// Each data centre that has the memory gets whole copies of its own, so that
/// no request crosses the links between them; cards of the others are joined.
/// A card keeps what it holds while that is needed. Layers that no card of its
/// group holds are given to an empty card or to one whose layers others hold
/// too, first to one that no request works on, since the others give up layers
/// only when their requests have ended. In a group that serves already, one
/// empty card is kept for the next gap. No card gets more than its memory
/// holds.
LayerPlan PlanLayers(const LayeredModel& model,
                     const std::vector<LayerCard>& cards);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_
