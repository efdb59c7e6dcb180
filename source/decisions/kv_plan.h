#ifndef WISTERIAYOKE_DECISIONS_KV_PLAN_H_
#define WISTERIAYOKE_DECISIONS_KV_PLAN_H_

#include <map>
#include <vector>

#include "base/names_table.h"
#include "decisions/chain.h"

namespace wisteriayoke {

/// Where a stage gets the KV cache of the tokens before the attempt's first.
enum class KvOrigin {
  kHeld,       ///< The engine holds it from an earlier attempt.
  kImport,     ///< Another engine with the same layers exports it.
  kRecompute,  ///< The engine runs the prompt and the prefix again.
};

inline constexpr auto kKvOriginNames = MakeNamesTable<KvOrigin>({
    {KvOrigin::kHeld, "held"},
    {KvOrigin::kImport, "import"},
    {KvOrigin::kRecompute, "recompute"},
});

/// Source of one stage's KV cache.
struct KvSource {
  KvOrigin origin = KvOrigin::kRecompute;
  Endpoint from;  ///< Only for kImport.

  friend bool operator==(const KvSource&, const KvSource&) = default;
};

/// Engines that hold the KV cache of all tokens delivered so far, with the
/// stage that each of them ran.
using KvHolders = std::map<UpstreamName, Stage>;

/// Returns the source of the KV cache for each stage of `chain`.
///
/// A stage that recomputes needs the earlier stages' output for each token of
/// the prefix, so all stages before the last that recomputes do so as well.
std::vector<KvSource> PlanKv(const Chain& chain, const KvHolders& holders);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_KV_PLAN_H_
