#ifndef WISTERIAYOKE_SUPERVISOR_CONTEXT_LOG_LIMITER_H_
#define WISTERIAYOKE_SUPERVISOR_CONTEXT_LOG_LIMITER_H_

#include <cstdint>
#include <utility>

#include "base/time_types.h"
#include "decisions/token_bucket.h"
#include "supervisor/context/log.h"

namespace wisteriayoke {

/// Bounds the lines that a process logs in a second and counts those that are
/// dropped. Warnings and errors have their own rate, so that info lines never
/// displace them.
class LogLimiter {
 public:
  /// Rate and burst of lines below warning level. The burst covers the entries
  /// of a fleet of 600 upstreams at the start.
  static constexpr std::uint32_t kInfoLinesPerSecond = 50;
  static constexpr std::uint32_t kInfoBurst = 1500;
  /// Rate and burst of warnings and errors. The rate covers all failures at one
  /// daemon's share of the peak, several times over.
  static constexpr std::uint32_t kWarningLinesPerSecond = 200;
  static constexpr std::uint32_t kWarningBurst = 2000;

  /// Returns whether a line of `level` may be written at `now`; counts it as
  /// dropped if not.
  bool Admit(LogLevel level, TimePoint now);

  /// Records that an admitted line couldn't be written.
  void RecordDropped() { ++dropped_; }

  /// Returns the number of lines dropped since the last call.
  std::uint64_t TakeUnreportedDrops() {
    return dropped_ - std::exchange(reported_, dropped_);
  }

  std::uint64_t dropped() const { return dropped_; }

 private:
  TokenBucket info_bucket_{
      Duration(std::chrono::seconds(1)) / kInfoLinesPerSecond, kInfoBurst};
  TokenBucket warning_bucket_{
      Duration(std::chrono::seconds(1)) / kWarningLinesPerSecond,
      kWarningBurst};
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_SUPERVISOR_CONTEXT_LOG_LIMITER_H_
