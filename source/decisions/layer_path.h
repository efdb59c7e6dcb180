#ifndef WISTERIAYOKE_DECISIONS_LAYER_PATH_H_
#define WISTERIAYOKE_DECISIONS_LAYER_PATH_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/names_table.h"
#include "decisions/chain.h"

namespace wisteriayoke {

/// Load of an upstream by the work of its requests.
struct WorkLoad {
  double load = 0;       ///< Share of its capacity, with the new request.
  bool has_room = true;  ///< Whether it has room for the new request.
};

/// An upstream that may run some of its layers for a request.
struct PathCandidate {
  const UpstreamSpec* upstream = nullptr;
  double step_factor = 1;        ///< Token step time of its accelerator kind.
  double read_factor = 1;        ///< Prompt time of its accelerator kind.
  double slowdown = 1;           ///< How many times slower it is than its kind.
  std::uint32_t limit = 0;       ///< Maximum concurrent requests.
  std::uint32_t in_flight = 0;   ///< Estimated requests of all daemons.
  std::uint32_t prefilling = 0;  ///< This daemon's requests in prefill.
  /// Takes the place of the load by counts, if it is known.
  std::optional<WorkLoad> work;
};

/// Result of the search for a path.
enum class PathOutcome {
  kFound,
  kBusy,       ///< Some layers are held only by upstreams at their limit.
  kUncovered,  ///< Some layers are held by no candidate.
};

inline constexpr auto kPathOutcomeNames = MakeNamesTable<PathOutcome>({
    {PathOutcome::kFound, "found"},
    {PathOutcome::kBusy, "busy"},
    {PathOutcome::kUncovered, "uncovered"},
});

/// Result of `ChoosePath`; `chain` is empty unless the outcome is kFound.
struct PathChoice {
  PathOutcome outcome = PathOutcome::kUncovered;
  Chain chain;
  std::uint32_t cross_hops = 0;  ///< Hops between data centres.
};

/// Chooses the path through all layers with the least expected time per token.
/// The nearer an upstream is to its limit, the more it costs: paths through
/// slow upstreams still answer in time, paths through overloaded ones don't.
///
/// Unlike in `ChooseChain`, a stage may run a part of the layers that its
/// upstream holds, so ranges may overlap. A hop to another data centre costs
/// far more than a local one, since it sends the hidden states of the whole
/// prompt over a shared link; such paths are chosen only if there is no other.
PathChoice ChoosePath(std::uint32_t layer_count,
                      const std::vector<PathCandidate>& candidates);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LAYER_PATH_H_
