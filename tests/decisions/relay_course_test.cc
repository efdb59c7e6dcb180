#include "decisions/relay_course.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <variant>

namespace wisteriayoke {
namespace {

template <typename Action>
bool Is(const CourseAction& action) {
  return std::holds_alternative<Action>(action);
}

CourseEvent DrawEvent() {
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return AttemptRejected{};
    case 1:
      return AttemptLost{.upstream_gone = *rc::gen::arbitrary<bool>()};
    case 2:
      return AttemptFailed{};
    case 3:
      return NoTarget{};
    case 4:
      return StopReached{};
    default:
      return TimeOver{};
  }
}

/// Whether the request may have run during the attempt that `event` ended.
bool MayHaveRun(const CourseEvent& event) {
  return !std::holds_alternative<AttemptRejected>(event);
}

}  // namespace

TEST_CASE("a refusal is true and non-idempotent work runs at most once") {
  CHECK(rc::check("any course", [] {
    const CourseRules rules{
        .repeatable = *rc::gen::arbitrary<bool>(),
        .max_attempts = static_cast<std::uint32_t>(*rc::gen::inRange(1, 4))};
    RelayCourse course(rules);
    RetryBudget budget;
    std::uint32_t runs = 0;
    bool delivered = false;
    for (int step = 0; step < 50; ++step) {
      course.RecordSent();
      delivered = delivered || *rc::gen::arbitrary<bool>();
      if (delivered) course.RecordDelivery();
      CourseEvent event = DrawEvent();
      // An upstream that delivered a part of the answer has run the request.
      if (delivered && !MayHaveRun(event)) event = AttemptLost{};
      if (MayHaveRun(event)) ++runs;
      const CourseAction action = course.Handle(event, budget);
      if (Is<SendAgain>(action)) {
        RC_ASSERT(rules.repeatable || runs == 0);
        continue;
      }
      if (Is<RefuseUnrun>(action)) RC_ASSERT(runs == 0);
      if (Is<RefuseUnrun>(action) || Is<FailUnknown>(action)) {
        RC_ASSERT(!delivered);
      }
      RC_ASSERT(runs <= rules.max_attempts + RelayCourse::kMostGone);
      return;
    }
    RC_FAIL("the course has no end");
  }));
}

TEST_CASE("a rejected attempt is repeated, whatever the kind of work") {
  RelayCourse course({.repeatable = false, .max_attempts = 1});
  RetryBudget budget;
  for (std::uint32_t i = 0; i < RelayCourse::kMostRejections; ++i) {
    course.RecordSent();
    CHECK(Is<SendAgain>(course.Handle(AttemptRejected{}, budget)));
  }
  course.RecordSent();
  const auto last = course.Handle(
      AttemptRejected{.code = ResultCode::kUpstreamRefused}, budget);
  REQUIRE(Is<RefuseUnrun>(last));
  CHECK(std::get<RefuseUnrun>(last).code == ResultCode::kUpstreamRefused);
}

TEST_CASE("what may have run is not refused when the time is over") {
  RetryBudget budget;
  RelayCourse unsent({.repeatable = false, .max_attempts = 1});
  CHECK(Is<RefuseUnrun>(unsent.Handle(TimeOver{}, budget)));
  RelayCourse sent({.repeatable = false, .max_attempts = 1});
  sent.RecordSent();
  CHECK(Is<FailUnknown>(sent.Handle(TimeOver{}, budget)));
}

TEST_CASE("what a stop cuts is told as such, but never falsely as not run") {
  RetryBudget budget;
  RelayCourse unsent({.repeatable = true, .max_attempts = 2});
  CHECK(Is<RefuseUnrun>(unsent.Handle(StopReached{}, budget)));
  RelayCourse sent({.repeatable = true, .max_attempts = 2});
  sent.RecordSent();
  CHECK(Is<FailUnknown>(sent.Handle(StopReached{}, budget)));
  RelayCourse begun({.repeatable = true, .max_attempts = 2});
  begun.RecordSent();
  begun.RecordDelivery();
  const auto action = begun.Handle(StopReached{}, budget);
  REQUIRE(Is<BreakAnswer>(action));
  CHECK(std::get<BreakAnswer>(action).code == ResultCode::kShutdownCut);
}

TEST_CASE("an answer that was begun is broken off, not answered anew") {
  RetryBudget budget;
  RelayCourse course({.repeatable = false, .max_attempts = 1});
  course.RecordSent();
  course.RecordDelivery();
  CHECK(Is<BreakAnswer>(course.Handle(AttemptLost{}, budget)));
}

TEST_CASE("a run that was lost with its upstream doesn't count") {
  RetryBudget budget;
  RelayCourse course({.repeatable = true, .max_attempts = 1});
  course.RecordSent();
  CHECK(
      Is<SendAgain>(course.Handle(AttemptLost{.upstream_gone = true}, budget)));
  course.RecordSent();
  CHECK(Is<FailUnknown>(course.Handle(AttemptLost{}, budget)));
}

TEST_CASE("without budget nothing is repeated") {
  RetryBudget budget;
  budget.set_limits({.max_balance = 0});
  RelayCourse course({.repeatable = true, .max_attempts = 3});
  course.RecordSent();
  CHECK(Is<FailUnknown>(course.Handle(AttemptLost{}, budget)));
  RelayCourse rejected({.repeatable = true, .max_attempts = 3});
  rejected.RecordSent();
  CHECK(Is<RefuseUnrun>(rejected.Handle(AttemptRejected{}, budget)));
}

TEST_CASE("the failure of the last attempt is the caller's answer") {
  RetryBudget budget;
  RelayCourse course({.repeatable = true, .max_attempts = 2});
  course.RecordSent();
  CHECK(Is<SendAgain>(course.Handle(AttemptFailed{}, budget)));
  course.RecordSent();
  CHECK(Is<PassAnswer>(course.Handle(AttemptFailed{}, budget)));
}

}  // namespace wisteriayoke
