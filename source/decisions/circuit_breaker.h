#ifndef WISTERIAYOKE_DECISIONS_CIRCUIT_BREAKER_H_
#define WISTERIAYOKE_DECISIONS_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "base/names_table.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// Whether calls may start.
enum class BreakerState {
  kClosed,    ///< All calls start.
  kOpen,      ///< No call starts.
  kHalfOpen,  ///< One probe is under way; no other call starts.
};

inline constexpr auto kBreakerStateNames = MakeNamesTable<BreakerState>({
    {BreakerState::kClosed, "closed"},
    {BreakerState::kOpen, "open"},
    {BreakerState::kHalfOpen, "half-open"},
});

/// When a breaker opens and how long it pauses before a probe.
struct BreakerLimits {
  std::uint32_t failures = 3;  ///< Consecutive failures that open it.
  Duration first_pause = std::chrono::milliseconds(100);
  Duration max_pause = std::chrono::seconds(2);
};

/// Makes calls to a failing process fail at once. After a pause, which doubles
/// with each failed probe, one call may start as a probe.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(BreakerLimits limits)
      : limits_(limits), pause_(limits.first_pause) {}

  /// Returns whether a call may start now. A call that may start must be ended
  /// by `RecordSuccess` or `RecordFailure`.
  bool TryStart(TimePoint now);

  void RecordSuccess();
  void RecordFailure(TimePoint now);

  BreakerState state() const { return state_; }

 private:
  BreakerLimits limits_;
  BreakerState state_ = BreakerState::kClosed;
  std::uint32_t failures_ = 0;
  Duration pause_;
  TimePoint probe_at_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_CIRCUIT_BREAKER_H_
