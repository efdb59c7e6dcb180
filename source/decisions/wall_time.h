#ifndef WISTERIAYOKE_DECISIONS_WALL_TIME_H_
#define WISTERIAYOKE_DECISIONS_WALL_TIME_H_

#include <chrono>

#include "base/time_types.h"

namespace wisteriayoke {

/// Time since the Unix epoch by an instance's clock. Instances' clocks differ
/// by at most a stated bound; the monotonic time line has no such relation.
using WallTime = std::chrono::milliseconds;

/// The time by both of a daemon's clocks.
struct ClockReading {
  TimePoint monotonic;
  WallTime wall{0};
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_WALL_TIME_H_
