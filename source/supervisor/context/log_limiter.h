#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_LOG_LIMITER_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_LOG_LIMITER_H_

#include <cstdint>
#include <utility>

#include "base/time_types.h"
#include "decisions/token_bucket.h"
#include "supervisor/context/log.h"

namespace wisteriayoke {

/// Bounds the lines that a process logs in a second and counts those that it
/// drops. Failures have a rate of their own, so that good news never displaces
/// them.
class LogLimiter {
 public:
  /// Lines a second about what went well, and how many may come at once: the
  /// entries of a fleet of 600 upstreams at the start.
  static constexpr std::uint32_t kNewsPerSecond = 50;
  static constexpr std::uint32_t kNewsBurst = 1500;
  /// Lines a second about failures: all of them at one daemon's share of the
  /// peak, several times over.
  static constexpr std::uint32_t kFailuresPerSecond = 200;
  static constexpr std::uint32_t kFailuresBurst = 2000;

  /// Tells whether a line of `level` may be written at `now`.
  bool Admit(LogLevel level, TimePoint now);

  /// Notes that a line that was admitted couldn't be written.
  void RecordBlocked() { ++dropped_; }

  /// Returns the lines dropped since the last call.
  std::uint64_t TakeUntold() {
    return dropped_ - std::exchange(told_, dropped_);
  }

  std::uint64_t dropped() const { return dropped_; }

 private:
  TokenBucket news_{Duration(std::chrono::seconds(1)) / kNewsPerSecond,
                    kNewsBurst};
  TokenBucket failures_{Duration(std::chrono::seconds(1)) / kFailuresPerSecond,
                        kFailuresBurst};
  std::uint64_t dropped_ = 0;
  std::uint64_t told_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_LOG_LIMITER_H_
