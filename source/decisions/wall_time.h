#ifndef WISTERIAYOKE_DECISIONS_WALL_TIME_H_
#define WISTERIAYOKE_DECISIONS_WALL_TIME_H_

#include <chrono>

#include "base/time_types.h"

namespace wisteriayoke {

/// Time since the Unix epoch by an instance's clock. The clocks of instances
/// differ by at most a configured bound; monotonic clocks are unrelated.
using WallTime = std::chrono::milliseconds;

/// The time by a daemon's monotonic clock and by its wall clock.
struct ClockReading {
  TimePoint monotonic;
  WallTime wall{0};
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_WALL_TIME_H_
