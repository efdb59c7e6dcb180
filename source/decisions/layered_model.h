#ifndef WISTERIAYOKE_DECISIONS_LAYERED_MODEL_H_
#define WISTERIAYOKE_DECISIONS_LAYERED_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

namespace wisteriayoke {

/// What one kind of accelerator can do.
struct Accelerator {
  double memory_mb = 0;
  double step_factor = 1;  ///< Time of a token step, against the model's.
  double read_factor = 1;  ///< Time to read a prompt, against the model's.
};

/// A model whose layers are spread over several upstreams.
struct LayeredModel {
  std::string name;
  std::uint32_t layer_count = 0;
  double layer_mb = 0;
  double kv_token_bytes = 0;       ///< KV cache of a token, over all layers.
  double mean_request_tokens = 1;  ///< Prompt and answer of a mean request.
  double link_tokens_per_s = 0;    ///< Hidden states that a link carries.
  std::map<std::string, Accelerator> accelerators;
};

/// Returns how many layers a card with `memory_mb` can hold.
std::uint32_t MaxLayers(const LayeredModel& model, double memory_mb);

/// Returns how many layers leave room beside them for the KV cache of `tokens`.
std::uint32_t LayersBesideTokens(const LayeredModel& model, double memory_mb,
                                 double tokens);

/// Returns the tokens whose KV cache fits beside `layers` layers.
double TokensBesideLayers(const LayeredModel& model, double memory_mb,
                          std::uint32_t layers);

/// Returns how many times slower than the slowest kind of accelerator an
/// upstream is that has `accelerator` and works at `pace` times the usual time;
/// 1 at least. A fast one that turned slow may still be faster than others are.
double RelativeSlowdown(const LayeredModel& model,
                        const Accelerator& accelerator, double slowdown);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LAYERED_MODEL_H_
