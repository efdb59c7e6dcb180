#include "supervisor/relay/return_time.h"

#include <algorithm>

#include "supervisor/relay/relay_target.h"

namespace wisteriayoke {
namespace {

/// Longest return time given to a refused caller, and the part of its remaining
/// time, in thousandths, that it is at most.
constexpr Duration kMaxReturnTime = std::chrono::seconds(6);
constexpr int kReturnTimePerMille = 330;
/// Return time while no upstream holds some layers; about what it takes to load
/// them.
constexpr Duration kRepairTime = std::chrono::milliseconds(1200);

}  // namespace

Duration ComputeReturnTime(const DaemonContext& context, const PoolName& pool,
                           ResultCode code, Duration time_left,
                           RequestRank rank) {
  PlaceQueue& places = context.state.relay.places[pool];
  const TimePoint now = context.loop.Now();
  const Duration least = ComputeRetryDelay(context, pool);
  const Duration most =
      std::min(kMaxReturnTime, time_left * kReturnTimePerMille / 1000);
  if (code == ResultCode::kNoUpstream) {
    return places.ScheduleReturn(std::max(least, kRepairTime), most, now, rank);
  }
  if (code == ResultCode::kOverloaded || code == ResultCode::kUpstreamRefused) {
    return places.ScheduleReturn(least, most, now, rank);
  }
  return least;
}

}  // namespace wisteriayoke
