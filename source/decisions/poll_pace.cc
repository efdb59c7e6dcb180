#include "decisions/poll_pace.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

/// An interval is spread by a fourth to both sides.
constexpr Duration::rep kSpreadDivisor = 4;

}  // namespace

Duration ComputePollInterval(std::size_t upstreams, Duration wanted) {
  constexpr Duration kSecond = std::chrono::seconds(1);
  const auto count = static_cast<Duration::rep>(upstreams);
  const auto rate = static_cast<Duration::rep>(kMaxPollsPerSecond);
  const Duration least = (kSecond * count + Duration(rate - 1)) / rate;
  return std::max(wanted, least);
}

Duration SpreadPollInterval(Duration interval, std::mt19937_64& random) {
  const Duration::rep spread = interval.count() / kSpreadDivisor;
  std::uniform_int_distribution<Duration::rep> offset(-spread, spread);
  return interval + Duration(offset(random));
}

}  // namespace wisteriayoke
