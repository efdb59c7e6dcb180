#ifndef WISTERIAYOKE_DECISIONS_POLL_INTERVAL_H_
#define WISTERIAYOKE_DECISIONS_POLL_INTERVAL_H_

#include <cstddef>
#include <random>

#include "base/time_types.h"

namespace wisteriayoke {

/// Daemons up to which each polls at the interval of its settings.
inline constexpr std::size_t kPollsUnshared = 16;

/// Returns a random delay before the next read of something that a daemon
/// passes on to its peers at once. In a larger group each daemon reads less
/// often, so that the load on the platform doesn't grow with the group.
inline Duration SharedPollInterval(Duration interval, std::size_t group_size,
                                   std::minstd_rand& random) {
  if (group_size > kPollsUnshared) {
    interval = interval * static_cast<Duration::rep>(group_size) /
               static_cast<Duration::rep>(kPollsUnshared);
  }
  std::uniform_int_distribution<Duration::rep> spread(interval.count() / 2,
                                                      interval.count());
  return Duration(spread(random));
}

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_POLL_INTERVAL_H_
