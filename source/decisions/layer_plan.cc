#include "decisions/layer_plan.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <set>

namespace wisteriayoke {
namespace {

/// KV cache that a stage reserves memory for, in tokens. The first value is
/// about 90 requests of 950 tokens, a third of the peak load of three data
/// centres; the next ones apply if the group lacks the memory for it.
constexpr auto kTokenSteps =
    std::to_array<double>({88'000, 70'000, 55'000, 40'000, 25'000, 10'000, 0});
/// Layers that a group has room for beyond one copy, as a share of the copy, so
/// that hosts can replace each other.
constexpr double kSpareShare = 0.15;
/// Empty hosts that a group reserves for its next gap.
constexpr std::size_t kReservedHosts = 1;

/// A host with the number of layers it may hold.
struct GroupHost {
  const LayerHost* upstream = nullptr;
  std::uint32_t capacity = 0;
};

/// Plans the layers of the hosts of one group of data centres.
class GroupPlanner {
 public:
  GroupPlanner(const LayeredModel& model,
               const std::vector<const LayerHost*>& hosts)
      : model_(model), coverage_(model.layer_count, 0) {
    const double tokens = ChooseTokens(hosts);
    for (const auto* host : hosts) {
      hosts_.push_back(
          {host, LayersBesideTokens(model, host->memory_mb, tokens)});
    }
    std::stable_sort(hosts_.begin(), hosts_.end(),
                     [](const GroupHost& a, const GroupHost& b) {
                       return a.capacity > b.capacity;
                     });
  }

  LayerPlan Run() {
    const bool first_layout =
        std::all_of(hosts_.begin(), hosts_.end(), [](const GroupHost& host) {
          return host.upstream->held == LayerRange{};
        });
    for (const auto& host : hosts_) KeepHeldLayers(host);
    CoverGaps(first_layout);
    FillEmptyHosts(first_layout ? 0 : kReservedHosts);
    return plan_;
  }

 private:
  using Hosts = std::vector<const LayerHost*>;

  /// Returns the most tokens of KV cache per host with which the group still
  /// has room for a whole copy and its spare share.
  double ChooseTokens(const Hosts& hosts) const {
    const double wanted = model_.layer_count * (1.0 + kSpareShare);
    for (const double tokens : kTokenSteps) {
      double layers = 0;
      for (const auto* host : hosts) {
        layers += LayersBesideTokens(model_, host->memory_mb, tokens);
      }
      if (layers >= wanted) return tokens;
    }
    return 0;
  }

  void KeepHeldLayers(const GroupHost& host) {
    const LayerRange& held = host.upstream->held;
    if (held.first >= held.end || held.end > model_.layer_count) return;
    if (held.end - held.first > MaxLayers(model_, host.upstream->memory_mb)) {
      return;
    }
    Assign(host, held);
  }

  void Assign(const GroupHost& host, const LayerRange& range) {
    Release(host);
    plan_[host.upstream->name] = range;
    for (auto i = range.first; i < range.end; ++i) ++coverage_[i];
  }

  void Release(const GroupHost& host) {
    const auto found = plan_.find(host.upstream->name);
    if (found == plan_.end()) return;
    const LayerRange range = found->second;
    for (auto i = range.first; i < range.end; ++i) --coverage_[i];
    plan_.erase(found);
  }

  /// Returns the first range of layers that no host holds, or nullopt.
  std::optional<LayerRange> FindGap() const {
    const auto first = std::find(coverage_.begin(), coverage_.end(), 0U);
    if (first == coverage_.end()) return std::nullopt;
    const auto end = std::find_if(first, coverage_.end(),
                                  [](std::uint32_t held) { return held > 0; });
    return LayerRange{static_cast<std::uint32_t>(first - coverage_.begin()),
                      static_cast<std::uint32_t>(end - coverage_.begin())};
  }

  void CoverGaps(bool first_layout) {
    while (const auto gap = FindGap()) {
      const GroupHost* host = FindHostFor(*gap, first_layout);
      if (host == nullptr) return;
      assigned_.insert(host->upstream->name);
      Assign(*host, RangeFor(*host, *gap, first_layout));
    }
  }

  /// Returns the layers to assign to `host` to close `gap`. The first layout
  /// fills the host, so that as many layers as possible are held twice.
  LayerRange RangeFor(const GroupHost& host, const LayerRange& gap,
                      bool first_layout) const {
    const std::uint32_t length =
        first_layout ? host.capacity
                     : std::min(host.capacity, gap.end - gap.first);
    const std::uint32_t begin =
        std::min(gap.first, model_.layer_count - length);
    return {begin, begin + length};
  }

