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

LayerHost MakeHost(int number, double memory_mb, const std::string& centre) {
  return {.name = UpstreamName("u" + std::to_string(number)),
          .data_centre = DataCentreName(centre),
          .memory_mb = memory_mb};
}

/// The hosts of one of the sites in docs/PLATFORM.md.
std::vector<LayerHost> MakeSite() {
  struct Row {
    const char* centre;
    int counts[4];  ///< In the order of `kMemories`.
  };
  constexpr Row kRows[] = {
      {"a", {1, 1, 5, 7}}, {"b", {0, 1, 8, 3}}, {"c", {0, 2, 4, 7}}};
  std::vector<LayerHost> hosts;
  for (const auto& row : kRows) {
    for (int kind = 0; kind < 4; ++kind) {
      for (int i = 0; i < row.counts[kind]; ++i) {
        hosts.push_back(MakeHost(static_cast<int>(hosts.size()),
                                 kMemories[kind], row.centre));
      }
    }
  }
  return hosts;
}

void Hold(const LayerPlan& plan, std::vector<LayerHost>& hosts) {
  for (auto& host : hosts) {
    const auto found = plan.find(host.name);
    if (found != plan.end()) host.held = found->second;
  }
}

/// Returns how many hosts of `centre`, or of all if it is empty, hold each
/// layer.
std::vector<int> CountHolders(const std::vector<LayerHost>& hosts,
                              const std::string& centre) {
  std::vector<int> counts(80, 0);
  for (const auto& host : hosts) {
    if (!centre.empty() && host.data_centre.text() != centre) continue;
    for (auto i = host.held.first; i < host.held.end; ++i) ++counts[i];
  }
  return counts;
}

bool CoversAll(const std::vector<int>& counts) {
  return std::find(counts.begin(), counts.end(), 0) == counts.end();
}

}  // namespace

TEST_CASE("each data centre that has the memory holds every layer") {
  auto hosts = MakeSite();
  Hold(PlanLayers(MakeModel(), hosts), hosts);
  for (const char* centre : {"a", "b", "c"}) {
    CHECK(CoversAll(CountHolders(hosts, centre)));
  }
}

TEST_CASE("no host gets more layers than fit in its memory, whatever it held") {
  CHECK(rc::check("any hosts", [] {
    const LayeredModel model = MakeModel();
    std::vector<LayerHost> hosts;
    const int count = *rc::gen::inRange(0, 30);
    for (int i = 0; i < count; ++i) {
      auto host = MakeHost(i, kMemories[*rc::gen::inRange(0, 4)],
                           std::string(1, "abcd"[*rc::gen::inRange(0, 4)]));
      const std::uint32_t max_layers = MaxLayers(model, host.memory_mb);
      if (*rc::gen::inRange(0, 3) == 0) {
        const auto length = *rc::gen::inRange<std::uint32_t>(1, max_layers + 1);
        const auto first = *rc::gen::inRange<std::uint32_t>(0, 81 - length);
        host.held = {first, first + length};
      }
      host.loading = *rc::gen::inRange(0, 8) == 0;
      host.in_flight = *rc::gen::inRange<std::uint32_t>(0, 3);
      hosts.push_back(host);
    }
    const LayerPlan plan = PlanLayers(model, hosts);
    for (const auto& [name, range] : plan) {
      const auto host = std::find_if(
          hosts.begin(), hosts.end(),
          [&name = name](const LayerHost& c) { return c.name == name; });
      RC_ASSERT(range.first < range.end && range.end <= 80);
      RC_ASSERT(range.end - range.first <= MaxLayers(model, host->memory_mb));
      if (host->loading && host->held != LayerRange{}) {
        RC_ASSERT(range == host->held);
      }
    }
  }));
}

