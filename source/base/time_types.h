#ifndef WISTERIAYOKE_BASE_TIME_TYPES_H_
#define WISTERIAYOKE_BASE_TIME_TYPES_H_

#include <chrono>

namespace wisteriayoke {

/// Duration in microseconds.
using Duration = std::chrono::microseconds;

/// Clock type of `TimePoint`. It has no `now()`: the event loop passes the time
/// to the decisions, which never read a clock.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// Time of the monotonic clock.
using TimePoint = std::chrono::time_point<MonotonicClock, Duration>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_BASE_TIME_TYPES_H_