  /// How well a host suits a gap; the smallest value is the best.
  struct Fit {
    bool in_use = false;        ///< Whether requests run on it.
    bool holds = false;         ///< Whether it would give up layers.
    std::uint32_t missing = 0;  ///< Layers of the gap that don't fit.
    std::uint32_t excess = 0;   ///< Layers it could hold beyond the gap.

    friend auto operator<=>(const Fit&, const Fit&) = default;
  };

  /// Returns the host to assign layers of `gap` to, or null. The first layout
  /// uses the largest hosts first, for the fewest hops.
  const GroupHost* FindHostFor(const LayerRange& gap, bool first_layout) const {
    const GroupHost* best = nullptr;
    Fit best_fit;
    for (const auto& host : hosts_) {
      if (!CanReassign(host)) continue;
      if (first_layout) return &host;
      const Fit fit = FitOf(host, gap.end - gap.first);
      if (best != nullptr && best_fit <= fit) continue;
      best = &host;
      best_fit = fit;
    }
    return best;
  }

  Fit FitOf(const GroupHost& host, std::uint32_t length) const {
    return {.in_use = host.upstream->in_flight > 0,
            .holds = plan_.contains(host.upstream->name),
            .missing = length - std::min(length, host.capacity),
            .excess = host.capacity - std::min(length, host.capacity)};
  }

  /// Returns whether `host` can get other layers without leaving a gap.
  bool CanReassign(const GroupHost& host) const {
    if (host.capacity == 0 || host.upstream->loading ||
        assigned_.contains(host.upstream->name)) {
      return false;
    }
    const auto found = plan_.find(host.upstream->name);
    return found == plan_.end() ||
           std::all_of(coverage_.begin() + found->second.first,
                       coverage_.begin() + found->second.end,
                       [](std::uint32_t held) { return held > 1; });
  }

  /// Assigns to each empty host, except the `reserve` largest, the layers that
  /// the fewest hosts hold.
  void FillEmptyHosts(std::size_t reserve) {
    for (const auto& host : hosts_) {
      if (host.capacity == 0 || plan_.contains(host.upstream->name)) continue;
      if (reserve > 0) {
        --reserve;
        continue;
      }
      Assign(host, FindLeastCovered(host.capacity));
    }
  }

  /// Returns the `length` consecutive layers that the fewest hosts hold. Of
  /// several such ranges it returns the last, since the last layers are held by
  /// small hosts, which one other host can replace.
  LayerRange FindLeastCovered(std::uint32_t length) const {
    LayerRange best;
    std::uint64_t best_sum = 0;
    for (std::uint32_t first = 0; first + length <= coverage_.size(); ++first) {
      std::uint64_t sum = 0;
      for (std::uint32_t i = first; i < first + length; ++i) {
        sum += coverage_[i];
      }
      if (best.end != 0 && sum > best_sum) continue;
      best = {first, first + length};
      best_sum = sum;
    }
    return best;
  }

  const LayeredModel& model_;
  std::vector<GroupHost> hosts_;
  std::vector<std::uint32_t> coverage_;  ///< Number of hosts of each layer.
  LayerPlan plan_;
  std::set<UpstreamName> assigned_;  ///< Hosts assigned by `CoverGaps`.
};

/// Returns the groups that get copies of their own: each data centre that can
/// hold a copy, and all others together.
std::vector<std::vector<const LayerHost*>> GroupHosts(
    const LayeredModel& model, const std::vector<LayerHost>& hosts) {
  std::map<DataCentreName, std::vector<const LayerHost*>> by_centre;
  for (const auto& host : hosts) by_centre[host.data_centre].push_back(&host);
  std::vector<std::vector<const LayerHost*>> groups;
  std::vector<const LayerHost*> rest;
  for (const auto& [centre, members] : by_centre) {
    std::uint64_t layers = 0;
    for (const auto* host : members) {
      layers += MaxLayers(model, host->memory_mb);
    }
    if (layers >= model.layer_count) {
      groups.push_back(members);
    } else {
      rest.insert(rest.end(), members.begin(), members.end());
    }
  }
  if (!rest.empty()) groups.push_back(rest);
  return groups;
}

}  // namespace

LayerPlan PlanLayers(const LayeredModel& model,
                     const std::vector<LayerHost>& hosts) {
  LayerPlan plan;
  if (model.layer_count == 0) return plan;
  for (const auto& group : GroupHosts(model, hosts)) {
    plan.merge(GroupPlanner(model, group).Run());
  }
  return plan;
}

}  // namespace wisteriayoke
