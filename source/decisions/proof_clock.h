#ifndef WISTERIAYOKE_DECISIONS_PROOF_CLOCK_H_
#define WISTERIAYOKE_DECISIONS_PROOF_CLOCK_H_

#include <cstdint>
#include <map>
#include <optional>

#include "decisions/boot_time.h"

namespace wisteriayoke {

/// Turns the ages in the answers to a daemon's pings into points in time.
///
/// A peer states how long ago its tables were proven to be the newest when it
/// answers, thus after the ping was sent. The time of the ping less the age is
/// therefore never later than the proof, however long the answer took or this
/// daemon was suspended, and the clocks of two daemons aren't compared.
class ProofClock {
 public:
  /// Time within which the answer to a ping is used.
  static constexpr Duration kPingLifetime = std::chrono::seconds(1);

  /// Records that the ping `sequence` is sent at `now`.
  void RecordPing(std::uint32_t sequence, BootTime now);

  /// Returns the time of the proof that the answer to the ping `sequence`
  /// states to be `age` old. Each ping is used once.
  std::optional<BootTime> TakeProof(std::uint32_t sequence,
                                    std::optional<Duration> age, BootTime now);

 private:
  std::map<std::uint32_t, BootTime> pings_;  ///< When each was sent.
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_PROOF_CLOCK_H_
