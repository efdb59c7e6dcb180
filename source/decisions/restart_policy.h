#ifndef WISTERIAYOKE_DECISIONS_RESTART_POLICY_H_
#define WISTERIAYOKE_DECISIONS_RESTART_POLICY_H_

#include <deque>

#include "base/names_table.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// When a supervisor restarts a child that ended.
enum class RestartPolicy {
  kPermanent,  ///< Always restart.
  kTransient,  ///< Restart after a failure, not after a normal end.
  kTemporary,  ///< Never restart.
};

inline constexpr auto kRestartPolicyNames = MakeNamesTable<RestartPolicy>({
    {RestartPolicy::kPermanent, "permanent"},
    {RestartPolicy::kTransient, "transient"},
    {RestartPolicy::kTemporary, "temporary"},
});

/// How a supervisor handles one failure.
enum class RestartDecision { kRestart, kLeaveStopped, kEscalate };

inline constexpr auto kRestartDecisionNames = MakeNamesTable<RestartDecision>({
    {RestartDecision::kRestart, "restart"},
    {RestartDecision::kLeaveStopped, "leave-stopped"},
    {RestartDecision::kEscalate, "escalate"},
});

/// A supervisor makes at most `max_restarts` within `window`; one more failure
/// escalates.
struct RestartIntensity {
  unsigned max_restarts = 5;
  Duration window = std::chrono::seconds(10);
};

/// Counts the failures of one child and decides how to handle each.
class RestartTracker {
 public:
  RestartTracker(RestartPolicy policy, RestartIntensity intensity)
      : policy_(policy), intensity_(intensity) {}

  /// Records a failure at `now` and returns how to handle it.
  RestartDecision RecordFailure(TimePoint now);

 private:
  RestartPolicy policy_;
  RestartIntensity intensity_;
  std::deque<TimePoint> failures_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_RESTART_POLICY_H_
