#ifndef WISTERIAYOKE_DECISIONS_CONCURRENCY_LIMIT_H_
#define WISTERIAYOKE_DECISIONS_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <optional>

#include "base/time_types.h"

namespace wisteriayoke {

/// Estimates how many requests the upstreams of a pool run at once, from the
/// latency with which they begin an answer.
///
/// The limit falls by a tenth while that latency is far above its best value;
/// otherwise it rises towards its ceiling while nearly all of it is in use.
class ConcurrencyLimit {
 public:
  /// Share of the ceiling below which the limit doesn't fall.
  static constexpr double kFloorShare = 0.1;

  /// Sets the slots that the tables configure. The limit starts at the first
  /// ceiling and keeps its share of a later one.
  void SetCeiling(std::uint32_t slots);

  /// Records how long an answer took to begin while `running` requests ran.
  void RecordLatency(Duration latency, std::uint32_t running, TimePoint now);

  std::uint32_t limit() const;

 private:
  void Adjust(std::uint32_t running);

  double ceiling_ = 0.0;
  double limit_ = 0.0;
  Duration best_ = Duration::zero();    ///< Zero while unknown.
  Duration recent_ = Duration::zero();  ///< Moving average.
  std::optional<TimePoint> next_adjustment_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_CONCURRENCY_LIMIT_H_
