#ifndef WISTERIAYOKE_DECISIONS_PROBE_DELAYS_H_
#define WISTERIAYOKE_DECISIONS_PROBE_DELAYS_H_

#include <map>

#include "base/ids.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// Measured times until the answers of members to probes.
class ProbeDelays {
 public:
  /// Bounds of the time to wait for an answer.
  static constexpr Duration kLeast = std::chrono::milliseconds(60);
  static constexpr Duration kMost = std::chrono::milliseconds(500);

  void Record(const DaemonName& member, Duration delay);
  void Drop(const DaemonName& member) { delays_.erase(member); }

  /// Returns the time to wait for an answer of `member`, by its own delays or,
  /// if there are none, by those of all members. If `degraded`, the longer of
  /// the two, since the network has changed since the member was measured.
  Duration TimeoutOf(const DaemonName& member, bool degraded) const;

 private:
  /// Smoothed mean and deviation, as in the retransmission timer of RFC 6298.
  struct Delay {
    Duration mean{};
    Duration deviation{};

    void Add(Duration delay);
    Duration Timeout() const;
  };

  std::map<DaemonName, Delay> delays_;
  Delay all_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_PROBE_DELAYS_H_
