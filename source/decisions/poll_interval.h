#ifndef WISTERIAYOKE_DECISIONS_POLL_INTERVAL_H_
#define WISTERIAYOKE_DECISIONS_POLL_INTERVAL_H_

#include <cstddef>
#include <random>

#include "base/time_types.h"

namespace wisteriayoke {

/// Size of the largest group whose daemons poll the platform at the configured
/// interval.
inline constexpr std::size_t kMaxUnsharedGroup = 16;

/// Returns a random delay, half of `interval` to all of it, before the next
/// read of platform data that a daemon forwards to its peers at once. It grows
/// with groups over kMaxUnsharedGroup, so that the platform's load doesn't.
Duration SharedPollInterval(Duration interval, std::size_t group_size,
                            std::mt19937_64& random);

/// Most polls of upstreams that one daemon makes in a second, on average.
inline constexpr std::size_t kMaxPollsPerSecond = 160;

/// Returns the mean time between two polls of one of `upstreams` upstreams by
/// one daemon: `wanted`, or longer so as not to exceed kMaxPollsPerSecond.
/// Daemons share what they find, so that the larger the group, the sooner one
/// of them polls a given upstream.
Duration ComputePollInterval(std::size_t upstreams, Duration wanted);

/// Returns a random time around `interval`, so that daemons that start together
/// don't poll together. Its mean is `interval`.
Duration JitterPollInterval(Duration interval, std::mt19937_64& random);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_POLL_INTERVAL_H_
