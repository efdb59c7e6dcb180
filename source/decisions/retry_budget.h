#ifndef WISTERIAYOKE_DECISIONS_RETRY_BUDGET_H_
#define WISTERIAYOKE_DECISIONS_RETRY_BUDGET_H_

#include <algorithm>

#include "base/names_table.h"

namespace wisteriayoke {

/// Whether a request may be sent once more.
enum class RetryDecision {
  kAllowed,
  kMayHaveRun,   ///< Not idempotent, and a byte of it may have been sent.
  kBudgetSpent,  ///< Retries have used up their share of the first attempts.
};

inline constexpr auto kRetryDecisionNames = MakeNamesTable<RetryDecision>({
    {RetryDecision::kAllowed, "allowed"},
    {RetryDecision::kMayHaveRun, "may-have-run"},
    {RetryDecision::kBudgetSpent, "budget-spent"},
});

/// Properties of a request that is to be sent again.
struct RetryRequest {
  bool idempotent = false;
  bool may_have_run = true;
  bool uses_reserve = true;  ///< Whether it may use the reserve.
};

/// Bounds of one pool's budget.
struct RetryLimits {
  /// Retries earned by each first attempt: a fifth, the usual bound on the load
  /// that retries may add.
  double share = 0.2;
  /// Most retries that can accumulate, and the balance of a new budget; enough
  /// to repeat the requests that are lost with one instance.
  double max_balance = 64.0;
};

/// Bounds retries and hedges of a pool to a share of its first attempts, so
/// that a failing pool isn't loaded further by its own failures.
class RetryBudget {
 public:
  explicit RetryBudget(RetryLimits limits = {})
      : limits_(limits), balance_(limits.max_balance) {}

  /// Records a first attempt, which adds `share` to the balance.
  void RecordRequest();

  /// Returns whether the balance covers one more retry. A part of the full
  /// balance is reserved for retries that may use the reserve.
  bool CoversRetry(bool uses_reserve = true) const;

  /// Decides whether a retry is allowed and, if so, charges it.
  RetryDecision TakeRetry(const RetryRequest& request);

  /// Decides whether a second copy of a request that still runs is allowed and,
  /// if so, charges it. Only idempotent work is ever hedged.
  RetryDecision TakeHedge(bool idempotent);

  double balance() const { return balance_; }

  /// Sets other bounds, for a budget that several daemons share.
  void set_limits(RetryLimits limits) {
    limits_ = limits;
    balance_ = std::min(balance_, limits.max_balance);
  }

 private:
  RetryLimits limits_;
  double balance_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_RETRY_BUDGET_H_
