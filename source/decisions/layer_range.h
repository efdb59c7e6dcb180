#ifndef WISTERIAYOKE_DECISIONS_LAYER_RANGE_H_
#define WISTERIAYOKE_DECISIONS_LAYER_RANGE_H_

#include <compare>
#include <cstdint>
#include <vector>

namespace wisteriayoke {

/// Half-open range of model layers [first, end).
struct LayerRange {
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  friend auto operator<=>(const LayerRange&, const LayerRange&) = default;
};

/// Returns whether `ranges` cover [0, layer_count) in order, without gaps or
/// overlaps.
bool CoversAllLayers(const std::vector<LayerRange>& ranges,
                     std::uint32_t layer_count);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LAYER_RANGE_H_
