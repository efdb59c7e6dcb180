#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

#include "ledger_simulation.h"

namespace wisteriayoke {
namespace {

constexpr std::size_t kSteps = 90;

std::vector<std::uint32_t> MakeTape(std::mt19937_64& generator) {
  std::vector<std::uint32_t> tape(kSteps);
  for (auto& number : tape) number = static_cast<std::uint32_t>(generator());
  return tape;
}

/// Returns the promise that breaks first over many random tapes.
std::optional<std::string> Search(BrokenRule rule, bool timed, bool numbered,
                                  int tapes) {
  std::mt19937_64 generator(20261204);
  for (int i = 0; i < tapes; ++i) {
    LedgerSimulation world(rule, timed, numbered);
    if (auto broken = world.Play(MakeTape(generator))) return broken;
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("work runs at most once and outcomes told stay true") {
  const bool holds = rc::check("ledger over interleavings", [] {
    const bool timed = *rc::gen::arbitrary<bool>();
    const bool numbered = *rc::gen::arbitrary<bool>();
    const auto tape = *rc::gen::container<std::vector<std::uint32_t>>(
        kSteps, rc::gen::arbitrary<std::uint32_t>());
    LedgerSimulation world(BrokenRule::kNone, timed, numbered);
    const auto broken = world.Play(tape);
    if (broken) RC_FAIL(*broken);
  });
  CHECK(holds);
}

TEST_CASE("long search over tapes finds no broken promise and all outcomes") {
  constexpr int kTapes = 20000;
  std::mt19937_64 generator(1);
  std::size_t runs = 0;
  std::size_t replays = 0;
  std::size_t not_run = 0;
  for (int i = 0; i < kTapes; ++i) {
    LedgerSimulation world(BrokenRule::kNone, i % 2 == 0, i % 4 < 2);
    const auto broken = world.Play(MakeTape(generator));
    REQUIRE_MESSAGE(!broken, *broken);
    runs += world.runs();
    replays += world.replays();
    not_run += world.not_run();
  }
  MESSAGE("runs ", runs, ", replays ", replays, ", not-run ", not_run);
  CHECK(runs > 0);
  CHECK(replays > 0);
  CHECK(not_run > 0);
}

TEST_CASE("each rule of the ledger is needed") {
  constexpr int kTapes = 20000;
  for (const auto& row : kBrokenRuleNames.rows()) {
    if (row.value == BrokenRule::kNone) continue;
    const auto broken = Search(row.value, true, true, kTapes);
    MESSAGE(std::string(row.name), ": ", broken.value_or("nothing broke"));
    CHECK_MESSAGE(broken.has_value(), std::string(row.name));
  }
}

}  // namespace wisteriayoke
