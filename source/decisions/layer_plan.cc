#include "decisions/layer_plan.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <set>

namespace wisteriayoke {
namespace {

/// KV cache that a stage keeps room for, in tokens: about ninety requests of
/// 950 tokens, a third of what three data centres carry at the crest. Smaller
/// steps are taken where the memory doesn't allow it.
constexpr auto kTokenSteps =
    std::to_array<double>({88'000, 70'000, 55'000, 40'000, 25'000, 10'000, 0});
/// Memory beyond one copy that a group keeps for substitutes.
constexpr double kSpareShare = 0.15;
/// Empty cards that a group keeps for its next gap.
constexpr std::size_t kReserve = 1;

/// A card with the layers that it may hold.
struct GroupCard {
  const LayerCard* card = nullptr;
  std::uint32_t capacity = 0;
};

/// Plans the cards of one group of data centres.
class GroupPlanner {
 public:
  GroupPlanner(const LayeredModel& model,
               const std::vector<const LayerCard*>& cards)
      : model_(model), coverage_(model.layer_count, 0) {
    const double tokens = ChooseTokens(cards);
    for (const auto* card : cards) {
      cards_.push_back(
          {card, LayersBesideTokens(model, card->memory_mb, tokens)});
    }
    std::stable_sort(cards_.begin(), cards_.end(),
                     [](const GroupCard& a, const GroupCard& b) {
                       return a.capacity > b.capacity;
                     });
  }

  LayerPlan Run() {
    const bool first = std::all_of(
        cards_.begin(), cards_.end(),
        [](const GroupCard& card) { return card.card->held == LayerRange{}; });
    for (const auto& card : cards_) Keep(card);
    CoverGaps(first);
    FillEmptyCards(first ? 0 : kReserve);
    return plan_;
  }

 private:
  using Cards = std::vector<const LayerCard*>;

  /// Returns the most tokens beside which the group holds a copy and spares.
  double ChooseTokens(const Cards& cards) const {
    const double wanted = model_.layer_count * (1.0 + kSpareShare);
    for (const double tokens : kTokenSteps) {
      double layers = 0;
      for (const auto* card : cards) {
        layers += LayersBesideTokens(model_, card->memory_mb, tokens);
      }
      if (layers >= wanted) return tokens;
    }
    return 0;
  }

  void Keep(const GroupCard& card) {
    const LayerRange& held = card.card->held;
    if (held.first >= held.end || held.end > model_.layer_count) return;
    if (held.end - held.first > MaxLayers(model_, card.card->memory_mb)) {
      return;
    }
    Assign(card, held);
  }

  void Assign(const GroupCard& card, const LayerRange& range) {
    Release(card);
    plan_[card.card->name] = range;
    for (auto i = range.first; i < range.end; ++i) ++coverage_[i];
  }

  void Release(const GroupCard& card) {
    const auto found = plan_.find(card.card->name);
    if (found == plan_.end()) return;
    const LayerRange range = found->second;
    for (auto i = range.first; i < range.end; ++i) --coverage_[i];
    plan_.erase(found);
  }

  /// Returns the first layers that no card holds.
  std::optional<LayerRange> FindGap() const {
    const auto first = std::find(coverage_.begin(), coverage_.end(), 0U);
    if (first == coverage_.end()) return std::nullopt;
    const auto end = std::find_if(first, coverage_.end(),
                                  [](std::uint32_t held) { return held > 0; });
    return LayerRange{static_cast<std::uint32_t>(first - coverage_.begin()),
                      static_cast<std::uint32_t>(end - coverage_.begin())};
  }

  void CoverGaps(bool first) {
    while (const auto gap = FindGap()) {
      const GroupCard* card = FindCardFor(*gap, first);
      if (card == nullptr) return;
      assigned_.insert(card->card->name);
      Assign(*card, RangeFor(*card, *gap, first));
    }
  }

