#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_METRICS_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/names_table.h"
#include "base/result_code.h"
#include "base/time_types.h"
#include "supervisor/context/event_kind.h"

namespace wisteriayoke {

/// The latency distributions that a daemon measures.
enum class LatencyKind {
  kTimeToFirstToken,
  kTimeBetweenTokens,
  kRequestTime,
  kQueueWait,
  kLoopDelay,
};

inline constexpr auto kLatencyKindNames = MakeNamesTable<LatencyKind>({
    {LatencyKind::kTimeToFirstToken, "time_to_first_token"},
    {LatencyKind::kTimeBetweenTokens, "time_between_tokens"},
    {LatencyKind::kRequestTime, "request_time"},
    {LatencyKind::kQueueWait, "queue_wait"},
    {LatencyKind::kLoopDelay, "loop_delay"},
});

/// Counts and distributions of one daemon since its start, for monitoring. No
/// decision depends on them.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds one measured duration.
  void Observe(LatencyKind kind, Duration length);

  /// Counts one request that was answered with `code`.
  void CountAnswer(ResultCode code);

  /// Counts one event of the timeline.
  void CountEvent(EventKind kind, ResultCode code);

  /// Returns all counts and distributions in the Prometheus text format.
  std::string Render() const;

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_METRICS_H_
