#include "decisions/layer_path.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace wisteriayoke {
namespace {

constexpr std::uint32_t kLayers = 12;

UpstreamSpec MakeUpstream(int number, std::uint32_t first, std::uint32_t end,
                          const std::string& centre) {
  return {.name = UpstreamName("u" + std::to_string(number)),
          .endpoint = {"10.0.0.1", static_cast<std::uint16_t>(number)},
          .data_centre = DataCentreName(centre),
          .layers = {first, end}};
}

std::vector<PathCandidate> MakeCandidates(
    const std::vector<UpstreamSpec>& upstreams) {
  std::vector<PathCandidate> candidates;
  candidates.reserve(upstreams.size());
  for (const auto& upstream : upstreams) {
    candidates.push_back({.upstream = &upstream, .limit = 4});
  }
  return candidates;
}

/// Chooses a path from two upstreams of data centre a and an idle one of b with
/// the same layers as the second, which has `in_flight` requests.
PathChoice ChooseBeside(std::uint32_t in_flight) {
  const std::vector<UpstreamSpec> upstreams = {MakeUpstream(0, 0, 6, "a"),
                                               MakeUpstream(1, 6, 12, "a"),
                                               MakeUpstream(2, 6, 12, "b")};
  auto candidates = MakeCandidates(upstreams);
  candidates[1].in_flight = in_flight;
  return ChoosePath(kLayers, candidates);
}

std::vector<LayerRange> RangesOf(const Chain& chain) {
  std::vector<LayerRange> ranges;
  for (const auto& stage : chain) ranges.push_back(stage.layers);
  return ranges;
}

}  // namespace

TEST_CASE("a path runs every layer once, by upstreams that hold them") {
  CHECK(rc::check("any upstreams", [] {
    std::vector<UpstreamSpec> upstreams;
    const int count = *rc::gen::inRange(0, 16);
    for (int i = 0; i < count; ++i) {
      const auto first = *rc::gen::inRange<std::uint32_t>(0, kLayers);
      const auto end = *rc::gen::inRange<std::uint32_t>(first + 1, kLayers + 1);
      upstreams.push_back(
          MakeUpstream(i, first, end, std::string(1, "abc"[i % 3])));
    }
    auto candidates = MakeCandidates(upstreams);
    for (auto& candidate : candidates) {
      candidate.in_flight = *rc::gen::inRange<std::uint32_t>(0, 6);
      candidate.step_factor = *rc::gen::element(1.0, 4.0, 16.0);
    }
    const PathChoice choice = ChoosePath(kLayers, candidates);
    std::vector<int> held(kLayers, 0);
    std::vector<int> open(kLayers, 0);
    for (const auto& candidate : candidates) {
      const LayerRange& range = candidate.upstream->layers;
      for (auto i = range.first; i < range.end; ++i) {
        ++held[i];
        if (candidate.in_flight < candidate.limit) ++open[i];
      }
    }
    const auto all = [](const std::vector<int>& counts) {
      return std::find(counts.begin(), counts.end(), 0) == counts.end();
    };
    RC_ASSERT((choice.outcome == PathOutcome::kFound) == all(open));
    RC_ASSERT((choice.outcome == PathOutcome::kUncovered) == !all(held));
    if (choice.outcome != PathOutcome::kFound) return;
    RC_ASSERT(CoversAllLayers(RangesOf(choice.chain), kLayers));
    std::set<UpstreamName> used;
    for (const auto& stage : choice.chain) {
      RC_ASSERT(used.insert(stage.upstream).second);
      const auto holder = std::find_if(
          upstreams.begin(), upstreams.end(),
          [&stage](const auto& u) { return u.name == stage.upstream; });
      RC_ASSERT(holder->layers.first <= stage.layers.first);
      RC_ASSERT(holder->layers.end >= stage.layers.end);
      RC_ASSERT(holder->endpoint == stage.endpoint);
    }
  }));
}

