#ifndef WISTERIAYOKE_DECISIONS_UPSTREAM_REACH_H_
#define WISTERIAYOKE_DECISIONS_UPSTREAM_REACH_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time_types.h"

namespace wisteriayoke {

/// Decides whether this daemon has lost its links to all upstreams, as opposed
/// to some upstreams having failed.
///
/// Connections that fail to several upstreams in a row raise the suspicion;
/// probes of others then settle it. Connections that were open before prove
/// nothing, since they may live on while no new one can be opened.
class UpstreamReach {
 public:
  /// Upstreams that can't be reached from which on others are probed.
  static constexpr std::size_t kSuspicious = 2;
  /// Upstreams that can't be reached, with none that can, at which the links
  /// count as lost; in a smaller fleet all of its upstreams.
  static constexpr std::size_t kConclusive = 8;
  /// Probes of a round before the links count as lost, and after it.
  static constexpr std::size_t kProbes = kConclusive - kSuspicious;
  static constexpr std::size_t kProbesWhenLost = 2;
  /// Time between two rounds of probes.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(300);

  /// Records that a connection to `upstream`, begun at `begun`, wasn't
  /// established.
  void RecordFailure(const UpstreamName& upstream, TimePoint begun);

  /// Records that an upstream answered on a connection begun at `begun`.
  void RecordAnswer(TimePoint begun);

  /// Updates the decision for the fleet `upstreams` and returns those to probe
  /// now.
  std::vector<UpstreamName> Update(const std::vector<UpstreamName>& upstreams,
                                   TimePoint now);

  /// Returns whether the links to all upstreams are lost.
  bool lost() const { return lost_; }
  std::size_t CountFailed() const { return failed_.size(); }

 private:
  /// Upstreams that couldn't be reached since one answered last.
  std::set<UpstreamName> failed_;
  std::optional<TimePoint> failing_since_;  ///< Start of the first of these.
  std::optional<TimePoint> answered_;       ///< Start of the last answered one.
  TimePoint next_round_;
  std::size_t cursor_ = 0;  ///< Where the next round of probes begins.
  bool lost_ = false;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_UPSTREAM_REACH_H_