  /// Returns the layers of `gap` for `card`. In a first layout it fills the
  /// card, so that as many layers as can be are held twice.
  LayerRange RangeFor(const GroupCard& card, const LayerRange& gap,
                      bool first) const {
    const std::uint32_t length =
        first ? card.capacity : std::min(card.capacity, gap.end - gap.first);
    const std::uint32_t begin =
        std::min(gap.first, model_.layer_count - length);
    return {begin, begin + length};
  }

  /// How well a card suits a gap; the least value is the best.
  struct Fit {
    bool in_use = false;        ///< Whether it must first end its requests.
    bool holds = false;         ///< Whether it gives up layers.
    std::uint32_t missing = 0;  ///< Layers of the gap that are left.
    std::uint32_t excess = 0;   ///< Layers that it could hold besides.

    friend auto operator<=>(const Fit&, const Fit&) = default;
  };

  /// Returns the card to give layers of `gap` to, or null. A first layout takes
  /// the largest cards first, for the fewest hops.
  const GroupCard* FindCardFor(const LayerRange& gap, bool first) const {
    const GroupCard* best = nullptr;
    Fit best_fit;
    for (const auto& card : cards_) {
      if (!IsFree(card)) continue;
      if (first) return &card;
      const Fit fit = FitOf(card, gap.end - gap.first);
      if (best != nullptr && best_fit <= fit) continue;
      best = &card;
      best_fit = fit;
    }
    return best;
  }

  Fit FitOf(const GroupCard& card, std::uint32_t length) const {
    return {.in_use = card.card->in_flight > 0,
            .holds = plan_.contains(card.card->name),
            .missing = length - std::min(length, card.capacity),
            .excess = card.capacity - std::min(length, card.capacity)};
  }

  /// Tells whether `card` can be given other layers without leaving a gap.
  bool IsFree(const GroupCard& card) const {
    if (card.capacity == 0 || card.card->loading ||
        assigned_.contains(card.card->name)) {
      return false;
    }
    const auto found = plan_.find(card.card->name);
    return found == plan_.end() ||
           std::all_of(coverage_.begin() + found->second.first,
                       coverage_.begin() + found->second.end,
                       [](std::uint32_t held) { return held > 1; });
  }

  /// Gives the empty cards but the `reserve` largest the layers that fewest
  /// cards hold.
  void FillEmptyCards(std::size_t reserve) {
    for (const auto& card : cards_) {
      if (card.capacity == 0 || plan_.contains(card.card->name)) continue;
      if (reserve > 0) {
        --reserve;
        continue;
      }
      Assign(card, FindThinnest(card.capacity));
    }
  }

  /// Returns the `length` layers that fewest cards hold; of several such ranges
  /// the last, since small cards, which can be replaced whole, hold the last
  /// layers.
  LayerRange FindThinnest(std::uint32_t length) const {
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
  std::vector<GroupCard> cards_;
  std::vector<std::uint32_t> coverage_;  ///< Cards that hold each layer.
  LayerPlan plan_;
  std::set<UpstreamName> assigned_;  ///< Those that were given layers now.
};

/// Returns the groups that get copies of their own: data centres that can hold
/// one, and all others together.
std::vector<std::vector<const LayerCard*>> GroupCards(
    const LayeredModel& model, const std::vector<LayerCard>& cards) {
  std::map<DataCentreName, std::vector<const LayerCard*>> by_centre;
  for (const auto& card : cards) by_centre[card.data_centre].push_back(&card);
  std::vector<std::vector<const LayerCard*>> groups;
  std::vector<const LayerCard*> rest;
  for (const auto& [centre, members] : by_centre) {
    std::uint64_t layers = 0;
    for (const auto* card : members) {
      layers += MaxLayers(model, card->memory_mb);
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
                     const std::vector<LayerCard>& cards) {
  LayerPlan plan;
  if (model.layer_count == 0) return plan;
  for (const auto& group : GroupCards(model, cards)) {
    plan.merge(GroupPlanner(model, group).Run());
  }
  return plan;
}

}  // namespace wisteriayoke
