#include "supervisor/relay/stall_detector.h"

#include "supervisor/relay/stream_times.h"

namespace wisteriayoke {
namespace {

/// Silence after which a stalled stream is moved although no stage is known to
/// be at fault; callers leave after two seconds.
constexpr Duration kStallTimeout = std::chrono::milliseconds(1100);

}  // namespace

void StallDetector::RecordProgress(TimePoint now) {
  last_progress_ = now;
  reported_at_.reset();
  rerouted_at_.reset();
}

bool StallDetector::TakeReport(Duration threshold, TimePoint now) {
  const bool due = reported_at_ ? now - *reported_at_ >= kMaxStallThreshold
                                : SilenceAt(now) >= threshold;
  if (due) reported_at_ = now;
  return due;
}

bool StallDetector::TakeReroute(TimePoint now) {
  const bool due = rerouted_at_ ? now - *rerouted_at_ >= kMaxStallThreshold
                                : SilenceAt(now) >= kStallTimeout;
  if (due) rerouted_at_ = now;
  return due;
}

}  // namespace wisteriayoke
