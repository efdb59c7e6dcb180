#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_TIMELINE_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_TIMELINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/result_code.h"
#include "supervisor/context/event_kind.h"
#include "supervisor/context/log.h"
#include "supervisor/context/metrics.h"

namespace wisteriayoke {

/// Time of a hybrid logical clock: wall time, then a counter that orders the
/// events of one microsecond and those caused by a message from a fast clock.
struct HybridTime {
  std::uint64_t wall_us = 0;
  std::uint32_t counter = 0;

  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

/// One event of one daemon.
struct TimelineEvent {
  HybridTime time;
  EventKind kind = EventKind::kStarted;
  ResultCode code = ResultCode::kOk;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// Keeps the latest events of a daemon in memory, since the instances have no
/// disks, and counts and logs each. No decision depends on them.
class Timeline {
 public:
  /// Most events that are kept; the oldest are dropped first.
  static constexpr std::size_t kCapacity = 2000;

  /// Counts the events in `metrics`.
  explicit Timeline(Metrics& metrics) : metrics_(metrics) {}

  /// Adds an event, stamped with the hybrid clock, and logs it.
  void Record(LogLevel level, EventKind kind, ResultCode code,
              std::initializer_list<LogField> fields) {
    RecordFields(level, kind, code, {fields.begin(), fields.size()});
  }
  void RecordFields(LogLevel level, EventKind kind, ResultCode code,
                    std::span<const LogField> fields);

  /// Moves the clock to at least `seen`, the time in a message from a peer, so
  /// that the next tick is later.
  void AdvancePast(const HybridTime& seen);

  /// Advances the clock and returns its time, for an event or an outgoing
  /// message.
  HybridTime Tick();

  const std::deque<TimelineEvent>& events() const { return events_; }

 private:
  Metrics& metrics_;
  HybridTime last_;
  std::deque<TimelineEvent> events_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_TIMELINE_H_
