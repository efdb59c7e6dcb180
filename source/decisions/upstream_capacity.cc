#include "decisions/upstream_capacity.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

/// Memory that requests of usual length may fill, as a multiple of the memory
/// beside the layers; above 1, it overcommits that memory.
constexpr double kMemoryFactor = 1.05;

}  // namespace

std::uint32_t CountCapacity(const LayeredModel& model,
                            const Accelerator& accelerator,
                            const UpstreamSpec& upstream, double slowdown) {
  const std::uint32_t layers = upstream.layers.end - upstream.layers.first;
  const double tokens =
      TokensBesideLayers(model, accelerator.memory_mb, layers);
  // An upstream that is slower than any usual one holds each request for
  // longer.
  const double capacity = kMemoryFactor * tokens / model.mean_request_tokens /
                          RelativeSlowdown(model, accelerator, slowdown);
  return std::clamp(static_cast<std::uint32_t>(capacity), 1U, upstream.slots);
}

double TokenLayersOf(const LayeredModel& model, const Accelerator& accelerator,
                     const UpstreamSpec& upstream, double slowdown) {
  const std::uint32_t layers = upstream.layers.end - upstream.layers.first;
  return TokensBesideLayers(model, accelerator.memory_mb, layers) * layers /
         RelativeSlowdown(model, accelerator, slowdown);
}

}  // namespace wisteriayoke
