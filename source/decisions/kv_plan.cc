#include "decisions/kv_plan.h"

#include <cstddef>

namespace wisteriayoke {
namespace {

KvSource FindSource(const Stage& stage, const KvHolders& holders) {
  const auto own = holders.find(stage.upstream);
  if (own != holders.end() && own->second.layers == stage.layers) {
    return {KvOrigin::kHeld, {}};
  }
  for (const auto& [name, holder] : holders) {
    if (holder.layers != stage.layers) continue;
    return {KvOrigin::kImport, holder.endpoint};
  }
  return {KvOrigin::kRecompute, {}};
}

}  // namespace

std::vector<KvSource> PlanKv(const Chain& chain, const KvHolders& holders) {
  std::vector<KvSource> sources;
  std::size_t recomputed = 0;
  for (const auto& stage : chain) {
    sources.push_back(FindSource(stage, holders));
    if (sources.back().origin == KvOrigin::kRecompute) {
      recomputed = sources.size();
    }
  }
  for (std::size_t i = 0; i < recomputed; ++i) {
    sources[i] = {KvOrigin::kRecompute, {}};
  }
  return sources;
}

}  // namespace wisteriayoke
