#include "decisions/circuit_breaker.h"

#include <algorithm>

namespace wisteriayoke {

bool CircuitBreaker::TryStart(TimePoint now) {
  switch (state_) {
    case BreakerState::kClosed:
      return true;
    case BreakerState::kHalfOpen:
      return false;
    case BreakerState::kOpen:
      break;
  }
  if (now < probe_at_) return false;
  state_ = BreakerState::kHalfOpen;
  return true;
}

void CircuitBreaker::RecordSuccess() {
  // A call that started before the breaker opened doesn't close it.
  if (state_ == BreakerState::kOpen) return;
  state_ = BreakerState::kClosed;
  failures_ = 0;
  pause_ = limits_.first_pause;
}

void CircuitBreaker::RecordFailure(TimePoint now) {
  if (state_ == BreakerState::kOpen) return;
  if (state_ == BreakerState::kHalfOpen) {
    pause_ = std::min(pause_ * 2, limits_.max_pause);
  } else if (++failures_ < limits_.failures) {
    return;
  }
  state_ = BreakerState::kOpen;
  failures_ = 0;
  probe_at_ = now + pause_;
}

}  // namespace wisteriayoke
