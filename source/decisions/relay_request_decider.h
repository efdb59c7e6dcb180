#ifndef WISTERIAYOKE_DECISIONS_RELAY_REQUEST_DECIDER_H_
#define WISTERIAYOKE_DECISIONS_RELAY_REQUEST_DECIDER_H_

#include <cstdint>
#include <variant>

#include "base/names_table.h"
#include "base/result_code.h"
#include "decisions/retry_budget.h"

namespace wisteriayoke {

/// No upstream can take the request now.
struct TargetUnavailable {
  ResultCode code = ResultCode::kNoUpstream;
};

/// The attempt ended and has certainly not run: no byte of it was sent, or the
/// upstream rejected it.
struct AttemptRejected {
  ResultCode code = ResultCode::kUpstreamRefused;
};

/// The attempt ended without a whole answer and may have run.
struct AttemptLost {
  ResultCode code = ResultCode::kUpstreamFailed;
  bool upstream_dead = false;  ///< Whether the upstream is known to be dead.
};

/// The attempt makes no progress, but may still do so: its upstream may be
/// sound.
struct AttemptStalled {
  ResultCode code = ResultCode::kTimedOut;
};

/// The upstream ran the request and answered that it failed.
struct AttemptFailed {};

/// The caller's time limit has passed.
struct TimeLimitPassed {};

/// The deadline of the daemon's stop has passed; the request is terminated.
struct StopDeadlinePassed {};

using RelayRequestEvent =
    std::variant<TargetUnavailable, AttemptRejected, AttemptLost,
                 AttemptStalled, AttemptFailed, TimeLimitPassed,
                 StopDeadlinePassed>;

/// Returns the reason for which an attempt ended or could not start.
ResultCode CodeOf(const RelayRequestEvent& event);

/// End the attempt, if it still runs, choose another upstream and send the
/// request there.
struct RetryElsewhere {};

/// Leave the attempt as it is.
struct KeepAttempt {};

/// Choose another upstream after a pause, once `PayForRetry` allows it.
struct RetryLater {};

/// Forward the upstream's answer unchanged.
struct ForwardAnswer {};

/// Answer that the request has not run and never will.
struct RefuseNotRun {
  ResultCode code = ResultCode::kOk;
};

/// Answer that the request failed and may have run.
struct FailOutcomeUnknown {
  ResultCode code = ResultCode::kOk;
};

/// Abort the answer that has begun, so that the caller can't take it for whole.
struct AbortAnswer {
  ResultCode code = ResultCode::kOk;
};

using RelayRequestAction =
    std::variant<RetryElsewhere, KeepAttempt, RetryLater, ForwardAnswer,
                 RefuseNotRun, FailOutcomeUnknown, AbortAnswer>;

/// Limits that the route sets on attempts.
struct RelayRequestRules {
  bool repeatable = false;  ///< Whether the request may run more than once.
  std::uint32_t max_attempts = 1;  ///< Attempts that may run the request.
  /// Whether its repetitions may use the reserve of the retry budget. Those of
  /// an answer that has begun may in any case.
  bool uses_reserve = true;
};

/// Decides the next step when an attempt at a relayed request fails.
///
/// The request is refused as not run only if no attempt may have run it. A
/// request that isn't repeatable is sent again only if all attempts before have
/// certainly not run. Silence ends an attempt only if another may follow it,
/// and rejections never end an answer that the caller has a part of.
class RelayRequestDecider {
 public:
  /// Most rejected attempts that are repeated, so that a caller is refused
  /// early when all upstreams are full.
  static constexpr std::uint32_t kMaxRepeatedRejections = 2;
  /// Most runs lost with their upstreams that don't count as attempts.
  static constexpr std::uint32_t kMaxUncountedLosses = 2;

  explicit RelayRequestDecider(RelayRequestRules rules) : rules_(rules) {}

  /// Records that an attempt is under way.
  void RecordSent() { under_way_ = true; }

  /// Records that a part of the answer was delivered to the caller.
  void RecordDelivery() { delivering_ = true; }

  /// Handles the end of an attempt or of the time limit and returns the action
  /// to perform. A repetition is charged to `budget`.
  RelayRequestAction Handle(const RelayRequestEvent& event,
                            RetryBudget& budget);

  /// Returns whether another attempt may follow one that is stalled.
  bool MayLeaveStalled(const RetryBudget& budget) const;

  /// Charges to `budget` the repetition that follows `RetryLater`. Returns
  /// false while the budget is spent.
  bool PayForRetry(RetryBudget& budget);

  bool may_have_run() const {
    return under_way_ || runs_ + lost_with_upstream_ > 0;
  }

 private:
  bool uses_reserve() const { return delivering_ || rules_.uses_reserve; }
  bool Charge(RetryBudget& budget) const;
  RelayRequestAction HandleRejection(const AttemptRejected& event,
                                     RetryBudget& budget);
  RelayRequestAction HandleLoss(const AttemptLost& event, RetryBudget& budget);
  RelayRequestAction HandleStall(RetryBudget& budget);
  RelayRequestAction HandleFailure(RetryBudget& budget);
  RelayRequestAction HandleStop() const;
  RelayRequestAction End(ResultCode code) const;

  RelayRequestRules rules_;
  bool under_way_ = false;
  bool delivering_ = false;
  bool owes_retry_ = false;  ///< Whether the next attempt isn't paid for yet.
  std::uint32_t runs_ = 0;
  std::uint32_t lost_with_upstream_ = 0;  ///< Runs that don't count.
  std::uint32_t rejections_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_RELAY_REQUEST_DECIDER_H_
