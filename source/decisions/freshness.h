#ifndef WISTERIAYOKE_DECISIONS_FRESHNESS_H_
#define WISTERIAYOKE_DECISIONS_FRESHNESS_H_

#include <optional>

#include "decisions/boot_time.h"

namespace wisteriayoke {

/// Bounds on the age of the tables.
struct FreshnessLimits {
  /// Longest time after its revocation for which a key may be accepted.
  Duration revocation = std::chrono::seconds(5);
  /// Part of it that is kept for clocks that run apart.
  Duration margin = std::chrono::milliseconds(100);
};

/// Knows until when the tables in force are proven to be the newest.
///
/// A request with a key may start only while the proof is younger than the time
/// in which a revocation must be in force, so that a daemon that lost the store
/// never accepts a revoked key.
class Freshness {
 public:
  explicit Freshness(FreshnessLimits limits = {}) : limits_(limits) {}

  /// Notes that the tables in force were the newest at `proven`.
  void RecordProof(BootTime proven);

  /// Returns the time since the latest proof, or nothing before the first.
  std::optional<Duration> AgeAt(BootTime now) const;

  /// Tells whether a key may be accepted at `now`.
  bool AllowsKeys(BootTime now) const;

  /// Tells whether keys will still be accepted for half of the bound, so that
  /// the daemon can offer itself to callers.
  bool HasMargin(BootTime now) const;

 private:
  FreshnessLimits limits_;
  std::optional<BootTime> proven_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_FRESHNESS_H_
