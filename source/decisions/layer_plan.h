#ifndef WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_
#define WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "decisions/layer_range.h"
#include "decisions/layered_model.h"

namespace wisteriayoke {

/// The accelerator of an upstream that can be ordered to hold layers.
struct LayerCard {
  UpstreamName name;
  DataCentreName data_centre;
  double memory_mb = 0;
  LayerRange held;              ///< Layers held or being loaded; empty if none.
  bool loading = false;         ///< Whether it can't accept an order now.
  std::uint32_t in_flight = 0;  ///< Requests running on it.
};

/// The layers that each upstream should hold.
using LayerPlan = std::map<UpstreamName, LayerRange>;

/// Distributes the layers of `model` over `cards`.
///
/// Each data centre with enough memory forms a group with whole copies of its
/// own, so that no request crosses data centres; the cards of all others form
/// one group. A card keeps the layers it holds while they are needed. Layers
/// that no card of a group holds are assigned to an empty card or to one whose
/// layers other cards hold as well. Idle cards are preferred, since a card
/// gives up layers only after its requests have ended. A group that already
/// holds layers keeps one empty card in reserve for the next gap. No card gets
/// more layers than fit in its memory.
LayerPlan PlanLayers(const LayeredModel& model,
                     const std::vector<LayerCard>& cards);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_
