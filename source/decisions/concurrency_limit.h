#ifndef WISTERIAYOKE_DECISIONS_CONCURRENCY_LIMIT_H_
#define WISTERIAYOKE_DECISIONS_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <optional>

#include "base/time_types.h"

namespace wisteriayoke {

/// Finds how many requests the upstreams of a pool really run at once, from
/// the time that they take to begin an answer.
///
/// The limit falls by a tenth while answers begin much later than at best, and
/// rises towards its ceiling while it is in use and they don't.
class ConcurrencyLimit {
 public:
  /// Least share of the ceiling that the limit falls to.
  static constexpr double kFloorShare = 0.1;

  /// Sets the slots that the tables promise. A new limit starts there.
  void SetCeiling(std::uint32_t slots);

  /// Takes in how long an answer took to begin, with `running` requests.
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
