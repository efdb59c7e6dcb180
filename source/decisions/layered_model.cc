#include "decisions/layered_model.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

constexpr double kBytesPerMb = 1e6;

/// Returns the KV cache of one token in one layer, in megabytes.
double KvMbPerLayer(const LayeredModel& model) {
  return model.kv_token_bytes / kBytesPerMb / model.layer_count;
}

}  // namespace

std::uint32_t MaxLayers(const LayeredModel& model, double memory_mb) {
  return LayersBesideTokens(model, memory_mb, 0);
}

std::uint32_t LayersBesideTokens(const LayeredModel& model, double memory_mb,
                                 double tokens) {
  if (model.layer_count == 0 || model.layer_mb <= 0) return 0;
  const double per_layer = model.layer_mb + tokens * KvMbPerLayer(model);
  const auto layers = static_cast<std::uint32_t>(memory_mb / per_layer);
  return std::min(layers, model.layer_count);
}

double TokensBesideLayers(const LayeredModel& model, double memory_mb,
                          std::uint32_t layers) {
  if (layers == 0 || model.kv_token_bytes <= 0) return 0;
  const double free_mb = memory_mb - model.layer_mb * layers;
  return std::max(0.0, free_mb / (KvMbPerLayer(model) * layers));
}

double RelativeSlowdown(const LayeredModel& model,
                        const Accelerator& accelerator, double slowdown) {
  double slowest = 0;
  for (const auto& [name, kind] : model.accelerators) {
    slowest = std::max(slowest, kind.step_factor);
  }
  if (slowest <= 0) return 1;
  return std::max(1.0, accelerator.step_factor * slowdown / slowest);
}

}  // namespace wisteriayoke
