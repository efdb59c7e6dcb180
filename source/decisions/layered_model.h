#ifndef WISTERIAYOKE_DECISIONS_LAYERED_MODEL_H_
#define WISTERIAYOKE_DECISIONS_LAYERED_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

namespace wisteriayoke {

/// Memory and speed of one kind of accelerator.
struct Accelerator {
  double memory_mb = 0;
  double step_factor = 1;  ///< Time of a token step relative to the model's.
  double read_factor = 1;  ///< Time to read a prompt relative to the model's.
};

/// A model whose layers are spread over several upstreams.
struct LayeredModel {
  std::string name;
  std::uint32_t layer_count = 0;
  double layer_mb = 0;
  double kv_token_bytes = 0;       ///< KV cache of a token, over all layers.
  double mean_request_tokens = 1;  ///< Prompt and answer tokens together.
  double mean_output_tokens = 1;   ///< Answer tokens alone.
  double link_tokens_per_s = 0;    ///< Rate of hidden states a link carries.
  std::map<std::string, Accelerator> accelerators;
};

/// Returns how many layers an accelerator with `memory_mb` can hold.
std::uint32_t MaxLayers(const LayeredModel& model, double memory_mb);

/// Returns how many layers fit in `memory_mb` together with their KV cache of
/// `tokens` tokens.
std::uint32_t LayersBesideTokens(const LayeredModel& model, double memory_mb,
                                 double tokens);

/// Returns the number of tokens whose KV cache fits in `memory_mb` together
/// with `layers` layers.
double TokensBesideLayers(const LayeredModel& model, double memory_mb,
                          std::uint32_t layers);

/// Returns how many times slower an upstream is than the slowest kind of
/// accelerator, at least 1. The upstream has `accelerator` and takes `slowdown`
/// times the usual time. A fast accelerator that turned slow may still be
/// faster than the slowest kind.
double RelativeSlowdown(const LayeredModel& model,
                        const Accelerator& accelerator, double slowdown);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LAYERED_MODEL_H_
