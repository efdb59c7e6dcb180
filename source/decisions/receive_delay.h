#ifndef WISTERIAYOKE_DECISIONS_RECEIVE_DELAY_H_
#define WISTERIAYOKE_DECISIONS_RECEIVE_DELAY_H_

#include <optional>

#include "base/time_types.h"

namespace wisteriayoke {

/// Bounds how long a message may have waited in the socket before a daemon that
/// was suspended handles it. The ages in such a message are too low by the
/// wait.
class ReceiveDelay {
 public:
  /// Shorter gaps between the events of a daemon don't count.
  static constexpr Duration kShortestGap = std::chrono::milliseconds(500);
  /// Time after a gap within which the messages that waited are handled.
  static constexpr Duration kCatchUpTime = std::chrono::milliseconds(500);

  /// Records that an event is handled at `now`; ticks come regularly.
  void RecordEvent(TimePoint now) {
    const Duration gap = now - last_event_.value_or(now);
    last_event_ = now;
    if (gap >= kShortestGap) {
      longest_ += gap;
      resumed_ = now;
    } else if (now - resumed_ >= kCatchUpTime) {
      longest_ = {};
    }
  }

  /// Returns the longest time for which a message that is handled now may have
  /// waited; zero unless the daemon was suspended a moment ago.
  Duration longest() const { return longest_; }

 private:
  std::optional<TimePoint> last_event_;
  TimePoint resumed_{};
  Duration longest_{};
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_RECEIVE_DELAY_H_