TEST_CASE("all layers are covered whenever the hosts allow it") {
  CHECK(rc::check("empty hosts", [] {
    const LayeredModel model = MakeModel();
    std::vector<LayerHost> hosts;
    std::uint32_t layers = 0;
    const int count = *rc::gen::inRange(1, 30);
    for (int i = 0; i < count; ++i) {
      hosts.push_back(
          MakeHost(i, kMemories[*rc::gen::inRange(0, 4)],
                   std::string(1, "abcd"[*rc::gen::inRange(0, 4)])));
      layers += MaxLayers(model, hosts.back().memory_mb);
    }
    Hold(PlanLayers(model, hosts), hosts);
    // Each group is covered on its own; the joined group may lack the memory.
    const std::vector<int> counts = CountHolders(hosts, "");
    if (layers < 80) return;
    std::uint32_t best = 0;
    for (const char* centre : {"a", "b", "c", "d"}) {
      std::uint32_t sum = 0;
      for (const auto& host : hosts) {
        if (host.data_centre.text() != centre) continue;
        sum += MaxLayers(model, host.memory_mb);
      }
      best = std::max(best, sum);
    }
    if (best >= 80 || best * 4 < 80) RC_ASSERT(best < 80 || CoversAll(counts));
    if (best < 80) RC_ASSERT(CoversAll(counts));
  }));
}

TEST_CASE("a plan that has been applied isn't changed") {
  auto hosts = MakeSite();
  const LayerPlan plan = PlanLayers(MakeModel(), hosts);
  Hold(plan, hosts);
  CHECK(PlanLayers(MakeModel(), hosts) == plan);
}

TEST_CASE("after the loss of any one host its layers are covered again") {
  const auto site = MakeSite();
  auto full = site;
  Hold(PlanLayers(MakeModel(), site), full);
  for (std::size_t lost = 0; lost < full.size(); ++lost) {
    auto hosts = full;
    const std::string centre = hosts[lost].data_centre.text();
    hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(lost));
    const LayerPlan plan = PlanLayers(MakeModel(), hosts);
    std::size_t moved = 0;
    for (const auto& host : hosts) {
      if (plan.at(host.name) != host.held) ++moved;
    }
    Hold(plan, hosts);
    CHECK(CoversAll(CountHolders(hosts, "")));
    CHECK(moved <= 7);
  }
}

TEST_CASE("a gap is assigned to an idle host before one with requests") {
  std::vector<LayerHost> hosts = {
      MakeHost(0, 72'000, "a"), MakeHost(1, 72'000, "a"),
      MakeHost(2, 21'600, "a"), MakeHost(3, 21'600, "a")};
  hosts[0].held = {0, 40};
  hosts[1].held = {40, 72};
  hosts[2].held = {0, 8};
  hosts[2].in_flight = 3;
  hosts[3].held = {8, 16};
  const LayerPlan plan = PlanLayers(MakeModel(), hosts);
  CHECK(plan.at(UpstreamName("u3")) == LayerRange{72, 80});
  CHECK(plan.at(UpstreamName("u2")) == LayerRange{0, 8});
}

TEST_CASE("a gap isn't assigned to a host that is loading") {
  std::vector<LayerHost> hosts = {
      MakeHost(0, 72'000, "a"), MakeHost(1, 72'000, "a"),
      MakeHost(2, 21'600, "a"), MakeHost(3, 14'400, "a")};
  hosts[0].held = {0, 40};
  hosts[1].held = {40, 75};
  hosts[2].held = {0, 8};
  hosts[2].loading = true;
  const LayerPlan plan = PlanLayers(MakeModel(), hosts);
  CHECK(plan.at(UpstreamName("u3")) == LayerRange{75, 80});
  CHECK(plan.at(UpstreamName("u2")) == LayerRange{0, 8});
}

TEST_CASE("a host doesn't keep more layers than fit in its memory") {
  const LayeredModel model = MakeModel();
  auto hosts = MakeSite();
  Hold(PlanLayers(model, hosts), hosts);
  hosts[1].held = {0, 40};
  const auto plan = PlanLayers(model, hosts);
  const auto found = plan.find(hosts[1].name);
  if (found != plan.end()) {
    CHECK(found->second.end - found->second.first <=
          MaxLayers(model, hosts[1].memory_mb));
  }
}

TEST_CASE("a gap that can't be closed doesn't uncover other layers") {
  const LayeredModel model = MakeModel();
  std::vector<LayerHost> hosts;
  for (const auto& host : MakeSite()) {
    if (host.data_centre.text() == "b") hosts.push_back(host);
  }
  Hold(PlanLayers(model, hosts), hosts);
  while (hosts.size() > 4) {
    hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(hosts.size() / 2));
    const auto before = CountHolders(hosts, "");
    Hold(PlanLayers(model, hosts), hosts);
    const auto after = CountHolders(hosts, "");
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
