#include "decisions/circuit_breaker.h"

#include <doctest/doctest.h>

namespace wisteriayoke {

TEST_CASE("a breaker opens after failures, probes once and closes again") {
  const BreakerLimits limits;
  CircuitBreaker breaker(limits);
  TimePoint now;
  for (std::uint32_t i = 0; i < limits.failures; ++i) {
    CHECK(breaker.TryStart(now));
    breaker.RecordFailure(now);
  }
  CHECK(breaker.state() == BreakerState::kOpen);
  CHECK_FALSE(breaker.TryStart(now));
  now += limits.first_pause;
  CHECK(breaker.TryStart(now));
  CHECK_FALSE(breaker.TryStart(now));
  breaker.RecordFailure(now);
  now += limits.first_pause;
  CHECK_FALSE(breaker.TryStart(now));
  now += limits.first_pause;
  CHECK(breaker.TryStart(now));
  breaker.RecordSuccess();
  CHECK(breaker.state() == BreakerState::kClosed);
}

}  // namespace wisteriayoke
