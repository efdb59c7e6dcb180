#include "decisions/retry_budget.h"

namespace wisteriayoke {

void RetryBudget::RecordRequest() {
  balance_ = std::min(limits_.max_balance, balance_ + limits_.share);
}

RetryDecision RetryBudget::TakeRetry(const RetryRequest& request) {
  if (request.may_have_run && !request.idempotent) {
    return RetryDecision::kMayHaveRun;
  }
  if (!CoversRetry()) return RetryDecision::kBudgetSpent;
  balance_ -= 1.0;
  return RetryDecision::kAllowed;
}

RetryDecision RetryBudget::TakeHedge(bool idempotent) {
  return TakeRetry({.idempotent = idempotent, .may_have_run = true});
}

}  // namespace wisteriayoke
