#include "decisions/chain.h"

#include <algorithm>
#include <limits>

namespace wisteriayoke {
namespace {

constexpr double kUnreachable = std::numeric_limits<double>::infinity();
/// Factor on the time of an engine that has to queue the request.
constexpr double kQueueFactor = 8.0;
/// Factor on the time of an engine that holds the request's KV cache: a resumed
/// answer avoids running its prefix again.
constexpr double kWarmFactor = 0.25;

/// Multiple of an engine's time that is added for each consecutive failure.
constexpr double kFailureFactor = 4.0;
constexpr std::uint32_t kMaxCountedFailures = 8;

/// Returns the expected time of `upstream` for one token, in microseconds.
double StageCost(const UpstreamSpec& upstream, const ChainInputs& inputs) {
  const UpstreamState& state = inputs.tracker.StateOf(upstream.name);
  const double in_flight =
      inputs.tracker.CountInFlight(upstream.name, inputs.peer_loads);
  const double load =
      (in_flight + 1.0) /
      std::max(1U, inputs.tracker.CountSlots(upstream, inputs.now));
  const auto time =
      static_cast<double>(inputs.speeds.ComputeTimeOf(upstream).count());
  const double warm = inputs.warm.contains(upstream.name) ? kWarmFactor : 1.0;
  const double queue = load > 1.0 ? kQueueFactor * load : 0.0;
  const double failures =
      std::min(state.consecutive_failures, kMaxCountedFailures);
  return time * warm * (1.0 + load + queue) * (1.0 + kFailureFactor * failures);
}

/// Cheapest chain over layers [0, layers.end) that ends with `upstream`.
struct Candidate {
  const UpstreamSpec* upstream = nullptr;
  double cost = kUnreachable;
  std::size_t previous = 0;
  bool has_previous = false;
};

double LinkCost(const UpstreamSpec& from, const UpstreamSpec& to,
                const ChainInputs& inputs) {
  return static_cast<double>(
      inputs.speeds.LinkTimeOf(from.data_centre, to.data_centre).count());
}

/// Sets the cost and the predecessor of candidate `index`: the cheapest earlier
/// candidate whose layers end where its own begin.
void ConnectCandidate(std::vector<Candidate>& candidates, std::size_t index,
                      const ChainInputs& inputs) {
  Candidate& candidate = candidates[index];
  const UpstreamSpec& upstream = *candidate.upstream;
  const double work = StageCost(upstream, inputs);
  if (upstream.layers.first == 0) {
    candidate.cost = work;
    return;
  }
  for (std::size_t i = 0; i < index; ++i) {
    const Candidate& before = candidates[i];
    if (before.upstream->layers.end != upstream.layers.first) continue;
    const double cost =
        before.cost + work + LinkCost(*before.upstream, upstream, inputs);
    if (cost >= candidate.cost) continue;
    candidate.cost = cost;
    candidate.previous = i;
    candidate.has_previous = true;
  }
}

Chain BuildChain(const std::vector<Candidate>& candidates, std::size_t last) {
  Chain chain;
  for (std::size_t i = last;; i = candidates[i].previous) {
    const UpstreamSpec& upstream = *candidates[i].upstream;
    chain.push_back({upstream.name, upstream.endpoint, upstream.layers});
    if (!candidates[i].has_previous) break;
  }
  std::reverse(chain.begin(), chain.end());
  return chain;
}

}  // namespace

std::optional<Chain> ChooseChain(const Pool& pool,
                                 const std::vector<const UpstreamSpec*>& usable,
                                 const ChainInputs& inputs) {
  std::vector<Candidate> candidates;
  candidates.reserve(usable.size());
  for (const auto* upstream : usable) {
    candidates.push_back({.upstream = upstream});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.upstream->layers < b.upstream->layers;
            });
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    ConnectCandidate(candidates, i, inputs);
    if (candidates[i].cost == kUnreachable) continue;
    if (candidates[i].upstream->layers.end != pool.layer_count) continue;
    if (!best || candidates[i].cost < candidates[*best].cost) best = i;
  }
  if (!best) return std::nullopt;
  return BuildChain(candidates, *best);
}

}  // namespace wisteriayoke
