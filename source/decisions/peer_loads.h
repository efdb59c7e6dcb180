#ifndef WISTERIAYOKE_DECISIONS_PEER_LOADS_H_
#define WISTERIAYOKE_DECISIONS_PEER_LOADS_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "base/time_types.h"
#include "decisions/in_flight_counts.h"

namespace wisteriayoke {

/// Keeps the in-flight counts that other daemons reported recently.
///
/// Each daemon reports to a few others in turn, so that in a large group only
/// some have reported recently. They are used as a sample of all, which makes
/// the cost of the exchange independent of the group's size.
class PeerLoads {
 public:
  /// Time until counts expire: long enough for a sample of a dozen daemons,
  /// short compared with the duration of streams. The counts of a daemon that
  /// died are removed earlier, by `Drop`.
  static constexpr Duration kLifetime = std::chrono::milliseconds(1200);

  /// Replaces all counts of `daemon` by `counts`, reported at `now`.
  void Record(const DaemonName& daemon, const InFlightCounts& counts,
              TimePoint now);

  /// Removes the counts of `daemon`.
  void Drop(const DaemonName& daemon);

  /// Removes the counts that are older than `kLifetime` at `now`.
  void Expire(TimePoint now);

  /// Sets the number of other daemons in the group.
  void SetPeerCount(std::size_t peers) { peers_ = peers; }

  /// Returns the requests of all other daemons on `upstream`, estimated from
  /// the daemons that reported.
  std::uint32_t InFlightOf(const UpstreamName& upstream) const;

  /// Returns the number of other daemons for each that reported, at least 1.
  double Scale() const;

  /// Returns the number of other daemons: as set, or all that reported if more.
  std::size_t CountPeers() const;

 private:
  struct Report {
    InFlightCounts counts;
    TimePoint time;
  };

  void Subtract(const InFlightCounts& counts);

  std::map<DaemonName, Report> reports_;
  /// Sums over `reports_`.
  std::unordered_map<UpstreamDigest, std::uint32_t> sums_;
  std::size_t peers_ = 0;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_PEER_LOADS_H_
