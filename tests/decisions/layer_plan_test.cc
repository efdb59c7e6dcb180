#include "decisions/layer_plan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace wisteriayoke {
namespace {

/// A model of 80 layers of 1,750 MB each, as in docs/PLATFORM.md.
LayeredModel MakeModel() {
  LayeredModel model;
  model.layer_count = 80;
  model.layer_mb = 1750;
  model.kv_token_bytes = 590'000;
  model.mean_request_tokens = 946;
  return model;
}

constexpr double kMemories[] = {72'000, 36'000, 21'600, 14'400};

LayerCard MakeCard(int number, double memory_mb, const std::string& centre) {
  return {.name = UpstreamName("u" + std::to_string(number)),
          .data_centre = DataCentreName(centre),
          .memory_mb = memory_mb};
}

/// The cards of one of the sites in docs/PLATFORM.md.
std::vector<LayerCard> MakeSite() {
  struct Row {
    const char* centre;
    int counts[4];  ///< In the order of `kMemories`.
  };
  constexpr Row kRows[] = {
      {"a", {1, 1, 5, 7}}, {"b", {0, 1, 8, 3}}, {"c", {0, 2, 4, 7}}};
  std::vector<LayerCard> cards;
  for (const auto& row : kRows) {
    for (int kind = 0; kind < 4; ++kind) {
      for (int i = 0; i < row.counts[kind]; ++i) {
        cards.push_back(MakeCard(static_cast<int>(cards.size()),
                                 kMemories[kind], row.centre));
      }
    }
  }
  return cards;
}

void Hold(const LayerPlan& plan, std::vector<LayerCard>& cards) {
  for (auto& card : cards) {
    const auto found = plan.find(card.name);
    if (found != plan.end()) card.held = found->second;
  }
}

/// Returns how many cards of `centre`, or of all if it is empty, hold each
/// layer.
std::vector<int> CountHolders(const std::vector<LayerCard>& cards,
                              const std::string& centre) {
  std::vector<int> counts(80, 0);
  for (const auto& card : cards) {
    if (!centre.empty() && card.data_centre.text() != centre) continue;
    for (auto i = card.held.first; i < card.held.end; ++i) ++counts[i];
  }
  return counts;
}

bool CoversAll(const std::vector<int>& counts) {
  return std::find(counts.begin(), counts.end(), 0) == counts.end();
}

}  // namespace

TEST_CASE("each data centre that has the memory holds every layer") {
  auto cards = MakeSite();
  Hold(PlanLayers(MakeModel(), cards), cards);
  for (const char* centre : {"a", "b", "c"}) {
    CHECK(CoversAll(CountHolders(cards, centre)));
  }
}

TEST_CASE("no card gets more layers than fit in its memory, whatever it held") {
  CHECK(rc::check("any cards", [] {
    const LayeredModel model = MakeModel();
    std::vector<LayerCard> cards;
    const int count = *rc::gen::inRange(0, 30);
    for (int i = 0; i < count; ++i) {
      auto card = MakeCard(i, kMemories[*rc::gen::inRange(0, 4)],
                           std::string(1, "abcd"[*rc::gen::inRange(0, 4)]));
      const std::uint32_t max_layers = MaxLayers(model, card.memory_mb);
      if (*rc::gen::inRange(0, 3) == 0) {
        const auto length = *rc::gen::inRange<std::uint32_t>(1, max_layers + 1);
        const auto first = *rc::gen::inRange<std::uint32_t>(0, 81 - length);
        card.held = {first, first + length};
      }
      card.loading = *rc::gen::inRange(0, 8) == 0;
      card.in_flight = *rc::gen::inRange<std::uint32_t>(0, 3);
      cards.push_back(card);
    }
    const LayerPlan plan = PlanLayers(model, cards);
    for (const auto& [name, range] : plan) {
      const auto card = std::find_if(
          cards.begin(), cards.end(),
          [&name = name](const LayerCard& c) { return c.name == name; });
      RC_ASSERT(range.first < range.end && range.end <= 80);
      RC_ASSERT(range.end - range.first <= MaxLayers(model, card->memory_mb));
      if (card->loading && card->held != LayerRange{}) {
        RC_ASSERT(range == card->held);
      }
    }
  }));
}

TEST_CASE("all layers are covered whenever the cards allow it") {
  CHECK(rc::check("empty cards", [] {
    const LayeredModel model = MakeModel();
    std::vector<LayerCard> cards;
    std::uint32_t layers = 0;
    const int count = *rc::gen::inRange(1, 30);
    for (int i = 0; i < count; ++i) {
      cards.push_back(
          MakeCard(i, kMemories[*rc::gen::inRange(0, 4)],
                   std::string(1, "abcd"[*rc::gen::inRange(0, 4)])));
      layers += MaxLayers(model, cards.back().memory_mb);
    }
    Hold(PlanLayers(model, cards), cards);
    // Each group is covered on its own; the joined group may lack the memory.
    const std::vector<int> counts = CountHolders(cards, "");
    if (layers < 80) return;
    std::uint32_t best = 0;
    for (const char* centre : {"a", "b", "c", "d"}) {
      std::uint32_t sum = 0;
      for (const auto& card : cards) {
        if (card.data_centre.text() != centre) continue;
        sum += MaxLayers(model, card.memory_mb);
      }
      best = std::max(best, sum);
    }
    if (best >= 80 || best * 4 < 80) RC_ASSERT(best < 80 || CoversAll(counts));
    if (best < 80) RC_ASSERT(CoversAll(counts));
  }));
}

