#include "decisions/upstream_work.h"

#include <doctest/doctest.h>

#include <string>

#include "decisions/work_load.h"

namespace wisteriayoke {
namespace {

const UpstreamName kEngine("engine1");
const TimePoint kStart(std::chrono::hours(1));

PeerWork MakePeers(double requests, double scale) {
  PeerWork peers;
  peers.requests = requests;
  peers.scale = scale;
  peers.each = {900, 1000};
  return peers;
}

}  // namespace

TEST_CASE("the work of own requests is added, changed and removed") {
  UpstreamWork work;
  work.Add(kEngine, {100, 300});
  work.Add(kEngine, {50, 60});
  work.Change(kEngine, {100, 300}, {200, 300});
  CHECK(work.OwnOf(kEngine).now == 250);
  CHECK(work.OwnOf(kEngine).at_end == 360);
  work.Remove(kEngine, {200, 300});
  work.Remove(kEngine, {50, 60});
  CHECK(work.Estimate(kEngine, {}, kStart).used == 0);
}

TEST_CASE("peers' requests count as mean ones on the layers that they run") {
  UpstreamWork work;
  PeerWork peers = MakePeers(10, 1);
  peers.layers = 4;
  const double used = work.Estimate(kEngine, peers, kStart).used;
  CHECK(used >= 10 * 4 * 900);
  CHECK(used <= 10 * 4 * 1000);
}

TEST_CASE("a rejection shows that an upstream is full, for a while") {
  UpstreamWork work;
  const PeerWork peers = MakePeers(1, 1);
  constexpr double kCapacity = 10'000;
  const double before = work.Estimate(kEngine, peers, kStart).used;
  work.RecordRejection(kEngine, kCapacity, kStart);
  const auto full = work.Estimate(kEngine, peers, kStart);
  CHECK(full.used + full.excess ==
        doctest::Approx(kCapacity * work.capacity_factor()));
  work.RecordAcceptance(kEngine);
  const auto accepted = work.Estimate(kEngine, peers, kStart);
  CHECK(accepted.excess < full.excess);
  const auto later = work.Estimate(
      kEngine, peers, kStart + 10 * UpstreamWork::kRejectionLifetime);
  CHECK(later.used + later.excess == doctest::Approx(before).epsilon(0.01));
}

TEST_CASE("a count from a part of the daemons is uncertain") {
  UpstreamWork work;
  CHECK(work.Estimate(kEngine, MakePeers(0, 1), kStart).deviation == 0);
  CHECK(work.Estimate(kEngine, MakePeers(0, 4), kStart).deviation > 0);
}

TEST_CASE("equal daemons with uncertain counts choose different upstreams") {
  const WorkSample sample{.estimate = {.used = 5000, .deviation = 2000},
                          .capacity = 10'000,
                          .need = 1000,
                          .kind = "k"};
  int first = 0;
  for (unsigned seed = 0; seed < 100; ++seed) {
    std::mt19937_64 random(seed);
    const auto loads = DrawWorkLoads({sample, sample}, random);
    if (loads[0].load < loads[1].load) ++first;
  }
  CHECK(first > 25);
  CHECK(first < 75);
}

TEST_CASE("room is judged by what a request may need") {
  std::mt19937_64 random(1);
  const WorkSample sample{.estimate = {.used = 8000},
                          .capacity = 10'000,
                          .need = 1900,
                          .kind = "k"};
  WorkSample larger = sample;
  larger.need = 2100;
  CHECK(DrawWorkLoads({sample}, random)[0].has_room);
  CHECK_FALSE(DrawWorkLoads({larger}, random)[0].has_room);
}

TEST_CASE("differences that are noise of the counts are evened out") {
  std::mt19937_64 random(1);
  constexpr int kSamples = 10;
  std::vector<WorkSample> samples;
  samples.reserve(kSamples);
  for (int i = 0; i < kSamples; ++i) {
    samples.push_back(
        {.estimate = {.used = i % 2 == 0 ? 9500.0 : 7500.0, .deviation = 3000},
         .capacity = 10'000,
         .need = 1000,
         .kind = "k"});
  }
  for (const auto& load : DrawWorkLoads(samples, random)) CHECK(load.has_room);
  for (auto& sample : samples) sample.estimate.deviation = 10;
  const auto loads = DrawWorkLoads(samples, random);
  CHECK_FALSE(loads[0].has_room);
  CHECK(loads[1].has_room);
}

}  // namespace wisteriayoke