TEST_CASE("a path stays in its data centre, however loaded") {
  const PathChoice choice = ChooseBeside(3);
  REQUIRE(choice.chain.size() == 2);
  CHECK(choice.chain[1].upstream == UpstreamName("u1"));
  CHECK(choice.cross_hops == 0);
}

TEST_CASE("a path crosses data centres when all others are full") {
  const PathChoice choice = ChooseBeside(4);
  REQUIRE(choice.chain.size() == 2);
  CHECK(choice.chain[1].upstream == UpstreamName("u2"));
  CHECK(choice.cross_hops == 1);
}

TEST_CASE("the less loaded of two equal paths is chosen") {
  const std::vector<UpstreamSpec> upstreams = {MakeUpstream(0, 0, 12, "a"),
                                               MakeUpstream(1, 0, 12, "b")};
  auto candidates = MakeCandidates(upstreams);
  candidates[0].in_flight = 2;
  candidates[1].in_flight = 1;
  CHECK(ChoosePath(kLayers, candidates).chain.front().upstream ==
        UpstreamName("u1"));
}

TEST_CASE("slow upstreams are chosen before fast ones are full") {
  const std::vector<UpstreamSpec> upstreams = {MakeUpstream(0, 0, 12, "a"),
                                               MakeUpstream(1, 0, 12, "a")};
  auto candidates = MakeCandidates(upstreams);
  candidates[1].step_factor = 16.0;
  for (auto& candidate : candidates) candidate.limit = 100;
  const auto chosen = [&](std::uint32_t in_flight) {
    candidates[0].in_flight = in_flight;
    return ChoosePath(kLayers, candidates).chain[0].upstream;
  };
  CHECK(chosen(50) == UpstreamName("u0"));
  CHECK(chosen(85) == UpstreamName("u1"));
  // An upstream slower than its kind is not chosen instead.
  candidates[1].slowdown = 12.0;
  CHECK(chosen(85) == UpstreamName("u0"));
}

TEST_CASE("prompts processed concurrently are spread over several paths") {
  const std::vector<UpstreamSpec> upstreams = {MakeUpstream(0, 0, 12, "a"),
                                               MakeUpstream(1, 0, 12, "a"),
                                               MakeUpstream(2, 0, 12, "a")};
  auto candidates = MakeCandidates(upstreams);
  for (auto& candidate : candidates) {
    candidate.limit = 100;
    candidate.step_factor = 16;
    candidate.read_factor = 8;
  }
  candidates[0].step_factor = 8;
  for (int i = 0; i < 30; ++i) {
    const Chain chain = ChoosePath(kLayers, candidates).chain;
    REQUIRE(chain.size() == 1);
    for (auto& candidate : candidates) {
      if (candidate.upstream->name != chain[0].upstream) continue;
      ++candidate.in_flight;
      ++candidate.prefilling;
    }
  }
  for (const auto& candidate : candidates) CHECK(candidate.prefilling >= 9);
}

TEST_CASE("a path never returns to an upstream after a faster one") {
  const std::vector<UpstreamSpec> upstreams = {MakeUpstream(0, 0, 12, "a"),
                                               MakeUpstream(1, 2, 10, "a")};
  auto candidates = MakeCandidates(upstreams);
  candidates[0].step_factor = 16.0;
  candidates[0].in_flight = 3;
  const PathChoice choice = ChoosePath(kLayers, candidates);
  REQUIRE(choice.chain.size() == 1);
  CHECK(choice.chain.front().upstream == UpstreamName("u0"));
  CHECK(choice.chain.front().layers == LayerRange{0, 12});
}

TEST_CASE("overlapping ranges form a path") {
  const std::vector<UpstreamSpec> upstreams = {MakeUpstream(0, 0, 5, "a"),
                                               MakeUpstream(1, 3, 9, "a"),
                                               MakeUpstream(2, 8, 12, "a")};
  const PathChoice choice = ChoosePath(kLayers, MakeCandidates(upstreams));
  REQUIRE(choice.outcome == PathOutcome::kFound);
  CHECK(CoversAllLayers(RangesOf(choice.chain), kLayers));
}

}  // namespace wisteriayoke
