#include "decisions/layer_range.h"

namespace wisteriayoke {

bool CoversAllLayers(const std::vector<LayerRange>& ranges,
                     std::uint32_t layer_count) {
  std::uint32_t next = 0;
  for (const auto& range : ranges) {
    if (range.first != next || range.end <= range.first) return false;
    next = range.end;
  }
  return next == layer_count;
}

}  // namespace wisteriayoke
