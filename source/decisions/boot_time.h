#ifndef WISTERIAYOKE_DECISIONS_BOOT_TIME_H_
#define WISTERIAYOKE_DECISIONS_BOOT_TIME_H_

#include <chrono>

#include "base/time_types.h"

namespace wisteriayoke {

/// Tag of the clock that counts time since boot and keeps running while the
/// instance is suspended, unlike the monotonic clock. Used for data that a
/// suspension must make expire: proofs that the tables are up to date, and
/// leases.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

/// Time since the instance booted, including the time it was suspended.
using BootTime = std::chrono::time_point<BootClock, Duration>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_BOOT_TIME_H_
