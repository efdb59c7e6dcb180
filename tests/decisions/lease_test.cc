#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "lease_simulation.h"

namespace wisteriayoke {
namespace {

constexpr std::size_t kSteps = 200;

std::vector<std::uint32_t> MakeTape(std::mt19937_64& generator) {
  std::vector<std::uint32_t> tape(kSteps);
  for (auto& number : tape) number = static_cast<std::uint32_t>(generator());
  return tape;
}

}  // namespace

TEST_CASE("no order of an older holder takes effect after a newer holder's") {
  const bool holds = rc::check("leases over interleavings", [] {
    const auto tape = *rc::gen::container<std::vector<std::uint32_t>>(
        kSteps, rc::gen::arbitrary<std::uint32_t>());
    LeaseSimulation world(BrokenLeaseRule::kNone);
    const auto broken = world.Play(tape);
    if (broken) RC_FAIL(*broken);
  });
  CHECK(holds);
}

TEST_CASE("long search over tapes changes holders and breaks no promise") {
  constexpr int kTapes = 10000;
  std::mt19937_64 generator(3);
  std::size_t most_holders = 0;
  for (int i = 0; i < kTapes; ++i) {
    LeaseSimulation world(BrokenLeaseRule::kNone);
    const auto broken = world.Play(MakeTape(generator));
    REQUIRE_MESSAGE(!broken, *broken);
    most_holders = std::max(most_holders, world.holders());
  }
  CHECK(most_holders > 1);
  MESSAGE("most holders in a tape: ", most_holders);
}

TEST_CASE("each rule of the lease is needed") {
  constexpr int kTapes = 50000;
  for (const auto& row : kBrokenLeaseRuleNames.rows()) {
    if (row.value == BrokenLeaseRule::kNone) continue;
    std::mt19937_64 generator(4);
    std::optional<std::string> broken;
    for (int i = 0; i < kTapes && !broken; ++i) {
      broken = LeaseSimulation(row.value).Play(MakeTape(generator));
    }
    MESSAGE(std::string(row.name), ": ", broken.value_or("nothing broke"));
    CHECK_MESSAGE(broken.has_value(), std::string(row.name));
  }
}

TEST_CASE("a daemon with others before it seldom looks at the lease") {
  LeaseManager keeper(DaemonName("d"), "token", {});
  const auto count_looks = [&keeper](std::size_t rank, int ticks) {
    int looks = 0;
    for (int i = 0; i < ticks; ++i) {
      for (const auto& action : keeper.Handle(LeaseTick{rank}, {})) {
        const auto operation = std::get<ReadLease>(action).operation;
        keeper.Handle(LeaseCallFailed{operation}, {});
        ++looks;
      }
    }
    return looks;
  };
  CHECK(count_looks(0, 16) == 16);
  CHECK(count_looks(1, 16) == 8);
  CHECK(count_looks(319, 16) == 2);
}

}  // namespace wisteriayoke
