#ifndef WISTERIAYOKE_DECISIONS_PEER_LOADS_H_
#define WISTERIAYOKE_DECISIONS_PEER_LOADS_H_

#include <cstdint>
#include <map>

#include "decisions/rumour.h"

namespace wisteriayoke {

/// Keeps the in-flight counts that other daemons told of each upstream.
///
/// A daemon that falls silent loses its counts after `kLifetime`, so that the
/// slots of a lost daemon are free for its peers within a second.
class PeerLoads {
 public:
  /// Longest time for which a count stands without being renewed.
  static constexpr Duration kLifetime = std::chrono::milliseconds(800);

  /// Takes a count that came at `now`.
  void Record(const LoadRumour& rumour, TimePoint now);

  /// Forgets all counts of `daemon`.
  void Drop(const DaemonName& daemon);

  /// Forgets the counts that were not renewed in time.
  void Expire(TimePoint now);

  /// Returns the sum of the other daemons' requests on `upstream`.
  std::uint32_t InFlightOf(const UpstreamName& upstream, TimePoint now) const;

  /// Returns how many daemons told a count for any upstream.
  std::size_t CountDaemons() const;

 private:
  struct Entry {
    std::uint32_t in_flight = 0;
    TimePoint seen;
  };

  std::map<UpstreamName, std::map<DaemonName, Entry>> loads_;
};

}  // namespace wisteriayoke

#endif  // WISTERIAYOKE_DECISIONS_PEER_LOADS_H_
