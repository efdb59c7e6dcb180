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
/// that cards can replace each other.
constexpr double kSpareShare = 0.15;
/// Empty cards that a group reserves for its next gap.
constexpr std::size_t kReservedCards = 1;

/// A card with the number of layers it may hold.
struct GroupCard {
  const LayerCard* card = nullptr;
  std::uint32_t capacity = 0;
};

/// Plans the layers of the cards of one group of data centres.
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
    const bool first_layout = std::all_of(
        cards_.begin(), cards_.end(),
        [](const GroupCard& card) { return card.card->held == LayerRange{}; });
    for (const auto& card : cards_) KeepHeldLayers(card);
    CoverGaps(first_layout);
    FillEmptyCards(first_layout ? 0 : kReservedCards);
    return plan_;
  }

 private:
  using Cards = std::vector<const LayerCard*>;

  /// Returns the most tokens of KV cache per card with which the group still
  /// has room for a whole copy and its spare share.
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

  void KeepHeldLayers(const GroupCard& card) {
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

  /// Returns the first range of layers that no card holds, or nullopt.
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
      const GroupCard* card = FindCardFor(*gap, first_layout);
      if (card == nullptr) return;
      assigned_.insert(card->card->name);
      Assign(*card, RangeFor(*card, *gap, first_layout));
    }
  }

  /// Returns the layers to assign to `card` to close `gap`. The first layout
  /// fills the card, so that as many layers as possible are held twice.
  LayerRange RangeFor(const GroupCard& card, const LayerRange& gap,
                      bool first_layout) const {
    const std::uint32_t length =
        first_layout ? card.capacity
                     : std::min(card.capacity, gap.end - gap.first);
    const std::uint32_t begin =
        std::min(gap.first, model_.layer_count - length);
    return {begin, begin + length};
  }

  /// How well a card suits a gap; the smallest value is the best.
  struct Fit {
    bool in_use = false;        ///< Whether requests run on it.
    bool holds = false;         ///< Whether it would give up layers.
    std::uint32_t missing = 0;  ///< Layers of the gap that don't fit.
    std::uint32_t excess = 0;   ///< Layers it could hold beyond the gap.

    friend auto operator<=>(const Fit&, const Fit&) = default;
  };

  /// Returns the card to assign layers of `gap` to, or null. The first layout
  /// uses the largest cards first, for the fewest hops.
  const GroupCard* FindCardFor(const LayerRange& gap, bool first_layout) const {
    const GroupCard* best = nullptr;
    Fit best_fit;
    for (const auto& card : cards_) {
      if (!CanReassign(card)) continue;
      if (first_layout) return &card;
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

  /// Returns whether `card` can get other layers without leaving a gap.
  bool CanReassign(const GroupCard& card) const {
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

  /// Assigns to each empty card, except the `reserve` largest, the layers that
  /// the fewest cards hold.
  void FillEmptyCards(std::size_t reserve) {
    for (const auto& card : cards_) {
      if (card.capacity == 0 || plan_.contains(card.card->name)) continue;
      if (reserve > 0) {
        --reserve;
        continue;
      }
      Assign(card, FindLeastCovered(card.capacity));
    }
  }

  /// Returns the `length` consecutive layers that the fewest cards hold. Of
  /// several such ranges it returns the last, since the last layers are held by
  /// small cards, which a single card can replace.
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
  std::vector<GroupCard> cards_;
  std::vector<std::uint32_t>
      coverage_;  ///< Number of cards that hold each layer.
  LayerPlan plan_;
  std::set<UpstreamName> assigned_;  ///< Cards assigned by `CoverGaps`.
};

/// Returns the groups that get copies of their own: each data centre that can
/// hold a copy, and all others together.
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
