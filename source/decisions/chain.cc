#include "decisions/chain.h"

#include <algorithm>
#include <limits>
#include <map>

namespace wisteriayoke {
namespace {

constexpr double kUnreachable = std::numeric_limits<double>::infinity();
/// Cost of leaving a data centre, in units of one fully loaded engine.
constexpr double kLinkCost = 0.5;

double LoadOf(const UpstreamSpec& upstream, const UpstreamBook& book) {
  const double in_flight = book.StateOf(upstream.name).in_flight;
  return (in_flight + 1.0) / std::max(1U, upstream.slots);
}

/// Best way to cover [0, layers.end) that ends with `upstream`.
struct Candidate {
  const UpstreamSpec* upstream = nullptr;
  double cost = kUnreachable;
  std::size_t previous = 0;
  bool has_previous = false;
};

double LinkCost(const UpstreamSpec& from, const UpstreamSpec& to) {
  return from.data_centre == to.data_centre ? 0.0 : kLinkCost;
}

/// Extends `candidate` by the cheapest earlier one that ends where it begins.
void ConnectCandidate(std::vector<Candidate>& candidates, std::size_t index,
                      const UpstreamBook& book) {
  Candidate& candidate = candidates[index];
  const UpstreamSpec& upstream = *candidate.upstream;
  const double load = LoadOf(upstream, book);
  if (upstream.layers.first == 0) {
    candidate.cost = load;
    return;
  }
  for (std::size_t i = 0; i < index; ++i) {
    const Candidate& before = candidates[i];
    if (before.upstream->layers.end != upstream.layers.first) continue;
    const double cost =
        before.cost + load + LinkCost(*before.upstream, upstream);
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
                                 const UpstreamBook& book) {
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
    ConnectCandidate(candidates, i, book);
    if (candidates[i].cost == kUnreachable) continue;
    if (candidates[i].upstream->layers.end != pool.layer_count) continue;
    if (!best || candidates[i].cost < candidates[*best].cost) best = i;
  }
  if (!best) return std::nullopt;
  return BuildChain(candidates, *best);
}

}  // namespace wisteriayoke
