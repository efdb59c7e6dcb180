#include "decisions/relay_request_decider.h"

#include "base/overloaded.h"

namespace wisteriayoke {

ResultCode CodeOf(const RelayRequestEvent& event) {
  return std::visit(
      Overloaded{
          [](const AttemptFailed&) { return ResultCode::kUpstreamFailed; },
          [](const TimeLimitPassed&) { return ResultCode::kDeadlineExceeded; },
          [](const StopDeadlinePassed&) { return ResultCode::kShutdownCut; },
          [](const auto& other) { return other.code; }},
      event);
}

/// Charges one repetition to `budget`; returns false if the budget is spent.
bool RelayRequestDecider::Charge(RetryBudget& budget) const {
  return budget.TakeRetry({.idempotent = true,
                           .may_have_run = false,
                           .uses_reserve = uses_reserve()}) ==
         RetryDecision::kAllowed;
}

RelayRequestAction RelayRequestDecider::Handle(const RelayRequestEvent& event,
                                               RetryBudget& budget) {
  return std::visit(
      Overloaded{
          [this](const TargetUnavailable& none) { return End(none.code); },
          [&](const AttemptRejected& rejected) {
            return HandleRejection(rejected, budget);
          },
          [&](const AttemptLost& lost) { return HandleLoss(lost, budget); },
          [&](const AttemptStalled&) { return HandleStall(budget); },
          [&](const AttemptFailed&) { return HandleFailure(budget); },
          [this](const TimeLimitPassed&) {
            return End(ResultCode::kDeadlineExceeded);
          },
          [this](const StopDeadlinePassed&) { return HandleStop(); },
      },
      event);
}

RelayRequestAction RelayRequestDecider::HandleRejection(
    const AttemptRejected& event, RetryBudget& budget) {
  under_way_ = false;
  const bool again = ++rejections_ <= kMaxRepeatedRejections && Charge(budget);
  if (again) return RetryElsewhere{};
  if (!delivering_) return End(event.code);
  owes_retry_ = true;
  return RetryLater{};
}

bool RelayRequestDecider::PayForRetry(RetryBudget& budget) {
  if (owes_retry_ && Charge(budget)) owes_retry_ = false;
  return !owes_retry_;
}

RelayRequestAction RelayRequestDecider::HandleLoss(const AttemptLost& event,
                                                   RetryBudget& budget) {
  under_way_ = false;
  const bool uncounted =
      event.upstream_dead && lost_with_upstream_ < kMaxUncountedLosses;
  ++(uncounted ? lost_with_upstream_ : runs_);
  const bool again = rules_.repeatable && runs_ < rules_.max_attempts;
  if (again && Charge(budget)) return RetryElsewhere{};
  return End(event.code);
}

bool RelayRequestDecider::MayLeaveStalled(const RetryBudget& budget) const {
  return rules_.repeatable && runs_ + 1 < rules_.max_attempts &&
         budget.CoversRetry(uses_reserve());
}

RelayRequestAction RelayRequestDecider::HandleStall(RetryBudget& budget) {
  if (!MayLeaveStalled(budget) || !Charge(budget)) return KeepAttempt{};
  under_way_ = false;
  ++runs_;
  return RetryElsewhere{};
}

RelayRequestAction RelayRequestDecider::HandleFailure(RetryBudget& budget) {
  if (delivering_) return HandleLoss({}, budget);
  under_way_ = false;
  ++runs_;
  const bool again = rules_.repeatable && runs_ < rules_.max_attempts;
  if (again && Charge(budget)) return RetryElsewhere{};
  return ForwardAnswer{};
}

RelayRequestAction RelayRequestDecider::HandleStop() const {
  if (delivering_) return AbortAnswer{ResultCode::kShutdownCut};
  return End(ResultCode::kDraining);
}

RelayRequestAction RelayRequestDecider::End(ResultCode code) const {
  if (delivering_) return AbortAnswer{code};
  if (may_have_run()) {
    const bool late = code == ResultCode::kDeadlineExceeded;
    return FailOutcomeUnknown{late ? code : ResultCode::kUpstreamFailed};
  }
  const bool late = code == ResultCode::kDeadlineExceeded;
  return RefuseNotRun{late ? ResultCode::kDeadlineTooShort : code};
}

}  // namespace wisteriayoke