TEST_CASE("a plan that has been applied isn't changed") {
  auto cards = MakeSite();
  const LayerPlan plan = PlanLayers(MakeModel(), cards);
  Hold(plan, cards);
  CHECK(PlanLayers(MakeModel(), cards) == plan);
}

TEST_CASE("after the loss of any one card its layers are covered again") {
  const auto site = MakeSite();
  auto full = site;
  Hold(PlanLayers(MakeModel(), site), full);
  for (std::size_t lost = 0; lost < full.size(); ++lost) {
    auto cards = full;
    const std::string centre = cards[lost].data_centre.text();
    cards.erase(cards.begin() + static_cast<std::ptrdiff_t>(lost));
    const LayerPlan plan = PlanLayers(MakeModel(), cards);
    std::size_t moved = 0;
    for (const auto& card : cards) {
      if (plan.at(card.name) != card.held) ++moved;
    }
    Hold(plan, cards);
    CHECK(CoversAll(CountHolders(cards, "")));
    CHECK(moved <= 7);
  }
}

TEST_CASE("a gap is assigned to an idle card before one with requests") {
  std::vector<LayerCard> cards = {
      MakeCard(0, 72'000, "a"), MakeCard(1, 72'000, "a"),
      MakeCard(2, 21'600, "a"), MakeCard(3, 21'600, "a")};
  cards[0].held = {0, 40};
  cards[1].held = {40, 72};
  cards[2].held = {0, 8};
  cards[2].in_flight = 3;
  cards[3].held = {8, 16};
  const LayerPlan plan = PlanLayers(MakeModel(), cards);
  CHECK(plan.at(UpstreamName("u3")) == LayerRange{72, 80});
  CHECK(plan.at(UpstreamName("u2")) == LayerRange{0, 8});
}

TEST_CASE("a gap isn't assigned to a card that is loading") {
  std::vector<LayerCard> cards = {
      MakeCard(0, 72'000, "a"), MakeCard(1, 72'000, "a"),
      MakeCard(2, 21'600, "a"), MakeCard(3, 14'400, "a")};
  cards[0].held = {0, 40};
  cards[1].held = {40, 75};
  cards[2].held = {0, 8};
  cards[2].loading = true;
  const LayerPlan plan = PlanLayers(MakeModel(), cards);
  CHECK(plan.at(UpstreamName("u3")) == LayerRange{75, 80});
  CHECK(plan.at(UpstreamName("u2")) == LayerRange{0, 8});
}

TEST_CASE("a card doesn't keep more layers than fit in its memory") {
  const LayeredModel model = MakeModel();
  auto cards = MakeSite();
  Hold(PlanLayers(model, cards), cards);
  cards[1].held = {0, 40};
  const auto plan = PlanLayers(model, cards);
  const auto found = plan.find(cards[1].name);
  if (found != plan.end()) {
    CHECK(found->second.end - found->second.first <=
          MaxLayers(model, cards[1].memory_mb));
  }
}

TEST_CASE("a gap that can't be closed doesn't uncover other layers") {
  const LayeredModel model = MakeModel();
  std::vector<LayerCard> cards;
  for (const auto& card : MakeSite()) {
    if (card.data_centre.text() == "b") cards.push_back(card);
  }
  Hold(PlanLayers(model, cards), cards);
  while (cards.size() > 4) {
    cards.erase(cards.begin() + static_cast<std::ptrdiff_t>(cards.size() / 2));
    const auto before = CountHolders(cards, "");
    Hold(PlanLayers(model, cards), cards);
    const auto after = CountHolders(cards, "");
    for (std::size_t i = 0; i < before.size(); ++i) {
      if (before[i] > 0) CHECK(after[i] > 0);
    }
  }
}

TEST_CASE("a fast accelerator that turned slow may be faster than others") {
  LayeredModel model = MakeModel();
  model.accelerators = {{"fast", {.memory_mb = 72'000, .step_factor = 1.4}},
                        {"usual", {.memory_mb = 21'600, .step_factor = 16}}};
  const Accelerator& fast = model.accelerators.at("fast");
  const Accelerator& usual = model.accelerators.at("usual");
  CHECK(RelativeSlowdown(model, fast, 4) == doctest::Approx(1));
  CHECK(RelativeSlowdown(model, usual, 1) == doctest::Approx(1));
  CHECK(RelativeSlowdown(model, usual, 4) == doctest::Approx(4));
  CHECK(RelativeSlowdown(MakeModel(), {}, 4) == doctest::Approx(1));
}

}  // namespace wisteriayoke
