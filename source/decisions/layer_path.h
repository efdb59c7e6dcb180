#ifndef WISTERIAYOKE_DECISIONS_LAYER_PATH_H_
#define WISTERIAYOKE_DECISIONS_LAYER_PATH_H_

#include <cstdint>
#include <vector>

#include "base/names_table.h"
#include "decisions/chain.h"

namespace wisteriayoke {

/// An upstream that may run some of its layers for a request.
struct PathCandidate {
  const UpstreamSpec* upstream = nullptr;
  double step_factor = 1;        ///< Time of its kind for a token step.
  double read_factor = 1;        ///< Time of its kind to read a prompt.
  double slowdown = 1;           ///< How many times slower it is than its kind.
  std::uint32_t limit = 0;       ///< Requests that it takes at once.
  std::uint32_t in_flight = 0;   ///< Estimate for all daemons.
  std::uint32_t prefilling = 0;  ///< This daemon's, before their first event.
};

/// Whether a path was found.
enum class PathOutcome {
  kFound,
  kBusy,       ///< All layers are held, but some only by full upstreams.
  kUncovered,  ///< Some layers are held by no candidate.
};

inline constexpr auto kPathOutcomeNames = MakeNamesTable<PathOutcome>({
    {PathOutcome::kFound, "found"},
    {PathOutcome::kBusy, "busy"},
    {PathOutcome::kUncovered, "uncovered"},
});

/// The answer to a request that asks for a path.
struct PathChoice {
  PathOutcome outcome = PathOutcome::kUncovered;
  Chain chain;
  std::uint32_t cross_hops = 0;  ///< Between data centres.
};

/// Chooses the path over all layers with the least expected time for a token.
/// The nearer an upstream is to its limit, the more it costs: paths over slow
/// upstreams answer in time as well, crowded ones don't.
///
/// Unlike `ChooseChain`, a stage may run a part of the layers that its upstream
/// holds, so that ranges need not meet. A hop to another data centre costs far
/// more than one inside, since it carries the hidden states of the whole prompt
/// over a shared link; such paths serve only when nothing else does.
PathChoice ChoosePath(std::uint32_t layer_count,
                      const std::vector<PathCandidate>& candidates);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LAYER_PATH_H_
