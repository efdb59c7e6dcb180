#include "decisions/relay_course.h"

#include "base/overloaded.h"

namespace wisteriayoke {
namespace {

/// Charges one repetition to `budget`; false if there is none left.
bool Charge(RetryBudget& budget) {
  return budget.TakeRetry({.idempotent = true, .may_have_run = false}) ==
         RetryVerdict::kAllowed;
}

}  // namespace

ResultCode CodeOf(const CourseEvent& event) {
  return std::visit(
      Overloaded{
          [](const AttemptFailed&) { return ResultCode::kUpstreamFailed; },
          [](const TimeOver&) { return ResultCode::kDeadlineExceeded; },
          [](const StopReached&) { return ResultCode::kShutdownCut; },
          [](const auto& other) { return other.code; }},
      event);
}

CourseAction RelayCourse::Handle(const CourseEvent& event,
                                 RetryBudget& budget) {
  return std::visit(
      Overloaded{
          [this](const NoTarget& none) { return End(none.code); },
          [&](const AttemptRejected& rejected) {
            return HandleRejection(rejected, budget);
          },
          [&](const AttemptLost& lost) { return HandleLoss(lost, budget); },
          [&](const AttemptFailed&) { return HandleFailure(budget); },
          [this](const TimeOver&) {
            return End(ResultCode::kDeadlineExceeded);
          },
          [this](const StopReached&) { return HandleStop(); },
      },
      event);
}

CourseAction RelayCourse::HandleRejection(const AttemptRejected& event,
                                          RetryBudget& budget) {
  under_way_ = false;
  const bool again = ++rejections_ <= kMostRejections && Charge(budget);
  if (again) return SendAgain{};
  return End(event.code);
}

CourseAction RelayCourse::HandleLoss(const AttemptLost& event,
                                     RetryBudget& budget) {
  under_way_ = false;
  const bool spared = event.upstream_gone && gone_ < kMostGone;
  ++(spared ? gone_ : runs_);
  const bool again = rules_.repeatable && runs_ < rules_.max_attempts;
  if (again && Charge(budget)) return SendAgain{};
  return End(event.code);
}

CourseAction RelayCourse::HandleFailure(RetryBudget& budget) {
  under_way_ = false;
  ++runs_;
  const bool again =
      rules_.repeatable && !delivering_ && runs_ < rules_.max_attempts;
  if (again && Charge(budget)) return SendAgain{};
  return PassAnswer{};
}

CourseAction RelayCourse::HandleStop() const {
  if (delivering_) return BreakAnswer{ResultCode::kShutdownCut};
  return End(ResultCode::kDraining);
}

CourseAction RelayCourse::End(ResultCode code) const {
  if (delivering_) return BreakAnswer{code};
  if (may_have_run()) {
    const bool late = code == ResultCode::kDeadlineExceeded;
    return FailUnknown{late ? code : ResultCode::kUpstreamFailed};
  }
  const bool late = code == ResultCode::kDeadlineExceeded;
  return RefuseUnrun{late ? ResultCode::kDeadlineTooShort : code};
}

}  // namespace wisteriayoke
