#include "decisions/layer_path.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

namespace wisteriayoke {
namespace {

/// Costs are in units of a token step of the whole model at factor 1.
/// A hop inside a data centre takes about a tenth of a millisecond each way, a
/// step about one.
constexpr double kHopCost = 0.3;
/// Higher than the cost of any path inside a data centre, however loaded: the
/// hidden states of all prompts share the link.
constexpr double kCrossHopCost = 1000.0;
/// Load cost of an upstream at its limit, in token steps on the slowest kind.
/// At half its limit the cost is a sixteenth of it, so that the fastest path is
/// chosen at low load and load is spread over all paths before any is full.
constexpr double kLoadCost = 3.0;
/// Exponent by which the load cost grows with the load.
constexpr double kLoadCostExponent = 4.0;
/// Cost of each prompt that is processed before this one, by the whole model at
/// factor 1. A prompt delays only the first event, while a step delays every
/// token; a prompt that takes 4 ms therefore costs about half a step.
constexpr double kPrefillCost = 0.55;

double LoadOf(const PathCandidate& candidate) {
  if (candidate.work) return candidate.work->load;
  return static_cast<double>(candidate.in_flight) /
         std::max(1U, candidate.limit);
}

bool IsOpen(const PathCandidate& candidate) {
  if (candidate.work && !candidate.work->has_room) return false;
  return candidate.in_flight < candidate.limit;
}

/// Returns the token step time of the whole model on the slowest kind.
double SlowestStep(const std::vector<const PathCandidate*>& candidates) {
  double slowest = 0;
  for (const auto* candidate : candidates) {
    slowest = std::max(slowest, candidate->step_factor);
  }
  return slowest;
}

/// Merges the stages from the first to the last use of each upstream into one.
/// The upstream holds the layers between, as it holds a single range, and a
/// chain must not name an upstream twice.
void MergeRepeatedUpstreams(Chain& chain) {
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

/// The cheapest known partial path to a position. A position is a layer at
/// which a path may change upstreams and the data centre that ran the layer
/// before.
struct PathPrefix {
  double cost = std::numeric_limits<double>::infinity();
  const PathCandidate* candidate = nullptr;
  LayerRange layers;
  std::size_t from = 0;  ///< Position before `layers`.
};

/// A candidate with the values that the search derives from it once.
struct PreparedCandidate {
  const PathCandidate* candidate = nullptr;
  std::size_t centre = 0;
  std::size_t end_cut = 0;
  double hop_cost = 0;
  double layer_cost = 0;
};

/// Finds the cheapest path by dynamic programming over the layers.
class PathSearch {
 public:
  PathSearch(std::uint32_t layer_count,
             const std::vector<const PathCandidate*>& candidates)
      : layer_count_(layer_count),
        load_cost_(kLoadCost * SlowestStep(candidates)) {
    for (const auto* candidate : candidates) AddCuts(*candidate);
    std::sort(cuts_.begin(), cuts_.end());
    cuts_.erase(std::unique(cuts_.begin(), cuts_.end()), cuts_.end());
    starting_at_.resize(cuts_.size());
    for (const auto* candidate : candidates) Prepare(*candidate);
  }

  Chain Run() {
    if (cuts_.empty() || cuts_.front() != 0) return {};
    if (cuts_.back() != layer_count_) return {};
    best_prefixes_.resize(cuts_.size() * centres_.size());
    for (auto& prefix : best_prefixes_) prefix.from = kStart;
    for (std::size_t cut = 0; cut + 1 < cuts_.size(); ++cut) {
      UpdateActive(cut);
      if (cut == 0) {
        Extend(cut, kStart, 0);
        continue;
      }
      for (std::size_t centre = 0; centre < centres_.size(); ++centre) {
        const std::size_t position = cut * centres_.size() + centre;
        const double cost = best_prefixes_[position].cost;
        if (cost < kUnreached) Extend(cut, position, cost);
      }
    }
    return TraceBack();
  }

 private:
  static constexpr std::size_t kStart = std::numeric_limits<std::size_t>::max();
  static constexpr double kUnreached = std::numeric_limits<double>::infinity();

  void AddCuts(const PathCandidate& candidate) {
    const LayerRange& held = candidate.upstream->layers;
    if (held.first >= held.end || held.first >= layer_count_) return;
    cuts_.push_back(held.first);
    cuts_.push_back(std::min(held.end, layer_count_));
  }

  std::size_t CutAt(std::uint32_t layer) const {
    return static_cast<std::size_t>(
        std::lower_bound(cuts_.begin(), cuts_.end(), layer) - cuts_.begin());
  }

  void Prepare(const PathCandidate& candidate) {
    const UpstreamSpec& upstream = *candidate.upstream;
    const LayerRange& held = upstream.layers;
    if (held.first >= held.end || held.first >= layer_count_) return;
    const double load = LoadOf(candidate);
    const double step =
        candidate.step_factor * candidate.slowdown +
        load_cost_ * std::pow(load, kLoadCostExponent) +
        kPrefillCost * candidate.prefilling * candidate.read_factor;
    starting_at_[CutAt(held.first)].push_back(
        {.candidate = &candidate,
         .centre = centres_.try_emplace(upstream.data_centre, centres_.size())
                       .first->second,
         .end_cut = CutAt(std::min(held.end, layer_count_)),
         .hop_cost = kHopCost * (1.0 + load),
         .layer_cost = step / layer_count_});
  }

  /// Updates `active_` to the candidates that hold the layer at `cut`.
  void UpdateActive(std::size_t cut) {
    std::erase_if(active_, [cut](const PreparedCandidate& candidate) {
      return candidate.end_cut <= cut;
    });
    const auto& starting = starting_at_[cut];
    active_.insert(active_.end(), starting.begin(), starting.end());
  }

  void Extend(std::size_t cut, std::size_t position, double cost) {
    for (const auto& candidate : active_) {
      double start_cost = cost + candidate.hop_cost;
      const bool crosses =
          position != kStart && position % centres_.size() != candidate.centre;
      if (crosses) start_cost += kCrossHopCost;
      for (std::size_t next = cut + 1; next <= candidate.end_cut; ++next) {
        const LayerRange layers{cuts_[cut], cuts_[next]};
        const double total =
            start_cost + candidate.layer_cost * (layers.end - layers.first);
        PathPrefix& prefix =
            best_prefixes_[next * centres_.size() + candidate.centre];
        if (total >= prefix.cost) continue;
        prefix = {total, candidate.candidate, layers, position};
      }
    }
  }

  Chain TraceBack() const {
    const auto last =
        best_prefixes_.end() - static_cast<std::ptrdiff_t>(centres_.size());
    const PathPrefix* best =
        &*std::min_element(last, best_prefixes_.end(),
                           [](const PathPrefix& a, const PathPrefix& b) {
                             return a.cost < b.cost;
                           });
    Chain chain;
    while (best != nullptr && best->candidate != nullptr) {
      const UpstreamSpec& upstream = *best->candidate->upstream;
      chain.push_back({upstream.name, upstream.endpoint, best->layers});
      best = best->from == kStart ? nullptr : &best_prefixes_[best->from];
    }
    std::reverse(chain.begin(), chain.end());
    MergeRepeatedUpstreams(chain);
    return chain;
  }

  std::uint32_t layer_count_;
  double load_cost_;
  std::vector<std::uint32_t> cuts_;  ///< Layers where ranges begin or end.
  std::map<DataCentreName, std::size_t> centres_;
  std::vector<std::vector<PreparedCandidate>> starting_at_;  ///< By cut.
  std::vector<PreparedCandidate> active_;  ///< Holders of the current layer.
  std::vector<PathPrefix> best_prefixes_;  ///< By cut and data centre.
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
    if (IsOpen(candidate)) open.push_back(&candidate);
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
