#include "decisions/retry_budget.h"

namespace wisteriayoke {

void RetryBudget::RecordRequest() {
  balance_ = std::min(limits_.max_balance, balance_ + limits_.share);
}

RetryVerdict RetryBudget::TakeRetry(const RetryQuestion& question) {
  if (question.may_have_run && !question.idempotent) {
    return RetryVerdict::kMayHaveRun;
  }
  if (balance_ < 1.0) return RetryVerdict::kBudgetSpent;
  balance_ -= 1.0;
  return RetryVerdict::kAllowed;
}

RetryVerdict RetryBudget::TakeHedge(bool idempotent) {
  return TakeRetry({.idempotent = idempotent, .may_have_run = true});
}

}  // namespace wisteriayoke
