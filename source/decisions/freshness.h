#ifndef WISTERIAYOKE_DECISIONS_FRESHNESS_H_
#define WISTERIAYOKE_DECISIONS_FRESHNESS_H_

#include <optional>

#include "decisions/boot_time.h"

namespace wisteriayoke {

/// Bounds on the age of the tables.
struct FreshnessLimits {
  /// Longest time after its revocation for which a key may be accepted.
  Duration revocation = std::chrono::seconds(5);
  /// Part of `revocation` reserved for differences between clocks.
  Duration margin = std::chrono::milliseconds(100);
};

/// Tracks how long ago the tables in force were proven to be the newest.
///
/// A request with a key may start only while the proof is younger than the time
/// within which a revocation must take effect, so that a daemon that lost the
/// store never accepts a revoked key.
class Freshness {
 public:
  explicit Freshness(FreshnessLimits limits = {}) : limits_(limits) {}

  /// Records that the tables in force, or newer ones, were the newest at
  /// `proven`. Returns whether this is the latest proof.
  bool RecordProof(BootTime proven);

  /// Returns the age of the latest proof, or nullopt before the first.
  std::optional<Duration> AgeAt(BootTime now) const;

  /// Returns whether a key may be accepted at `now`.
  bool AllowsKeys(BootTime now) const;

  /// Returns whether the proof is younger than half of the revocation bound,
  /// so that the daemon may report itself ready to callers.
  bool HasMargin(BootTime now) const;

 private:
  FreshnessLimits limits_;
  std::optional<BootTime> proven_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_FRESHNESS_H_
