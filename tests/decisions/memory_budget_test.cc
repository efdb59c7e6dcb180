#include "decisions/memory_budget.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace wisteriayoke {
namespace {

using Usage = MemoryBudget::Usage;

constexpr std::uint64_t kLimit = 1'000'000;
const TimePoint kStart{std::chrono::hours(1)};

/// Adds a holder with `bytes` of an incomplete request.
MemoryBudget::HolderId AddReader(MemoryBudget& budget, std::uint64_t bytes) {
  const auto id = budget.Add(true, kStart);
  budget.Update(id, {.total_bytes = bytes, .input_bytes = bytes});
  return id;
}

bool Closes(const MemoryBudget::Decision& decision, MemoryBudget::HolderId id) {
  return std::any_of(
      decision.close.begin(), decision.close.end(),
      [id](const auto& closure) { return closure.holder == id; });
}

}  // namespace

// Guards against a budget that acts on ordinary callers in calm.
TEST_CASE("while memory is left everybody reads and nobody is closed") {
  MemoryBudget budget;
  const auto reader = AddReader(budget, 700'000);
  SUBCASE("without a limit") {}
  SUBCASE("below the limit") { budget.set_limit(kLimit); }
  CHECK(budget.MayRead(reader));
  CHECK(budget.Decide(kStart + std::chrono::hours(1)).close.empty());
  budget.Remove(reader);
  CHECK(budget.used() == 0);
}

TEST_CASE("while memory is low only small input is read") {
  MemoryBudget budget;
  budget.set_limit(kLimit);
  const auto large = AddReader(budget, 780'000);
  const auto small = AddReader(budget, 1000);
  CHECK_FALSE(budget.MayRead(large));
  CHECK(budget.MayRead(small));
  budget.Update(small, {.total_bytes = 300'000, .input_bytes = 1000});
  CHECK_FALSE(budget.MayRead(small));
}

// Guards against a crowd that stops short and keeps its memory.
TEST_CASE("the largest stalled holder is closed, a trickle being no progress") {
  MemoryBudget budget;
  budget.set_limit(kLimit);
  const auto stalled = AddReader(budget, 500'000);
  const auto active = AddReader(budget, 300'000);
  const TimePoint now = kStart + MemoryBudget::kStallTime;
  budget.RecordProgress(stalled, 1, now);
  budget.RecordProgress(active, MemoryBudget::kProgressBytes, now);
  const auto decision = budget.Decide(now);
  CHECK(Closes(decision, stalled));
  CHECK_FALSE(Closes(decision, active));
  CHECK(budget.CountClosures(MemoryRule::kStalled) == 1);
}

// Guards against a request that ran and whose caller learns nothing of it.
TEST_CASE("a holder whose request is served is never closed") {
  MemoryBudget budget;
  budget.set_limit(kLimit);
  const auto served = AddReader(budget, 2'000'000);
  budget.SetForwarded(served, true, kStart);
  const auto call = budget.Add(false, kStart);
  budget.Update(call, {.total_bytes = 2'000'000});
  const auto reader = AddReader(budget, 10'000);
  const TimePoint now = kStart + std::chrono::hours(1);
  const auto decision = budget.Decide(now);
  CHECK(Closes(decision, reader));
  CHECK_FALSE(Closes(decision, served));
  CHECK_FALSE(Closes(decision, call));
  budget.Remove(reader);
  CHECK_FALSE(budget.ChooseIdle(now).has_value());
}

// Guards against parked connections that wait for each other until they time
// out.
TEST_CASE("one parked holder reads on while memory is low, all of them after") {
  MemoryBudget budget;
  budget.set_limit(kLimit);
  const auto larger = AddReader(budget, 500'000);
  const auto smaller = AddReader(budget, 400'000);
  budget.Park(larger);
  budget.Park(smaller);
  const TimePoint now = kStart + std::chrono::seconds(5);
  auto decision = budget.Decide(now);
  CHECK(decision.close.empty());
  CHECK(decision.resume == std::vector{larger});
  CHECK(decision.again);
  CHECK(budget.MayRead(larger));
  CHECK_FALSE(budget.MayRead(smaller));
  budget.Remove(larger);
  decision = budget.Decide(now);
  CHECK(decision.resume == std::vector{smaller});
  CHECK_FALSE(decision.again);
}

TEST_CASE("over the limit holders are closed until the rest fits") {
  MemoryBudget budget;
  budget.set_limit(kLimit);
  for (int i = 0; i < 12; ++i) AddReader(budget, 100'000);
  const auto decision = budget.Decide(kStart);
  CHECK(decision.close.size() == 2);
  CHECK(budget.CountClosures(MemoryRule::kOverBudget) == 2);
}

TEST_CASE("the holder that is idle for longest gives up its descriptor") {
  MemoryBudget budget;
  const auto oldest = budget.Add(true, kStart);
  budget.Add(true, kStart + std::chrono::milliseconds(1));
  CHECK_FALSE(budget.ChooseIdle(kStart).has_value());
  CHECK(budget.ChooseIdle(kStart + std::chrono::seconds(1)) == oldest);
}

}  // namespace wisteriayoke
