#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

#include "decisions/chain.h"

namespace wisteriayoke {
namespace {

constexpr std::uint32_t kLayers = 6;

/// Returns a pool of engines with the given ranges (first layer, length),
/// spread over three data centres.
Pool MakePool(const std::vector<std::pair<int, int>>& ranges) {
  Pool pool{.name = PoolName("p"), .layer_count = kLayers};
  for (const auto& [first, length] : ranges) {
    const auto number = static_cast<std::uint16_t>(pool.upstreams.size());
    const auto begin = static_cast<std::uint32_t>(first);
    pool.upstreams.push_back(
        {.name = UpstreamName("e" + std::to_string(number)),
         .endpoint = {"127.0.0.1", number},
         .data_centre = DataCentreName("d" + std::to_string(number % 3)),
         .accelerator = number % 2 == 0 ? "fast" : "slow",
         .layers = {begin, std::min(kLayers, begin + static_cast<std::uint32_t>(
                                                         length))}});
  }
  return pool;
}

std::vector<const UpstreamSpec*> ListAll(const Pool& pool) {
  std::vector<const UpstreamSpec*> all;
  for (const auto& upstream : pool.upstreams) all.push_back(&upstream);
  return all;
}

/// Returns the least time of all chains from layer `first`, by full search.
double LeastTime(const Pool& pool, const ChainSpeeds& speeds,
                 std::uint32_t first, const UpstreamSpec* before) {
  if (first == pool.layer_count) return 0;
  double least = std::numeric_limits<double>::infinity();
  for (const auto& upstream : pool.upstreams) {
    if (upstream.layers.first != first) continue;
    double time = static_cast<double>(speeds.ComputeTimeOf(upstream).count()) *
                  (1.0 + 1.0 / upstream.slots);
    if (before != nullptr) {
      time += static_cast<double>(
          speeds.LinkTimeOf(before->data_centre, upstream.data_centre).count());
    }
    least = std::min(
        least, time + LeastTime(pool, speeds, upstream.layers.end, &upstream));
  }
  return least;
}

double TimeOf(const Pool& pool, const ChainSpeeds& speeds, const Chain& chain) {
  double time = 0;
  const UpstreamSpec* before = nullptr;
  for (const auto& stage : chain) {
    const auto upstream =
        std::find_if(pool.upstreams.begin(), pool.upstreams.end(),
                     [&stage](const UpstreamSpec& candidate) {
                       return candidate.name == stage.upstream;
                     });
    time += static_cast<double>(speeds.ComputeTimeOf(*upstream).count()) *
            (1.0 + 1.0 / upstream->slots);
    if (before != nullptr) {
      time += static_cast<double>(
          speeds.LinkTimeOf(before->data_centre, upstream->data_centre)
              .count());
    }
    before = &*upstream;
  }
  return time;
}

rc::Gen<std::vector<std::pair<int, int>>> AnyRanges() {
  return rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, static_cast<int>(kLayers)),
                    rc::gen::inRange(1, static_cast<int>(kLayers))));
}

}  // namespace

TEST_CASE(
    "the chosen chain covers each layer once, exists if any does, is fastest") {
  const bool held = rc::check([] {
    const Pool pool = MakePool(*AnyRanges().as("ranges"));
    ChainSpeeds speeds;
    for (const auto& upstream : pool.upstreams) {
      speeds.RecordCompute(upstream, Duration(*rc::gen::inRange(100, 10'000)));
    }
    for (const char* from : {"d0", "d1", "d2"}) {
      speeds.RecordLink(DataCentreName(from), DataCentreName("d1"),
                        Duration(*rc::gen::inRange(100, 10'000)));
    }
    const UpstreamTracker tracker;
    const auto chain =
        ChooseChain(pool, ListAll(pool), {tracker, {}, speeds, {}, {}});
    const double least = LeastTime(pool, speeds, 0, nullptr);
    RC_ASSERT(chain.has_value() ==
              (least < std::numeric_limits<double>::infinity()));
    if (!chain) return;
    std::vector<LayerRange> ranges;
    for (const auto& stage : *chain) ranges.push_back(stage.layers);
    RC_ASSERT(CoversAllLayers(ranges, kLayers));
    RC_ASSERT(TimeOf(pool, speeds, *chain) <= least * 1.000001);
  });
  CHECK(held);
}

TEST_CASE("a slower accelerator is preferred to a hundred times slower link") {
  Pool pool = MakePool({{0, 3}, {3, 3}, {3, 3}, {3, 3}});
  pool.upstreams[1].data_centre = DataCentreName("d0");
  pool.upstreams[2].data_centre = DataCentreName("d2");
  pool.upstreams[3].data_centre = DataCentreName("d2");
  ChainSpeeds speeds;
  speeds.RecordCompute(pool.upstreams[0], std::chrono::milliseconds(2));
  speeds.RecordCompute(pool.upstreams[1], std::chrono::milliseconds(6));
  speeds.RecordCompute(pool.upstreams[2], std::chrono::milliseconds(2));
  speeds.RecordCompute(pool.upstreams[3], std::chrono::milliseconds(2));
  const UpstreamTracker tracker;
  const auto second_stage = [&] {
    const auto chain =
        ChooseChain(pool, ListAll(pool), {tracker, {}, speeds, {}, {}});
    return chain->at(1).upstream.text();
  };
  speeds.RecordLink(DataCentreName("d0"), DataCentreName("d2"),
                    std::chrono::microseconds(250));
  CHECK(second_stage() != "e1");
  for (int i = 0; i < 40; ++i) {
    speeds.RecordLink(DataCentreName("d0"), DataCentreName("d2"),
                      std::chrono::milliseconds(25));
  }
  CHECK(second_stage() == "e1");
}

}  // namespace wisteriayoke
