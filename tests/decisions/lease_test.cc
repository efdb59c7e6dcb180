#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "lease_simulation.h"

namespace wisteriayoke {
namespace {

constexpr std::size_t kSteps = 200;

std::vector<std::uint32_t> MakeChoices(std::mt19937_64& generator) {
  std::vector<std::uint32_t> choices(kSteps);
  for (auto& number : choices) number = static_cast<std::uint32_t>(generator());
  return choices;
}

}  // namespace

TEST_CASE("no order of an older holder takes effect after a newer holder's") {
  const bool holds = rc::check("leases over interleavings", [] {
    const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(
        kSteps, rc::gen::arbitrary<std::uint32_t>());
    LeaseSimulation simulation(DisabledLeaseRule::kNone);
    const auto violation = simulation.Simulate(choices);
    if (violation) RC_FAIL(*violation);
  });
  CHECK(holds);
}

TEST_CASE("random runs change holders and violate no property") {
  constexpr int kRuns = 10000;
  std::mt19937_64 generator(3);
  std::size_t max_holders = 0;
  for (int i = 0; i < kRuns; ++i) {
    LeaseSimulation simulation(DisabledLeaseRule::kNone);
    const auto violation = simulation.Simulate(MakeChoices(generator));
    REQUIRE_MESSAGE(!violation, *violation);
    max_holders = std::max(max_holders, simulation.holders());
  }
  CHECK(max_holders > 1);
  MESSAGE("most holders in a run: ", max_holders);
}

TEST_CASE("each rule of the lease is needed") {
  constexpr int kRuns = 50000;
  for (const auto& row : kDisabledLeaseRuleNames.rows()) {
    if (row.value == DisabledLeaseRule::kNone) continue;
    std::mt19937_64 generator(4);
    std::optional<std::string> violation;
    for (int i = 0; i < kRuns && !violation; ++i) {
      violation = LeaseSimulation(row.value).Simulate(MakeChoices(generator));
    }
    MESSAGE(std::string(row.name), ": ", violation.value_or("no violation"));
    CHECK_MESSAGE(violation.has_value(), std::string(row.name));
  }
}

TEST_CASE("a daemon of lower rank reads the lease less often") {
  LeaseManager manager(DaemonName("d"), "token", {});
  const auto count_reads = [&manager](std::size_t rank, int ticks) {
    int reads = 0;
    for (int i = 0; i < ticks; ++i) {
      for (const auto& action : manager.Handle(LeaseTick{rank}, {})) {
        const auto operation = std::get<ReadLease>(action).operation;
        manager.Handle(LeaseCallFailed{operation}, {});
        ++reads;
      }
    }
    return reads;
  };
  CHECK(count_reads(0, 16) == 16);
  CHECK(count_reads(1, 16) == 8);
  CHECK(count_reads(7, 16) == 2);
  // The reads of a whole group hardly grow with its size.
  constexpr int kTicks = 840;
  const auto count_group_reads = [&count_reads](std::size_t size) {
    int reads = 0;
    for (std::size_t rank = 1; rank < size; ++rank) {
      reads += count_reads(rank, kTicks);
    }
    return reads;
  };
  CHECK(count_group_reads(320) <= 4 * count_group_reads(4));
}

}  // namespace wisteriayoke
