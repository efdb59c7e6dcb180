#ifndef WISTERIAYOKE_SUPERVISOR_RELAY_STALL_DETECTOR_H_
#define WISTERIAYOKE_SUPERVISOR_RELAY_STALL_DETECTOR_H_

#include <optional>

#include "base/time_types.h"

namespace wisteriayoke {

/// Decides by the silence of one attempt when its upstreams are polled and when
/// it is moved although none is known to be at fault. However often it is
/// asked, each answer is positive at most once in kMaxStallThreshold.
class StallDetector {
 public:
  /// Handles that the attempt was sent, or made progress, at `now`.
  void RecordProgress(TimePoint now);

  Duration SilenceAt(TimePoint now) const { return now - last_progress_; }

  /// Returns whether the stall is to be reported: first after a silence of
  /// `threshold`.
  bool TakeReport(Duration threshold, TimePoint now);

  /// Returns whether the attempt is to be moved.
  bool TakeReroute(TimePoint now);

  /// Whether the present silence was reported.
  bool reported() const { return reported_at_.has_value(); }

 private:
  TimePoint last_progress_;
  std::optional<TimePoint> reported_at_;
  std::optional<TimePoint> rerouted_at_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_RELAY_STALL_DETECTOR_H_
