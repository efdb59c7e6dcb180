#ifndef WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_
#define WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_

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
  LayerRange held;  ///< What it holds or is loading; empty if nothing.
};

/// Which layers each card is to hold.
using LayerPlan = std::map<UpstreamName, LayerRange>;

/// Spreads the layers of `model` over `cards`.
///
/// Each data centre that has the memory gets whole copies of its own, so that
/// no request crosses the links between them; cards of the others are joined.
/// A card keeps what it holds while that is needed: only layers that no card of
/// its group holds are given to empty cards first, then to those whose layers
/// others hold too. No card gets more than its memory holds.
LayerPlan PlanLayers(const LayeredModel& model,
                     const std::vector<LayerCard>& cards);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_
