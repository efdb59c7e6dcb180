#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_REQUEST_TIMER_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_REQUEST_TIMER_H_

#include <optional>

#include "supervisor/context/metrics.h"

namespace wisteriayoke {

/// Measures one request for the metrics.
class RequestTimer {
 public:
  RequestTimer(Metrics& metrics, TimePoint now)
      : metrics_(metrics), started_(now) {}

  /// Notes that the request leaves its queue.
  void NoteAdmitted(TimePoint now) {
    metrics_.Observe(LatencyKind::kQueueWait, now - started_);
  }

  /// Notes that a token goes to the caller.
  void NoteToken(TimePoint now) {
    const auto kind = last_token_ ? LatencyKind::kTimeBetweenTokens
                                  : LatencyKind::kTimeToFirstToken;
    metrics_.Observe(kind, now - last_token_.value_or(started_));
    last_token_ = now;
  }

  /// Notes that the request was answered with `code`.
  void NoteEnd(ResultCode code, TimePoint now) {
    metrics_.CountAnswer(code);
    metrics_.Observe(LatencyKind::kRequestTime, now - started_);
  }

 private:
  Metrics& metrics_;
  TimePoint started_;
  std::optional<TimePoint> last_token_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_REQUEST_TIMER_H_
