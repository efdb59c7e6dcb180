#include "decisions/link_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

namespace wisteriayoke {

TEST_CASE("the amount taken stays within the rate, the burst and one request") {
  CHECK(rc::check("any requests", [] {
    constexpr double kRate = 1000;
    constexpr double kMaxAmount = 200;
    LinkBudget budget;
    TimePoint now(std::chrono::seconds(10));
    const TimePoint begin = now;
    double taken = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 100));
      const double amount = *rc::gen::inRange(1, 200);
      if (budget.TryTake(amount, kRate, now)) taken += amount;
      const double passed = std::chrono::duration<double>(now - begin).count();
      RC_ASSERT(taken <= kRate * (passed + 0.5) + kMaxAmount);
    }
  }));
}

TEST_CASE("an idle link takes one large request") {
  LinkBudget budget;
  CHECK(budget.TryTake(5000, 1000, TimePoint(std::chrono::seconds(10))));
  CHECK_FALSE(budget.TryTake(1, 1000, TimePoint(std::chrono::seconds(11))));
}

}  // namespace wisteriayoke
