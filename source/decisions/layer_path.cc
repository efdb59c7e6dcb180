#include "decisions/layer_path.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace wisteriayoke {
namespace {

/// Costs are in units of a token step of the whole model at factor 1.
/// A hop inside a data centre takes about a tenth of a millisecond each way,
/// against a step of about one.
constexpr double kHopCost = 0.3;
/// More than any path inside a data centre costs, however crowded: the hidden
/// states of all prompts share the link.
constexpr double kCrossHopCost = 1000.0;
/// Cost of full upstreams, against a token step on the slowest kind. Half full
/// ones cost a sixteenth of it, so that the fastest path is taken at low load
/// and the load is spread over all paths before any is full.
constexpr double kCrowding = 3.0;
/// How steeply that cost rises with the load.
constexpr double kCrowdingPower = 4.0;

/// A point of a path: the next layer to run and where the last stage ran.
using Position = std::pair<std::uint32_t, DataCentreName>;

/// The cheapest known way to a position.
struct Arrival {
  double cost = std::numeric_limits<double>::infinity();
  const PathCandidate* candidate = nullptr;
  LayerRange layers;
  Position from;
};

double LoadOf(const PathCandidate& candidate) {
  return static_cast<double>(candidate.in_flight) /
         std::max(1U, candidate.limit);
}

/// Returns the time of a token step of the whole model on the slowest kind.
double SlowestStep(const std::vector<const PathCandidate*>& candidates) {
  double slowest = 0;
  for (const auto* candidate : candidates) {
    slowest = std::max(slowest, candidate->step_factor);
  }
  return slowest;
}

/// Lets an upstream that the chain comes back to run what lies between as well:
/// it holds one range of layers, and no chain may name an upstream twice.
void MergeRepeats(Chain& chain) {
  for (std::size_t i = 0; i < chain.size(); ++i) {
    std::size_t last = i;
    for (std::size_t j = i + 1; j < chain.size(); ++j) {
      if (chain[j].upstream == chain[i].upstream) last = j;
    }
    chain[i].layers.end = chain[last].layers.end;
    const auto next = chain.begin() + static_cast<std::ptrdiff_t>(i) + 1;
    chain.erase(next, next + static_cast<std::ptrdiff_t>(last - i));
  }
}

/// Searches the cheapest path layer by layer.
class PathSearch {
 public:
  PathSearch(std::uint32_t layer_count,
             std::vector<const PathCandidate*> candidates)
      : layer_count_(layer_count),
        candidates_(std::move(candidates)),
        crowding_cost_(kCrowding * SlowestStep(candidates_)) {
    for (const auto* candidate : candidates_) {
      cuts_.insert(candidate->upstream->layers.first);
      cuts_.insert(std::min(candidate->upstream->layers.end, layer_count_));
    }
  }

  Chain Run() {
    arrivals_[{0, {}}] = {.cost = 0};
    for (auto it = arrivals_.begin(); it != arrivals_.end(); ++it) {
      if (it->first.first >= layer_count_) break;
      Extend(it->first, it->second.cost);
    }
    return TraceBack();
  }

 private:
  void Extend(const Position& position, double cost) {
    for (const auto* candidate : candidates_) {
      const LayerRange& held = candidate->upstream->layers;
      if (held.first > position.first || held.end <= position.first) continue;
      for (auto cut = cuts_.upper_bound(position.first);
           cut != cuts_.end() && *cut <= held.end; ++cut) {
        Offer(position, cost, *candidate, {position.first, *cut});
      }
    }
  }

  double CostOf(const PathCandidate& candidate,
                const LayerRange& layers) const {
    const double share =
        static_cast<double>(layers.end - layers.first) / layer_count_;
    const double load = LoadOf(candidate);
    return kHopCost * (1.0 + load) +
           share * (candidate.step_factor * candidate.pace +
                    crowding_cost_ * std::pow(load, kCrowdingPower));
  }

  void Offer(const Position& from, double cost, const PathCandidate& candidate,
             const LayerRange& layers) {
    const DataCentreName& here = candidate.upstream->data_centre;
    cost += CostOf(candidate, layers);
    if (from.first > 0 && here != from.second) cost += kCrossHopCost;
    Arrival& arrival = arrivals_[{layers.end, here}];
    if (cost < arrival.cost) arrival = {cost, &candidate, layers, from};
  }

  Chain TraceBack() const {
    const Arrival* best = nullptr;
    for (auto it = arrivals_.lower_bound({layer_count_, {}});
         it != arrivals_.end(); ++it) {
      if (best == nullptr || it->second.cost < best->cost) best = &it->second;
    }
    Chain chain;
    while (best != nullptr && best->candidate != nullptr) {
      const UpstreamSpec& upstream = *best->candidate->upstream;
      chain.push_back({upstream.name, upstream.endpoint, best->layers});
      best = &arrivals_.at(best->from);
    }
    std::reverse(chain.begin(), chain.end());
    MergeRepeats(chain);
    return chain;
  }

  std::uint32_t layer_count_;
  std::vector<const PathCandidate*> candidates_;
  double crowding_cost_;
  std::set<std::uint32_t> cuts_;
  std::map<Position, Arrival> arrivals_;
};

std::uint32_t CountCrossHops(const Chain& chain,
                             const std::vector<PathCandidate>& candidates) {
  std::uint32_t hops = 0;
  const DataCentreName* before = nullptr;
  for (const auto& stage : chain) {
    for (const auto& candidate : candidates) {
      if (candidate.upstream->name != stage.upstream) continue;
      const DataCentreName& here = candidate.upstream->data_centre;
      if (before != nullptr && *before != here) ++hops;
      before = &here;
    }
  }
  return hops;
}

}  // namespace

PathChoice ChoosePath(std::uint32_t layer_count,
                      const std::vector<PathCandidate>& candidates) {
  std::vector<const PathCandidate*> all;
  std::vector<const PathCandidate*> open;
  for (const auto& candidate : candidates) {
    all.push_back(&candidate);
    if (candidate.in_flight < candidate.limit) open.push_back(&candidate);
  }
  Chain chain = PathSearch(layer_count, open).Run();
  if (!chain.empty()) {
    const std::uint32_t hops = CountCrossHops(chain, candidates);
    return {PathOutcome::kFound, std::move(chain), hops};
  }
  const bool covered = !PathSearch(layer_count, all).Run().empty();
  return {covered ? PathOutcome::kBusy : PathOutcome::kUncovered, {}, 0};
}

}  // namespace wisteriayoke
