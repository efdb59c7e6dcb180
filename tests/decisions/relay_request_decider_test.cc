#include "decisions/relay_request_decider.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <variant>

namespace wisteriayoke {
namespace {

template <typename Action>
bool Is(const RelayRequestAction& action) {
  return std::holds_alternative<Action>(action);
}

RelayRequestEvent DrawEvent() {
  switch (*rc::gen::inRange(0, 7)) {
    case 0:
      return AttemptRejected{};
    case 1:
      return AttemptLost{.upstream_dead = *rc::gen::arbitrary<bool>()};
    case 2:
      return AttemptFailed{};
    case 3:
      return TargetUnavailable{};
    case 4:
      return StopDeadlinePassed{};
    case 5:
      return AttemptStalled{};
    default:
      return TimeLimitPassed{};
  }
}

/// Returns whether the request may have run in the attempt that `event` ended.
bool MayHaveRun(const RelayRequestEvent& event) {
  return !std::holds_alternative<AttemptRejected>(event);
}

}  // namespace

TEST_CASE(
    "a request is refused only if it hasn't run, and rerun only if "
    "repeatable") {
  CHECK(rc::check("any order of events", [] {
    const RelayRequestRules rules{
        .repeatable = *rc::gen::arbitrary<bool>(),
        .max_attempts = static_cast<std::uint32_t>(*rc::gen::inRange(1, 4))};
    RelayRequestDecider decider(rules);
    RetryBudget budget;
    std::uint32_t runs = 0;
    bool delivered = false;
    for (int step = 0; step < 50; ++step) {
      decider.RecordSent();
      delivered = delivered || *rc::gen::arbitrary<bool>();
      if (delivered) decider.RecordDelivery();
      RelayRequestEvent event = DrawEvent();
      // An upstream that delivered a part of the answer has run the request.
      if (delivered && !MayHaveRun(event)) event = AttemptLost{};
      const RelayRequestAction action = decider.Handle(event, budget);
      if (std::holds_alternative<AttemptStalled>(event)) {
        RC_ASSERT(Is<KeepAttempt>(action) || Is<RetryElsewhere>(action));
      }
      if (Is<KeepAttempt>(action)) continue;
      if (MayHaveRun(event)) ++runs;
      if (Is<RetryElsewhere>(action)) {
        RC_ASSERT(rules.repeatable || runs == 0);
        continue;
      }
      if (Is<RefuseNotRun>(action)) RC_ASSERT(runs == 0);
      if (Is<RefuseNotRun>(action) || Is<FailOutcomeUnknown>(action) ||
          Is<ForwardAnswer>(action)) {
        RC_ASSERT(!delivered);
      }
      RC_ASSERT(runs <=
                rules.max_attempts + RelayRequestDecider::kMaxUncountedLosses);
      return;
    }
    RC_FAIL("the request has no end");
  }));
}

TEST_CASE("a rejected attempt is repeated even if it may run only once") {
  RelayRequestDecider decider({.repeatable = false, .max_attempts = 1});
  RetryBudget budget;
  for (std::uint32_t i = 0; i < RelayRequestDecider::kMaxRepeatedRejections;
       ++i) {
    decider.RecordSent();
    CHECK(Is<RetryElsewhere>(decider.Handle(AttemptRejected{}, budget)));
  }
  decider.RecordSent();
  const auto last = decider.Handle(
      AttemptRejected{.code = ResultCode::kUpstreamRefused}, budget);
  REQUIRE(Is<RefuseNotRun>(last));
  CHECK(std::get<RefuseNotRun>(last).code == ResultCode::kUpstreamRefused);
}

TEST_CASE("a request that may have run is not refused at the time limit") {
  RetryBudget budget;
  RelayRequestDecider unsent({.repeatable = false, .max_attempts = 1});
  CHECK(Is<RefuseNotRun>(unsent.Handle(TimeLimitPassed{}, budget)));
  RelayRequestDecider sent({.repeatable = false, .max_attempts = 1});
  sent.RecordSent();
  CHECK(Is<FailOutcomeUnknown>(sent.Handle(TimeLimitPassed{}, budget)));
}

TEST_CASE(
    "a request that a stop terminates is never falsely reported as not run") {
  RetryBudget budget;
  RelayRequestDecider unsent({.repeatable = true, .max_attempts = 2});
  CHECK(Is<RefuseNotRun>(unsent.Handle(StopDeadlinePassed{}, budget)));
  RelayRequestDecider sent({.repeatable = true, .max_attempts = 2});
  sent.RecordSent();
  CHECK(Is<FailOutcomeUnknown>(sent.Handle(StopDeadlinePassed{}, budget)));
  RelayRequestDecider delivering({.repeatable = true, .max_attempts = 2});
  delivering.RecordSent();
  delivering.RecordDelivery();
  const auto action = delivering.Handle(StopDeadlinePassed{}, budget);
  REQUIRE(Is<AbortAnswer>(action));
  CHECK(std::get<AbortAnswer>(action).code == ResultCode::kShutdownCut);
}

TEST_CASE("an answer that has begun is aborted, not replaced") {
  RetryBudget budget;
  RelayRequestDecider decider({.repeatable = false, .max_attempts = 1});
  decider.RecordSent();
  decider.RecordDelivery();
  CHECK(Is<AbortAnswer>(decider.Handle(AttemptLost{}, budget)));
}

TEST_CASE("a run that is lost with its upstream is not counted") {
  RetryBudget budget;
  RelayRequestDecider decider({.repeatable = true, .max_attempts = 1});
  decider.RecordSent();
  CHECK(Is<RetryElsewhere>(
      decider.Handle(AttemptLost{.upstream_dead = true}, budget)));
  decider.RecordSent();
  CHECK(Is<FailOutcomeUnknown>(decider.Handle(AttemptLost{}, budget)));
}

// Guards against answers cut because their sound upstream was silent.
TEST_CASE("silence ends an attempt only if another may follow it") {
  RetryBudget budget;
  const auto stall = [](RelayRequestRules rules, RetryBudget& charged) {
    RelayRequestDecider decider(rules);
    decider.RecordSent();
    decider.RecordDelivery();
    return decider.Handle(AttemptStalled{}, charged);
  };
  CHECK(Is<RetryElsewhere>(
      stall({.repeatable = true, .max_attempts = 2}, budget)));
  CHECK(
      Is<KeepAttempt>(stall({.repeatable = true, .max_attempts = 1}, budget)));
  CHECK(
      Is<KeepAttempt>(stall({.repeatable = false, .max_attempts = 2}, budget)));
  RetryBudget spent;
  spent.set_limits({.max_balance = 0});
  CHECK(Is<KeepAttempt>(stall({.repeatable = true, .max_attempts = 2}, spent)));
}

// Guards against started streams cut because the other upstreams are full.
TEST_CASE(
    "rejections never end a started answer, and each repeat is paid for") {
  constexpr int kRejections = 10;
  RetryBudget budget;
  const double before = budget.balance();
  RelayRequestDecider decider({.repeatable = true, .max_attempts = 2});
  decider.RecordDelivery();
  for (int i = 0; i < kRejections; ++i) {
    decider.RecordSent();
    const auto action = decider.Handle(AttemptRejected{}, budget);
    CHECK((Is<RetryElsewhere>(action) || Is<RetryLater>(action)));
    CHECK(decider.PayForRetry(budget));
  }
  CHECK(budget.balance() == before - kRejections);
  budget.set_limits({.share = 0.5, .max_balance = 0});
  CHECK(Is<RetryLater>(decider.Handle(AttemptRejected{}, budget)));
  CHECK_FALSE(decider.PayForRetry(budget));
  budget.set_limits({.share = 1, .max_balance = 1});
  budget.RecordRequest();
  CHECK(decider.PayForRetry(budget));
  CHECK(decider.PayForRetry(budget));
}

TEST_CASE("nothing is repeated when the budget is spent") {
  RetryBudget budget;
  budget.set_limits({.max_balance = 0});
  RelayRequestDecider decider({.repeatable = true, .max_attempts = 3});
  decider.RecordSent();
  CHECK(Is<FailOutcomeUnknown>(decider.Handle(AttemptLost{}, budget)));
  RelayRequestDecider rejected({.repeatable = true, .max_attempts = 3});
  rejected.RecordSent();
  CHECK(Is<RefuseNotRun>(rejected.Handle(AttemptRejected{}, budget)));
}

TEST_CASE("the failure of the last attempt is the caller's answer") {
  RetryBudget budget;
  RelayRequestDecider decider({.repeatable = true, .max_attempts = 2});
  decider.RecordSent();
  CHECK(Is<RetryElsewhere>(decider.Handle(AttemptFailed{}, budget)));
  decider.RecordSent();
  CHECK(Is<ForwardAnswer>(decider.Handle(AttemptFailed{}, budget)));
}

}  // namespace wisteriayoke
