#ifndef WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_
#define WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "decisions/layer_range.h"
#include "decisions/layered_model.h"

namespace wisteriayoke {

/// An upstream that can be ordered to hold layers in its accelerator's memory.
struct LayerHost {
  UpstreamName name;
  DataCentreName data_centre;
  double memory_mb = 0;
  LayerRange held;              ///< Layers held or being loaded; empty if none.
  bool loading = false;         ///< Whether it can't accept an order now.
  std::uint32_t in_flight = 0;  ///< Requests running on it.
};

/// The layers that each upstream should hold.
using LayerPlan = std::map<UpstreamName, LayerRange>;

/// Distributes the layers of `model` over `hosts`.
///
/// Each data centre with enough memory forms a group with whole copies of its
/// own, so that no request crosses data centres; the hosts of all others form
/// one group. A host keeps the layers it holds while they are needed. Layers
/// that no host of a group holds are assigned to an empty host or to one whose
/// layers other hosts hold as well. Idle hosts are preferred, since a host
/// gives up layers only after its requests have ended. A group that already
/// holds layers keeps one empty host in reserve for the next gap. No host gets
/// more layers than fit in its memory.
LayerPlan PlanLayers(const LayeredModel& model,
                     const std::vector<LayerHost>& hosts);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LAYER_PLAN_H_
