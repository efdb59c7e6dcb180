#include "decisions/retry_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

namespace wisteriayoke {

TEST_CASE(
    "retries stay within their share and only idempotent work is run twice") {
  CHECK(rc::check("budget", [] {
    RetryBudget budget;
    double requests = 0.0;
    double retries = 0.0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(600, rc::gen::inRange(0, 5));
    for (const int step : steps) {
      if (step == 0) {
        budget.RecordRequest();
        ++requests;
        continue;
      }
      const RetryRequest request{step % 2 == 0, step > 2};
      const RetryDecision decision = budget.TakeRetry(request);
      if (request.may_have_run && !request.idempotent) {
        RC_ASSERT(decision == RetryDecision::kMayHaveRun);
      }
      if (decision == RetryDecision::kAllowed) ++retries;
      RC_ASSERT(retries <= RetryLimits{}.max_balance +
                               RetryLimits{}.share * requests + 1e-6);
    }
  }));
}

TEST_CASE("only idempotent work is hedged") {
  RetryBudget budget;
  CHECK(budget.TakeHedge(false) == RetryDecision::kMayHaveRun);
  CHECK(budget.TakeHedge(true) == RetryDecision::kAllowed);
}

TEST_CASE("a spent budget refuses until new requests refill it") {
  RetryBudget budget;
  const RetryRequest request{.idempotent = true, .may_have_run = true};
  while (budget.TakeRetry(request) == RetryDecision::kAllowed) {
  }
  for (int i = 0; i < 6; ++i) budget.RecordRequest();
  CHECK(budget.TakeRetry(request) == RetryDecision::kAllowed);
  CHECK(budget.TakeRetry(request) == RetryDecision::kBudgetSpent);
}

}  // namespace wisteriayoke
