#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

#include "ledger_simulation.h"

namespace wisteriayoke {
namespace {

constexpr std::size_t kSteps = 90;

std::vector<std::uint32_t> MakeChoices(std::mt19937_64& generator) {
  std::vector<std::uint32_t> choices(kSteps);
  for (auto& number : choices) number = static_cast<std::uint32_t>(generator());
  return choices;
}

/// Returns the first violation over many random sequences of choices.
std::optional<std::string> Search(DisabledRule rule, bool timed, bool numbered,
                                  int sequences) {
  std::mt19937_64 generator(20261204);
  for (int i = 0; i < sequences; ++i) {
    LedgerSimulation simulation(rule, timed, numbered);
    if (auto found = simulation.Simulate(MakeChoices(generator))) return found;
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("work runs at most once and reported outcomes stay true") {
  const bool holds = rc::check("ledger over interleavings", [] {
    const bool timed = *rc::gen::arbitrary<bool>();
    const bool numbered = *rc::gen::arbitrary<bool>();
    const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(
        kSteps, rc::gen::arbitrary<std::uint32_t>());
    LedgerSimulation simulation(DisabledRule::kNone, timed, numbered);
    const auto violation = simulation.Simulate(choices);
    if (violation) RC_FAIL(*violation);
  });
  CHECK(holds);
}

TEST_CASE("a long random search finds no violation and reaches all outcomes") {
  constexpr int kSequences = 20000;
  std::mt19937_64 generator(1);
  std::size_t runs = 0;
  std::size_t replays = 0;
  std::size_t not_run = 0;
  for (int i = 0; i < kSequences; ++i) {
    LedgerSimulation simulation(DisabledRule::kNone, i % 2 == 0, i % 4 < 2);
    const auto violation = simulation.Simulate(MakeChoices(generator));
    REQUIRE_MESSAGE(!violation, *violation);
    runs += simulation.runs();
    replays += simulation.replays();
    not_run += simulation.not_run();
  }
  MESSAGE("runs ", runs, ", replays ", replays, ", not-run ", not_run);
  CHECK(runs > 0);
  CHECK(replays > 0);
  CHECK(not_run > 0);
}

TEST_CASE("each rule of the ledger is needed") {
  constexpr int kSequences = 20000;
  for (const auto& row : kDisabledRuleNames.rows()) {
    if (row.value == DisabledRule::kNone) continue;
    const auto violation = Search(row.value, true, true, kSequences);
    MESSAGE(std::string(row.name), ": ", violation.value_or("no violation"));
    CHECK_MESSAGE(violation.has_value(), std::string(row.name));
  }
}

}  // namespace wisteriayoke
