#include "decisions/poll_interval.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

/// Jitter is at most a fourth of the interval to either side.
constexpr Duration::rep kJitterDivisor = 4;

}  // namespace

Duration SharedPollInterval(Duration interval, std::size_t group_size,
                            std::mt19937_64& random) {
  if (group_size > kMaxUnsharedGroup) {
    interval = interval * static_cast<Duration::rep>(group_size) /
               static_cast<Duration::rep>(kMaxUnsharedGroup);
  }
  std::uniform_int_distribution<Duration::rep> spread(interval.count() / 2,
                                                      interval.count());
  return Duration(spread(random));
}

Duration ComputePollInterval(std::size_t upstreams, Duration wanted) {
  constexpr Duration kSecond = std::chrono::seconds(1);
  const auto count = static_cast<Duration::rep>(upstreams);
  const auto rate = static_cast<Duration::rep>(kMaxPollsPerSecond);
  const Duration least = (kSecond * count + Duration(rate - 1)) / rate;
  return std::max(wanted, least);
}

Duration JitterPollInterval(Duration interval, std::mt19937_64& random) {
  const Duration::rep spread = interval.count() / kJitterDivisor;
  std::uniform_int_distribution<Duration::rep> offset(-spread, spread);
  return interval + Duration(offset(random));
}

}  // namespace wisteriayoke
