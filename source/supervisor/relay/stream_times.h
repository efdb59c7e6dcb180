#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_STREAM_TIMES_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_STREAM_TIMES_H_

#include <optional>

#include "base/time_types.h"
#include "decisions/relay_tables.h"

namespace wisteriayoke {

/// When the events of one stream reached its caller.
class StreamTimes {
 public:
  explicit StreamTimes(TimePoint arrived) : arrived_(arrived) {}

  /// Records an event at `now` and returns the time since the one before it or,
  /// for the first event, since the request's arrival.
  Duration RecordEvent(TimePoint now);

  /// Whether the caller has an event.
  bool begun() const { return first_event_after_.has_value(); }

  /// Time from the arrival to the first event.
  std::optional<Duration> first_event_after() const {
    return first_event_after_;
  }

  /// Longest time between two events.
  Duration longest_gap() const { return longest_gap_; }

  /// Returns the silence after which the stream is treated as stalled.
  Duration StallThreshold() const;

  /// Returns whether the answer, which ended at `now`, was later than the
  /// objective of `route`. The silence before its end counts as a gap.
  bool IsLate(const RelayRoute& route, TimePoint now) const;

 private:
  TimePoint arrived_;
  std::optional<Duration> first_event_after_;
  TimePoint last_event_at_;
  Duration longest_gap_{};
  Duration gap_sum_{};
  int gap_count_ = 0;
};

/// Longest silence of a stream before it is treated as stalled: the longest
/// pause that callers don't notice.
inline constexpr Duration kMaxStallThreshold = std::chrono::milliseconds(200);

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_STREAM_TIMES_H_
