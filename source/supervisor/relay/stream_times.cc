#include "supervisor/relay/stream_times.h"

#include <algorithm>

namespace wisteriayoke {
namespace {

/// Silence of a stream, as a multiple of its mean time between events, after
/// which it is treated as stalled.
constexpr int kStallGapFactor = 3;
/// Least such silence: the time that the prefill of another request adds to a
/// gap.
constexpr Duration kMinStallThreshold = std::chrono::milliseconds(70);

}  // namespace

Duration StreamTimes::RecordEvent(TimePoint now) {
  if (!begun()) {
    first_event_after_ = now - arrived_;
    last_event_at_ = now;
    return *first_event_after_;
  }
  const Duration gap = now - last_event_at_;
  last_event_at_ = now;
  longest_gap_ = std::max(longest_gap_, gap);
  gap_sum_ += gap;
  ++gap_count_;
  return gap;
}

Duration StreamTimes::StallThreshold() const {
  if (gap_count_ == 0) return kMaxStallThreshold;
  return std::clamp(kStallGapFactor * gap_sum_ / gap_count_, kMinStallThreshold,
                    kMaxStallThreshold);
}

bool StreamTimes::IsLate(const RelayRoute& route, TimePoint now) const {
  if (!begun()) return now - arrived_ > route.latency_objective;
  return std::max(longest_gap_, now - last_event_at_) > route.max_event_gap ||
         *first_event_after_ > route.latency_objective;
}

}  // namespace wisteriayoke
