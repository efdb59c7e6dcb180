#ifndef WISTERIAYOKE_DECISIONS_BOOT_TIME_H_
#define WISTERIAYOKE_DECISIONS_BOOT_TIME_H_

#include <chrono>

#include "base/time_types.h"

namespace wisteriayoke {

/// Identifies the time line that goes on while the instance is suspended, which
/// the monotonic one doesn't. What must not be used after a suspension (proofs
/// of freshness, leases) is measured on it.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

/// Point on the instance's time line since its boot.
using BootTime = std::chrono::time_point<BootClock, Duration>;

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_BOOT_TIME_H_
