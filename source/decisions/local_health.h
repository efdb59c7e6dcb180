#ifndef WISTERIAYOKE_DECISIONS_LOCAL_HEALTH_H_
#define WISTERIAYOKE_DECISIONS_LOCAL_HEALTH_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "base/ids.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// Judges how far a daemon can trust its own probes, by the lateness of its
/// event loop and by the number of members that left probes unanswered
/// recently.
class LocalHealth {
 public:
  /// Score of a daemon whose probes say least; 0 is a healthy one's.
  static constexpr int kMaxScore = 4;
  /// Number of latest probes that count.
  static constexpr std::size_t kProbes = 8;

  /// `tick_interval` is the time in which ticks are due.
  explicit LocalHealth(Duration tick_interval)
      : tick_interval_(tick_interval) {}

  /// Records a tick and returns how late it came.
  Duration RecordTick(TimePoint now);

  /// Records the end of a probe of a member that wasn't suspected before.
  void RecordProbe(const DaemonName& member, bool answered);

  int score() const;

 private:
  struct Probe {
    DaemonName member;
    bool answered = false;
  };

  std::size_t CountSilentMembers() const;

  Duration tick_interval_;
  std::optional<TimePoint> last_tick_;
  Duration lateness_{};       ///< Greatest recent one; decays.
  std::deque<Probe> probes_;  ///< The latest ones.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_LOCAL_HEALTH_H_
