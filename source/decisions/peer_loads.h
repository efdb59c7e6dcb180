#ifndef WISTERIAYOKE_DECISIONS_PEER_LOADS_H_
#define WISTERIAYOKE_DECISIONS_PEER_LOADS_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "base/time_types.h"
#include "decisions/in_flight_counts.h"

namespace wisteriayoke {

/// Keeps the in-flight counts that other daemons told lately.
///
/// Each daemon tells a few others in turn, so that in a large group only some
/// have told lately. They are taken for a sample of all, which makes the cost
/// of the counts the same for a group of any size.
class PeerLoads {
 public:
  /// How long counts stand: long enough for a sample of a dozen daemons, short
  /// against the time for which streams run. The counts of one that died go
  /// earlier, by `Drop`.
  static constexpr Duration kLifetime = std::chrono::milliseconds(1200);

  /// Takes all counts of `daemon`, told at `now`, in place of its former ones.
  void Record(const DaemonName& daemon, const InFlightCounts& counts,
              TimePoint now);

  /// Forgets the counts of `daemon`.
  void Drop(const DaemonName& daemon);

  /// Forgets the counts that were not renewed in time.
  void Expire(TimePoint now);

  /// Takes in how many other daemons there are.
  void SetPeerCount(std::size_t peers) { peers_ = peers; }

  /// Returns an estimate of the other daemons' requests on `upstream`.
  std::uint32_t InFlightOf(const UpstreamName& upstream) const;

  /// Returns how many other daemons there are.
  std::size_t CountPeers() const;

 private:
  struct Told {
    InFlightCounts counts;
    TimePoint time;
  };

  void Subtract(const InFlightCounts& counts);

  std::map<DaemonName, Told> told_;
  std::unordered_map<UpstreamDigest, std::uint32_t> sums_;  ///< Over `told_`.
  std::size_t peers_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_PEER_LOADS_H_
