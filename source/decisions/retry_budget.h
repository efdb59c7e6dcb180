#ifndef WISTERIAYOKE_DECISIONS_RETRY_BUDGET_H_
#define WISTERIAYOKE_DECISIONS_RETRY_BUDGET_H_

#include <algorithm>

#include "base/names_table.h"

namespace wisteriayoke {

/// Whether a request may be sent once more.
enum class RetryDecision {
  kAllowed,
  kMayHaveRun,   ///< Not idempotent, and a byte of it may have been sent.
  kBudgetSpent,  ///< Retries have reached their share of the traffic.
};

inline constexpr auto kRetryDecisionNames = MakeNamesTable<RetryDecision>({
    {RetryDecision::kAllowed, "allowed"},
    {RetryDecision::kMayHaveRun, "may-have-run"},
    {RetryDecision::kBudgetSpent, "budget-spent"},
});

/// What is known about a request that is to be sent again.
struct RetryRequest {
  bool idempotent = false;
  bool may_have_run = true;
};

/// Bounds of one pool's budget.
struct RetryLimits {
  /// Retries that each first attempt allows: a fifth, the usual bound on what
  /// retries may add to a load.
  double share = 0.2;
  /// Most retries that can be saved up; also what a new budget holds, so that
  /// the loss of one instance's requests is covered.
  double max_balance = 64.0;
};

/// Bounds retries and hedges of a pool to a share of its first attempts, so
/// that a failing pool isn't loaded further by its own failures.
class RetryBudget {
 public:
  explicit RetryBudget(RetryLimits limits = {})
      : limits_(limits), balance_(limits.max_balance) {}

  /// Counts a first attempt.
  void RecordRequest();

  /// Decides about a retry and, if it is allowed, charges it.
  RetryDecision TakeRetry(const RetryRequest& question);

  /// Decides about a second copy of a request that still runs and, if it is
  /// allowed, charges it. Only idempotent work is ever hedged.
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
