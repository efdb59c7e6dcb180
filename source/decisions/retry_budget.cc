#include "decisions/retry_budget.h"

namespace wisteriayoke {
namespace {

/// Part of the full balance that is reserved.
constexpr double kReservedShare = 0.2;

}  // namespace

bool RetryBudget::CoversRetry(bool uses_reserve) const {
  if (uses_reserve) return balance_ >= 1.0;
  // A balance that hardly covers one retry when full has nothing to reserve.
  const double spare = std::max(0.0, limits_.max_balance - 1.0);
  return balance_ >=
         1.0 + std::min(kReservedShare * limits_.max_balance, spare);
}

void RetryBudget::RecordRequest() {
  balance_ = std::min(limits_.max_balance, balance_ + limits_.share);
}

RetryDecision RetryBudget::TakeRetry(const RetryRequest& request) {
  if (request.may_have_run && !request.idempotent) {
    return RetryDecision::kMayHaveRun;
  }
  if (!CoversRetry(request.uses_reserve)) return RetryDecision::kBudgetSpent;
  balance_ -= 1.0;
  return RetryDecision::kAllowed;
}

RetryDecision RetryBudget::TakeHedge(bool idempotent) {
  return TakeRetry({.idempotent = idempotent, .may_have_run = true});
}

}  // namespace wisteriayoke
