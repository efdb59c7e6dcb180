#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_REQUEST_TIMER_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_REQUEST_TIMER_H_

#include <optional>

#include "supervisor/context/metrics.h"

namespace wisteriayoke {

/// Records the latencies and the outcome of one request in the metrics.
class RequestTimer {
 public:
  RequestTimer(Metrics& metrics, TimePoint now)
      : metrics_(metrics), started_(now) {}

  /// Records that the request left its queue.
  void RecordAdmission(TimePoint now) {
    metrics_.Observe(LatencyKind::kQueueWait, now - started_);
  }

  /// Records that a token was sent to the caller.
  void RecordToken(TimePoint now) {
    const auto kind = last_token_ ? LatencyKind::kTimeBetweenTokens
                                  : LatencyKind::kTimeToFirstToken;
    metrics_.Observe(kind, now - last_token_.value_or(started_));
    last_token_ = now;
  }

  /// Records that the request was answered with `code`.
  void RecordOutcome(ResultCode code, TimePoint now) {
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
